//! Compares the metrics of an entry with the pages that list them.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PAGES: [&str; 2] =
    [include_str!("../../../docs/metrics.md"), include_str!("../../../docs/OPERATIONS.md")];
const PREFIX: &str = "shallotfork_";

/// Returns the texts in `text` that begin after `start` and end before the next `end`.
fn between<'a>(text: &'a str, start: &str, end: char) -> impl Iterator<Item = &'a str> {
    let parts = text.split(start).skip(1);
    parts.filter_map(move |part| part.split_once(end)).map(|(found, _)| found)
}

/// Adds the names of the metrics that the source files in a directory record.
fn collect_recorded(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_recorded(&path, names);
            continue;
        }
        let source = fs::read_to_string(&path).expect("a source file");
        let source: String = source.split_whitespace().collect();
        for start in ["gauge!(\"", "counter!(\"", "histogram!(\""] {
            names.extend(between(&source, start, '"').map(ToOwned::to_owned));
        }
    }
}

fn listed() -> Vec<String> {
    let rows = PAGES.iter().flat_map(|page| page.lines()).filter(|line| line.starts_with("| `"));
    let columns = rows.filter_map(|row| row.split(" | ").next());
    let names = columns.flat_map(|column| column.split('`').skip(1).step_by(2));
    names.filter(|name| name.starts_with(PREFIX)).map(ToOwned::to_owned).collect()
}

/// Guards against a metric that no operator knows of, and against looking for one that is gone.
#[test]
fn docs_list_every_metric_once() {
    let mut recorded = BTreeSet::new();
    collect_recorded(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut recorded);
    let mut listed = listed();
    listed.sort();
    assert_eq!(listed, recorded.into_iter().collect::<Vec<_>>());
}
