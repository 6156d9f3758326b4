//! The page of proofs names tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../docs/PROOFS.md");
/// Test names in code have several words; shorter words in backquotes are something else.
const WORDS_MIN: usize = 3;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else { return };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Functions of files in the crates' folders of tests.
fn tests() -> BTreeSet<String> {
    let mut files = Vec::new();
    sources(&root().join("tests/tests"), &mut files);
    sources(&root().join("platform/tests"), &mut files);
    let crates = fs::read_dir(root().join("crates")).into_iter().flatten().flatten();
    crates.for_each(|entry| sources(&entry.path().join("tests"), &mut files));
    let text: String = files.iter().flat_map(fs::read_to_string).collect();
    let functions = text.split("fn ").skip(1).filter_map(|rest| rest.split('(').next());
    functions.map(str::to_owned).collect()
}

fn named() -> BTreeSet<String> {
    let quoted = PAGE.split('`').skip(1).step_by(2);
    let plain = |text: &&str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let long = |text: &&str| text.split('_').count() >= WORDS_MIN;
    quoted.filter(plain).filter(long).map(str::to_owned).collect()
}

#[test]
fn every_test_that_the_page_names_exists() {
    let tests = tests();
    let missing: Vec<String> = named().into_iter().filter(|name| !tests.contains(name)).collect();
    assert_eq!(Vec::<String>::new(), missing);
    assert!(!named().is_empty());
}
