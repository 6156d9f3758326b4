//! Round trips of text forms, and rejection of invalid text.

use quickcheck::{Gen, QuickCheck};
use shallotfork_types::{
    Bytes, Epoch, IdempotencyKey, Incarnation, Mono, PartsPerMillion, PerSecond, Permille,
    Position, Revision, ServiceName, Verdict,
};

const SEED: u64 = 0x5e1f;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(500)
}

#[test]
fn numbers_round_trip() {
    fn property(value: u64) -> bool {
        let small = value as u32;
        let bytes = Bytes::new(value);
        let incarnation = Incarnation::new(value);
        let position = Position::new(Epoch::new(u64::from(small)), Revision::new(value));
        bytes.to_string().parse() == Ok(bytes)
            && incarnation.to_string().parse() == Ok(incarnation)
            && Revision::new(value).to_string().parse() == Ok(Revision::new(value))
            && Epoch::new(value).to_string().parse() == Ok(Epoch::new(value))
            && position.to_string().parse() == Ok(position)
            && Permille::new(small).to_string().parse() == Ok(Permille::new(small))
            && PartsPerMillion::new(small).to_string().parse() == Ok(PartsPerMillion::new(small))
            && PerSecond::new(small).to_string().parse() == Ok(PerSecond::new(small))
    }
    quickcheck().quickcheck(property as fn(u64) -> bool);
}

#[test]
fn names_accept_only_their_own_text_form() {
    fn property(text: String) -> bool {
        let is_valid = !text.is_empty()
            && text.len() <= 128
            && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        match text.parse::<ServiceName>() {
            Ok(name) => is_valid && name.to_string() == text,
            Err(_) => !is_valid,
        }
    }
    quickcheck().quickcheck(property as fn(String) -> bool);
}

#[test]
fn invalid_text_is_rejected_with_a_reason() {
    let expected = "expected 1 to 128 visible ASCII characters, found \"a b\"";
    let actual = "a b".parse::<IdempotencyKey>().expect_err("a space is invalid").to_string();
    assert_eq!(expected, actual);
    assert!("9999999999999999MiB".parse::<Bytes>().is_err());
    assert!("+123456789abcdef".parse::<Incarnation>().is_err());
    assert!("maybe".parse::<Verdict>().is_err());
}

#[test]
fn elapsed_time_is_never_negative() {
    let early = Mono::from_millis(1);
    let late = Mono::from_millis(3);
    assert_eq!(2, late.since(early).as_millis());
    assert_eq!(0, early.since(late).as_millis());
}
