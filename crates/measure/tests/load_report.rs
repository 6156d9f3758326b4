//! Tests of parsing load reports, including malformed ones.

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
fn text_and_json_forms_are_equivalent() {
    let text = "TEXT cpu_utilization=0.35, mem_utilization=0.9,named_metrics.in_flight=3";
    let json =
        r#"JSON {"cpu_utilization":0.35,"mem_utilization":0.9,"named_metrics":{"in_flight":3}}"#;
    assert_eq!(Ok(report(350, 3)), LoadReport::from_header(text));
    assert_eq!(Ok(report(350, 3)), LoadReport::from_header(json));
}

#[test]
fn application_utilization_takes_precedence_over_cpu_utilization() {
    let text = "TEXT cpu_utilization=0.1,application_utilization=1.5,named_metrics.in_flight=4";
    assert_eq!(Ok(report(1500, 4)), LoadReport::from_header(text));
}

#[test]
fn draining_metric_is_reported() {
    let draining = LoadReport { draining: true, ..LoadReport::default() };
    let text = "TEXT named_metrics.draining=1.0";
    let json = r#"JSON {"named_metrics":{"draining":1}}"#;
    assert_eq!(Ok(draining), LoadReport::from_header(text));
    assert_eq!(Ok(draining), LoadReport::from_header(json));
    let serving = LoadReport::from_header("TEXT named_metrics.draining=0");
    assert_eq!(Ok(LoadReport::default()), serving);
}

#[test]
fn out_of_range_numbers_are_ignored_or_capped() {
    let missing = LoadReport::from_header("TEXT cpu_utilization=-1,named_metrics.in_flight=NaN");
    assert_eq!(Ok(LoadReport::default()), missing);
    let capped =
        LoadReport::from_header("TEXT cpu_utilization=1e300,named_metrics.in_flight=1e300");
    assert_eq!(Ok(report(10_000, 1_000_000)), capped);
}

#[test]
fn malformed_headers_are_rejected() {
    let long = format!("TEXT {}", "a=1,".repeat(2000));
    assert_eq!(Err(LoadReportError::TooLong), LoadReport::from_header(&long));
    assert_eq!(Err(LoadReportError::UnknownFormat), LoadReport::from_header("BIN AAAA"));
    assert_eq!(Err(LoadReportError::InvalidJson), LoadReport::from_header("JSON {\"cpu"));
    assert_eq!(Err(LoadReportError::InvalidPair), LoadReport::from_header("TEXT cpu"));
}

#[test]
fn arbitrary_text_does_not_panic() {
    fn property(text: String) -> bool {
        for prefix in ["", "TEXT ", "JSON ", "TEXT cpu_utilization=", "JSON {\"named_metrics\":"] {
            let _ = LoadReport::from_header(&format!("{prefix}{text}"));
        }
        true
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(1000);
    checker.quickcheck(property as fn(String) -> bool);
}
