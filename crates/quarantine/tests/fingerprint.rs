//! Tests of request fingerprints.

use quickcheck::{QuickCheck, TestResult};
use shallotfork_quarantine::{FingerprintKey, RequestContent, RequestFingerprint};

type Parts = (String, String, String, Vec<u8>, Vec<u8>);

fn fingerprint(key: &FingerprintKey, parts: &Parts) -> RequestFingerprint {
    let (method, host, path_and_query, caller_header, body) = parts;
    let caller_headers: &[&[u8]] = &[caller_header];
    key.fingerprint(&RequestContent { method, host, path_and_query, caller_headers, body })
}

/// Guards against equal fingerprints of requests that differ only in where one part ends.
#[test]
fn fingerprints_are_equal_only_if_all_parts_are_equal() {
    fn property(one: Parts, other: Parts) -> TestResult {
        let key = FingerprintKey::new(b"a secret of the fleet");
        let equal = fingerprint(&key, &one) == fingerprint(&key, &other);
        TestResult::from_bool(equal == (one == other))
    }
    QuickCheck::new().quickcheck(property as fn(Parts, Parts) -> TestResult);
    let split_at = |at: usize| {
        let (path, body) = b"/reads/7".split_at(at);
        let path = String::from_utf8_lossy(path).into_owned();
        (String::new(), String::new(), path, Vec::new(), body.to_vec())
    };
    let key = FingerprintKey::new(b"a secret of the fleet");
    assert_ne!(fingerprint(&key, &split_at(3)), fingerprint(&key, &split_at(5)));
}

/// Guards against keys that ignore the secret, or that differ for equal secrets.
#[test]
fn fingerprints_are_equal_only_under_the_same_secret() {
    let parts = ("GET".to_owned(), "shop".to_owned(), "/reads/7".to_owned(), vec![], vec![]);
    let with_secret = |secret: &[u8]| fingerprint(&FingerprintKey::new(secret), &parts);
    assert_eq!(with_secret(b"one secret"), with_secret(b"one secret"));
    assert_ne!(with_secret(b"one secret"), with_secret(b"another secret"));
}

#[test]
fn a_fingerprint_is_parsed_from_its_text() {
    for value in [0, 7, u64::MAX] {
        let fingerprint = RequestFingerprint::new(value);
        assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }
}
