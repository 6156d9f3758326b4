//! Text form and signature of sessions.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_once::{
    ClaimAnswer, ClaimId, Issuer, OnceConfig, Open, OperationId, Secret, Session,
};
use shallotfork_types::{IdempotencyKey, Incarnation, Mono, VmId};

const SIZE: usize = 200;
const SEED: u64 = 1;

fn issuer() -> Issuer<Open> {
    let vm = VmId::new("vm-a").unwrap();
    Issuer::new(vm, Incarnation::new(7), Secret::new([3; 32]), OnceConfig::new())
}

fn claim_of(session: Session, issuer: &mut Issuer<Open>) -> ClaimAnswer {
    let operation = OperationId::new(session, IdempotencyKey::new("order-1").unwrap());
    let claim = ClaimId::new(VmId::new("vm-b").unwrap(), Incarnation::new(9), 1);
    issuer.claim(&operation, &claim, Mono::from_millis(10))
}

#[test]
fn session_text_form_is_stable() {
    let session = issuer().issue(Mono::from_millis(10));
    insta::assert_snapshot!(session);
    let actual: Session = session.to_string().parse().unwrap();
    assert_eq!(session, actual);
    assert_eq!(Duration::from_secs(600), actual.lifetime());
}

#[test]
fn arbitrary_text_is_rejected_without_a_panic() {
    fn property(text: String) -> bool {
        text.parse::<Session>().is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(500)
        .quickcheck(property as fn(String) -> bool);
}

/// Guards against a caller that changes the lifetime of its session, or guesses the serial of another
/// one, to have an operation run a second time. A change at any position must be detected.
#[test]
fn tampered_session_is_never_granted() {
    let mut issuer = issuer();
    let text = issuer.issue(Mono::from_millis(10)).to_string();
    for position in 0..text.len() {
        for replacement in [b'0', b'1', b'~', b'A', 0x7f] {
            let mut bytes = text.clone().into_bytes();
            bytes[position] = replacement;
            let changed = String::from_utf8(bytes).unwrap();
            if changed == text {
                continue;
            }
            let Ok(session) = changed.parse::<Session>() else {
                continue;
            };
            let actual = claim_of(session, &mut issuer);
            let is_rejected = [ClaimAnswer::BadSession, ClaimAnswer::MayHaveRun].contains(&actual);
            assert!(is_rejected, "{changed} was answered {actual:?}");
        }
    }
    assert_eq!(ClaimAnswer::Granted, claim_of(text.parse().unwrap(), &mut issuer));
}
