//! Every test named in `docs/PROOFS.md` exists.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../docs/PROOFS.md");
/// Minimum number of words in a test name; shorter identifiers in backquotes are not test names.
const TEST_NAME_WORDS_MIN: usize = 3;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn collect_sources(directory: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else { return };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the names of all functions in the test folders of the crates.
fn test_functions() -> BTreeSet<String> {
    let mut files = Vec::new();
    collect_sources(&repository_root().join("tests/tests"), &mut files);
    collect_sources(&repository_root().join("platform/tests"), &mut files);
    let crates = fs::read_dir(repository_root().join("crates")).into_iter().flatten().flatten();
    crates.for_each(|entry| collect_sources(&entry.path().join("tests"), &mut files));
    let text: String = files.iter().flat_map(fs::read_to_string).collect();
    let functions = text.split("fn ").skip(1).filter_map(|rest| rest.split('(').next());
    functions.map(str::to_owned).collect()
}

fn named_tests() -> BTreeSet<String> {
    let quoted = PAGE.split('`').skip(1).step_by(2);
    let is_identifier = |text: &&str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let has_enough_words = |text: &&str| text.split('_').count() >= TEST_NAME_WORDS_MIN;
    quoted.filter(is_identifier).filter(has_enough_words).map(str::to_owned).collect()
}

#[test]
fn every_test_named_in_proofs_exists() {
    let functions = test_functions();
    let missing: Vec<String> =
        named_tests().into_iter().filter(|name| !functions.contains(name)).collect();
    assert_eq!(Vec::<String>::new(), missing);
    assert!(!named_tests().is_empty());
}
