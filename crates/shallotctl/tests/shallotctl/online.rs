//! Tests of commands that query entries.

use crate::support::{FakeEntry, Run, shallotctl, write_file};

const TEMPLATE: &str = r#"{"vm":"VM","incarnation":"00000000000000ff","state":"serving",
    "synced_revision":9,"lists":[{"name":"rules","revision":REV,"digest":"DIGEST","in_force_ms":5,
    "refused_revision":REFUSED}],"targets":[{"id":"t1","service":"orders","state":"serving",
    "in_flight":2}],"sessions":{"issued":3,"operations":1,"kept_bytes":10,"sealed_ledgers":0},
    "budgets":{"attempts":9,"retries":1,"hedges":0,"probes":4,"platform_calls":7},
    "entries":[{"vm":"e1","failure_domain":"boulder","callers":"127.0.0.1:1","state":"live"}]}"#;

/// Builder of the status report of a fake entry.
struct StatusBuilder {
    vm: String,
    revision: u64,
    digest: String,
    refused: Option<u64>,
}

impl StatusBuilder {
    fn new(vm: &str, revision: u64) -> Self {
        Self { vm: vm.into(), revision, digest: "aa".into(), refused: None }
    }

    fn with_digest(self, digest: &str) -> Self {
        Self { digest: digest.into(), ..self }
    }

    fn with_refused(self, revision: u64) -> Self {
        Self { refused: Some(revision), ..self }
    }

    fn json(&self) -> String {
        let refused = self.refused.map_or("null".to_owned(), |revision| revision.to_string());
        TEMPLATE
            .replace("VM", &self.vm)
            .replace("REV", &self.revision.to_string())
            .replace("DIGEST", &self.digest)
            .replace("REFUSED", &refused)
    }
}

/// Runs a command against these entries and replaces their addresses in its output by `E1`, `E2`.
fn run_against(command: &[&str], entries: &[FakeEntry]) -> Run {
    let addresses: Vec<String> = entries.iter().map(FakeEntry::address).collect();
    let token = write_file(&format!("token-{}", addresses.join("-").replace(':', "_")), "sesame\n");
    let entry_list = addresses.join(",");
    let options = ["--entry", &entry_list, "--token-file", &token];
    let mut run = shallotctl(&[command, &options].concat());
    for (index, address) in addresses.iter().enumerate() {
        run.stdout = run.stdout.replace(address, &format!("E{}", index + 1));
    }
    run
}

