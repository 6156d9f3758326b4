//! Commands that ask entries.

use crate::support::{FakeEntry, Run, file, shallotctl};

const TEMPLATE: &str = r#"{"vm":"VM","incarnation":"00000000000000ff","state":"serving",
    "synced_revision":9,"lists":[{"name":"rules","revision":REV,"digest":"DIGEST","in_force_ms":5,
    "refused_revision":REFUSED}],"targets":[{"id":"t1","service":"orders","state":"serving",
    "in_flight":2}],"sessions":{"issued":3,"operations":1,"kept_bytes":10,"sealed_ledgers":0},
    "budgets":{"attempts":9,"retries":1,"hedges":0,"probes":4,"platform_calls":7},
    "entries":[{"vm":"e1","failure_domain":"boulder","callers":"127.0.0.1:1","state":"live"}]}"#;

/// A status report for tests, built in a chain.
struct Status {
    vm: String,
    revision: u64,
    digest: String,
    refused: Option<u64>,
}

impl Status {
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

/// Runs a command against these entries and shows their addresses as `E1`, `E2`.
fn ask(command: &[&str], entries: &[FakeEntry]) -> Run {
    let addresses: Vec<String> = entries.iter().map(FakeEntry::address).collect();
    let token = file(&format!("token-{}", addresses.join("-").replace(':', "_")), "sesame\n");
    let asked = addresses.join(",");
    let options = ["--entry", &asked, "--token-file", &token];
    let mut run = shallotctl(&[command, &options].concat());
    for (index, address) in addresses.iter().enumerate() {
        run.stdout = run.stdout.replace(address, &format!("E{}", index + 1));
    }
    run
}

fn entry(statuses: &[Status]) -> FakeEntry {
    let answers: Vec<String> = statuses.iter().map(Status::json).collect();
    FakeEntry::with_answers(&answers.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Column widths follow the length of a port number, which the kernel chooses.
fn without_padding(table: &str) -> String {
    let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    table.lines().map(|line| words(line) + "\n").collect()
}

#[test]
fn status_shows_every_entry() {
    let entries = [entry(&[Status::new("e1", 7)]), entry(&[Status::new("e2", 6).with_refused(8)])];
    let run = ask(&["status"], &entries);
    insta::assert_snapshot!(without_padding(&run.stdout));
    assert_eq!(0, run.code);
}

#[test]
fn status_without_the_token_is_refused() {
    let entry = entry(&[Status::new("e1", 7)]);
    let run = shallotctl(&["status", "--entry", &entry.address()]);
    assert!(run.stdout.contains("401"), "{}", run.stdout);
    assert_eq!(3, run.code);
}

/// An operator publishes revision 7; one entry has it at once, the other one a little later. The
/// command must end well only after the second one has it too.
#[test]
fn watch_ends_when_the_revision_is_in_force_everywhere() {
    let late = [Status::new("e2", 6), Status::new("e2", 6), Status::new("e2", 8)];
    let run = ask(&["watch", "7"], &[entry(&[Status::new("e1", 7)]), entry(&late)]);
    insta::assert_snapshot!(run.stdout);
    assert_eq!(0, run.code);
}

/// The platform was restored and an operator publishes revision 7 again, below revision 9 which is
/// in force. The list has no effect, and the operator must see which one has.
#[test]
fn watch_shows_a_higher_revision_in_force() {
    let run = ask(&["watch", "7"], &[entry(&[Status::new("e1", 9)])]);
    let expected = "rules revision 7: in force on 1 of 1 entries\n  E1: revision 9 in force\n";
    assert_eq!((expected, 0), (run.stdout.as_str(), run.code));
}

#[test]
fn watch_ends_when_the_revision_was_refused() {
    let run = ask(&["watch", "7"], &[entry(&[Status::new("e1", 6).with_refused(7)])]);
    insta::assert_snapshot!(run.stdout);
    assert_eq!(1, run.code);
}

#[test]
fn watch_tells_late_from_unanswered_and_conflict() {
    let late = ask(&["watch", "7", "--for-ms", "1"], &[entry(&[Status::new("e1", 6)])]);
    assert_eq!(1, late.code);
    let silent = FakeEntry::with_answers(&["{"]);
    assert_eq!(3, ask(&["watch", "7", "--for-ms", "1"], &[silent]).code);
    let other = entry(&[Status::new("e2", 7).with_digest("bb")]);
    let entries = [entry(&[Status::new("e1", 7)]), other];
    let conflict = ask(&["watch", "7", "--for-ms", "1"], &entries);
    insta::assert_snapshot!(conflict.stdout);
    assert_eq!(1, conflict.code);
}

#[test]
fn audit_merges_the_trails() {
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
    let run = ask(&["audit"], &entries);
    insta::assert_snapshot!(run.stdout);
    assert_eq!(0, run.code);
}
