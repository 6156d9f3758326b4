//! Tests of INI parsing with line numbers.

use quickcheck::{Gen, QuickCheck};
use shallotfork_ini::{Document, Entry, IniError, Section};

#[test]
fn sections_and_entries_have_line_numbers() {
    let text = "; comment\n[a]\nkey = value\n\n# other\n[b]\r\n  k: \"quoted = text\"\n[a]\n";
    let entry =
        |line, key: &str, value: &str| Entry { line, key: key.to_owned(), value: value.to_owned() };
    let section = |line, name: &str, entries| Section { line, name: name.to_owned(), entries };
    let expected = vec![
        section(2, "a", vec![entry(3, "key", "value")]),
        section(6, "b", vec![entry(7, "k", "quoted = text")]),
        section(8, "a", vec![]),
    ];
    let actual = Document::parse(text).unwrap().sections;
    assert_eq!(expected, actual);
}

#[test]
fn reports_every_invalid_line() {
    let actual: Vec<usize> = Document::parse("early = 1\n[a]\nno separator\n= no key\n[open\n")
        .unwrap_err()
        .into_iter()
        .map(|error: IniError| error.line)
        .collect();
    assert_eq!(vec![1, 3, 4, 5], actual);
}

#[test]
fn arbitrary_text_does_not_panic() {
    fn lines_are_in_range(text: String) -> bool {
        let lines = text.lines().count();
        match Document::parse(&text) {
            Ok(document) => document.sections.iter().all(|section| section.line <= lines),
            Err(errors) => errors.iter().all(|error| error.line >= 1 && error.line <= lines),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(2000)
        .quickcheck(lines_are_in_range as fn(String) -> bool);
}
