//! Load reports are read in both forms, and hostile ones do no harm.

use quickcheck::{Gen, QuickCheck};
use shallotfork_measure::{LoadReport, LoadReportError};
use shallotfork_types::Permille;

const SEED: u64 = 0x10ad;

fn report(utilisation: u32, in_flight: u32) -> LoadReport {
    LoadReport {
        utilisation: Some(Permille::new(utilisation)),
        in_flight: Some(in_flight),
        draining: false,
    }
}

#[test]
fn both_forms_say_the_same() {
    let text = "TEXT cpu_utilization=0.35, mem_utilization=0.9,named_metrics.in_flight=3";
    let json =
        r#"JSON {"cpu_utilization":0.35,"mem_utilization":0.9,"named_metrics":{"in_flight":3}}"#;
    assert_eq!(Ok(report(350, 3)), LoadReport::from_header(text));
    assert_eq!(Ok(report(350, 3)), LoadReport::from_header(json));
}

#[test]
fn use_of_the_application_goes_before_use_of_the_processor() {
    let text = "TEXT cpu_utilization=0.1,application_utilization=1.5,named_metrics.in_flight=4";
    assert_eq!(Ok(report(1500, 4)), LoadReport::from_header(text));
}

#[test]
fn a_target_says_that_it_is_leaving() {
    let leaving = LoadReport { draining: true, ..LoadReport::default() };
    let text = "TEXT named_metrics.draining=1.0";
    let json = r#"JSON {"named_metrics":{"draining":1}}"#;
    assert_eq!(Ok(leaving), LoadReport::from_header(text));
    assert_eq!(Ok(leaving), LoadReport::from_header(json));
    let staying = LoadReport::from_header("TEXT named_metrics.draining=0");
    assert_eq!(Ok(LoadReport::default()), staying);
}

#[test]
fn impossible_numbers_count_as_missing_or_are_cut() {
    let missing = LoadReport::from_header("TEXT cpu_utilization=-1,named_metrics.in_flight=NaN");
    assert_eq!(Ok(LoadReport::default()), missing);
    let cut = LoadReport::from_header("TEXT cpu_utilization=1e300,named_metrics.in_flight=1e300");
    assert_eq!(Ok(report(10_000, 1_000_000)), cut);
}

#[test]
fn other_text_is_refused() {
    let long = format!("TEXT {}", "a=1,".repeat(2000));
    assert_eq!(Err(LoadReportError::TooLong), LoadReport::from_header(&long));
    assert_eq!(Err(LoadReportError::UnknownFormat), LoadReport::from_header("BIN AAAA"));
    assert_eq!(Err(LoadReportError::InvalidJson), LoadReport::from_header("JSON {\"cpu"));
    assert_eq!(Err(LoadReportError::InvalidPair), LoadReport::from_header("TEXT cpu"));
}

#[test]
fn no_text_panics() {
    fn property(text: String) -> bool {
        for prefix in ["", "TEXT ", "JSON ", "TEXT cpu_utilization=", "JSON {\"named_metrics\":"] {
            let _ = LoadReport::from_header(&format!("{prefix}{text}"));
        }
        true
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(1000);
    checker.quickcheck(property as fn(String) -> bool);
}