fn fake_entry(statuses: &[StatusBuilder]) -> FakeEntry {
    let answers: Vec<String> = statuses.iter().map(StatusBuilder::json).collect();
    FakeEntry::with_answers(&answers.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Removes the column padding, whose width depends on the port numbers that the kernel assigns.
fn without_padding(table: &str) -> String {
    let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    table.lines().map(|line| words(line) + "\n").collect()
}

#[test]
fn status_shows_every_entry() {
    let entries = [
        fake_entry(&[StatusBuilder::new("e1", 7)]),
        fake_entry(&[StatusBuilder::new("e2", 6).with_refused(8)]),
    ];
    let run = run_against(&["status"], &entries);
    insta::assert_snapshot!(without_padding(&run.stdout));
    assert_eq!(0, run.code);
}

#[test]
fn status_without_token_fails() {
    let entry = fake_entry(&[StatusBuilder::new("e1", 7)]);
    let run = shallotctl(&["status", "--entry", &entry.address()]);
    assert!(run.stdout.contains("401"), "{}", run.stdout);
    assert_eq!(3, run.code);
}

/// One entry has revision 7 in force at once, the other one later. `watch` must not report success
/// before the second one has it too.
#[test]
fn watch_succeeds_once_in_force_everywhere() {
    let delayed =
        [StatusBuilder::new("e2", 6), StatusBuilder::new("e2", 6), StatusBuilder::new("e2", 8)];
    let run = run_against(
        &["watch", "7"],
        &[fake_entry(&[StatusBuilder::new("e1", 7)]), fake_entry(&delayed)],
    );
    insta::assert_snapshot!(run.stdout);
    assert_eq!(0, run.code);
}

/// After a restore of the platform, revision 7 is published again while revision 9 is in force. The
/// new list has no effect, so `watch` must show the revision that is in force.
#[test]
fn watch_shows_higher_revision_in_force() {
    let run = run_against(&["watch", "7"], &[fake_entry(&[StatusBuilder::new("e1", 9)])]);
    let expected = "rules revision 7: in force on 1 of 1 entries\n  E1: revision 9 in force\n";
    assert_eq!((expected, 0), (run.stdout.as_str(), run.code));
}

#[test]
fn watch_fails_when_revision_is_refused() {
    let run =
        run_against(&["watch", "7"], &[fake_entry(&[StatusBuilder::new("e1", 6).with_refused(7)])]);
    insta::assert_snapshot!(run.stdout);
    assert_eq!(1, run.code);
}

#[test]
fn watch_distinguishes_timeout_unanswered_and_conflict() {
    let timed_out = run_against(
        &["watch", "7", "--for-ms", "1"],
        &[fake_entry(&[StatusBuilder::new("e1", 6)])],
    );
    assert_eq!(1, timed_out.code);
    let malformed = FakeEntry::with_answers(&["{"]);
    assert_eq!(3, run_against(&["watch", "7", "--for-ms", "1"], &[malformed]).code);
    let other = fake_entry(&[StatusBuilder::new("e2", 7).with_digest("bb")]);
    let entries = [fake_entry(&[StatusBuilder::new("e1", 7)]), other];
    let conflict = run_against(&["watch", "7", "--for-ms", "1"], &entries);
    insta::assert_snapshot!(conflict.stdout);
    assert_eq!(1, conflict.code);
}

#[test]
fn audit_merges_trails_by_time() {
    let trail = |vm: &str, at: &str, outcome: &str| {
        let change = format!(
            r#"{{"at":"{at}","list":"rules","from_revision":null,"to_revision":7,
                "digest":"00112233445566778899","outcome":"{outcome}","source":"platform"}}"#
        );
        FakeEntry::with_answers(&[&format!(r#"{{"vm":"{vm}","changes":[{change}]}}"#)])
    };
    let entries = [
        trail("e1", "2026-03-02T00:00:02Z", "accepted"),
        trail("e2", "2026-03-02T00:00:01Z", "conflict-refused"),
    ];
    let run = run_against(&["audit"], &entries);
    insta::assert_snapshot!(run.stdout);
    assert_eq!(0, run.code);
}

/// Returns the metrics of an entry with this configuration, among others with similar names.
fn metrics(version: u64, unusable: u64, ignored: u64, newer: (u64, u64)) -> String {
    let (newer_version, newer_revision) = newer;
    format!(
        "# TYPE shallotfork_configuration_version gauge\n\
         shallotfork_configuration_version {version}\n\
         shallotfork_configuration_unusable_routes {unusable}\n\
         shallotfork_configuration_ignored_elements {ignored}\n\
         shallotfork_ignored_elements{{kind=\"route\"}} 9\n\
         shallotfork_configuration_not_in_force_version {newer_version}\n\
         shallotfork_configuration_not_in_force_revision {newer_revision}\n"
    )
}

/// Guards against an operator who takes a configuration for being in force because the platform has
/// acknowledged it.
#[test]
fn configuration_shows_what_is_not_in_force() {
    let entry = |text: &str| FakeEntry::with_answers(&[text]);
    let entries = [
        entry(&metrics(7, 0, 0, (0, 0))),
        entry(&metrics(7, 1, 3, (0, 0))),
        entry(&metrics(6, 0, 0, (7, 21))),
        entry(&metrics(0, 0, 0, (0, 21))),
    ];
    let run = run_against(&["configuration"], &entries);
    insta::assert_snapshot!(without_padding(&run.stdout));
    assert_eq!(1, run.code);
    let run = run_against(&["configuration", "--json"], &entries[2..3]);
    insta::assert_snapshot!("configuration_json", run.stdout);
    assert_eq!(1, run.code);
}

/// Guards against reporting success while one entry has an older version in force, or gives no metrics.
#[test]
fn configuration_succeeds_if_all_entries_agree() {
    let complete = |version| FakeEntry::with_answers(&[&metrics(version, 0, 0, (0, 0))]);
    assert_eq!(0, run_against(&["configuration"], &[complete(7), complete(7)]).code);
    assert_eq!(1, run_against(&["configuration"], &[complete(7), complete(6)]).code);
    assert_eq!(1, run_against(&["configuration"], &[complete(0)]).code);
    let other = FakeEntry::with_answers(&["shallotd_ready 1\n"]);
    assert_eq!(3, run_against(&["configuration"], &[complete(7), other]).code);
}
