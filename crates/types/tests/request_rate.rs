//! Parsing of request rates and their conversion to intervals.

use std::time::Duration;

use shallotfork_types::RequestRate;

#[test]
fn decimal_numbers_are_parsed() {
    let milli = |text: &str| text.parse::<RequestRate>().unwrap().milli_per_s();
    assert_eq!(milli("1"), 1_000);
    assert_eq!(milli(" 0.25 "), 250);
    assert_eq!(milli("0"), 0);
    assert_eq!(milli("1e30"), 1_000_000_000_000);
}

/// Guards against applying an invalid limit, which would block a target or leave it unlimited.
#[test]
fn invalid_rates_are_rejected() {
    for text in ["", "-1", "-0.5", "NaN", "inf", "-inf", "one", "1,5", "1 2"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}

#[test]
fn interval_is_the_inverse_of_the_rate() {
    let interval = |text: &str| text.parse::<RequestRate>().unwrap().interval();
    assert_eq!(interval("2"), Some(Duration::from_millis(500)));
    assert_eq!(interval("0.1"), Some(Duration::from_secs(10)));
    assert_eq!(interval("0"), None);
}
