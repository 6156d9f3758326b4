//! The operator tool `shallotctl` against running entries.

use std::env;
use std::path::Path;
use std::process::{Command, Output};

use shallotfork_tests::{Case, Running, wait_until};

const RULES: &str = "\
[batch-when-busy]
when.caller = batch
when.load_above = 900
then.refuse = 503
[everything]
then.deadline_ms = 2000
";

/// Runs `shallotctl` against every entry.
fn shallotctl(running: &Running, args: &[&str]) -> anyhow::Result<Output> {
    let entries: Vec<String> =
        running.entries.iter().map(|entry| entry.ready.operators.to_string()).collect();
    Ok(Command::new(shallotctl_path()?)
        .args(args)
        .args(["--entry", &entries.join(",")])
        .output()?)
}

/// Returns the path of `shallotctl`; programs are built next to the test binary's folder.
fn shallotctl_path() -> anyhow::Result<std::path::PathBuf> {
    let test_binary = env::current_exe()?;
    let directory = test_binary.parent().and_then(Path::parent);
    Ok(directory.unwrap_or(Path::new(".")).join("shallotctl"))
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// An operator publishes a list and watches it. `watch` must exit successfully only once the list
/// is in force on every entry, and the audit trail must show the change for every entry.
#[tokio::test(flavor = "multi_thread")]
async fn watch_ends_once_change_is_in_force_on_every_entry() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).with_service("recipes", 1).start().await?;
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", RULES, before).await?;
    let revision = published.map(|revision| revision.to_string()).unwrap_or_default();

    let watch = shallotctl(&running, &["watch", &revision])?;
    assert_eq!(Some(0), watch.status.code(), "{watch:?}");
    assert!(stdout(&watch).contains("in force on 2 of 2 entries"), "{watch:?}");

    let status = shallotctl(&running, &["status"])?;
    assert_eq!(Some(0), status.status.code(), "{status:?}");
    for text in ["entry-0", "entry-1", "serving", "recipes-0"] {
        assert!(stdout(&status).contains(text), "{text} in {status:?}");
    }

    let audit = stdout(&shallotctl(&running, &["audit"])?);
    let has_change = |vm: &str| {
        let is_rules_line = |line: &&str| line.contains(vm) && line.contains("rules");
        audit.lines().filter(is_rules_line).any(|line| line.contains(&format!(" {revision} ")))
    };
    assert!(has_change("entry-0") && has_change("entry-1"), "{audit}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_reports_a_refused_change() -> anyhow::Result<()> {
    let running = Case::new().with_entries(2).start().await?;
    let before = running.entries[0].rules_revision().await;
    let published = running.platform.publish_over("rules", "[a]\n[b]\n", before).await?;
    let revision = published.map(|revision| revision.to_string()).unwrap_or_default();
    let watch = shallotctl(&running, &["watch", &revision])?;
    assert_eq!(Some(1), watch.status.code(), "{watch:?}");
    assert!(stdout(&watch).contains("refused: not valid"), "{watch:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_the_deciding_rule() -> anyhow::Result<()> {
    let running = Case::new().with_rules(RULES).start().await?;
    let request = ["explain", "--service", "recipes", "--caller", "batch", "--load", "950"];
    let explain = shallotctl(&running, &request)?;
    assert_eq!(Some(0), explain.status.code(), "{explain:?}");
    assert!(stdout(&explain).contains("[batch-when-busy]: decides"), "{explain:?}");
    Ok(())
}

/// A service has a rule list of its own. `explain` must show the rule that the entry applies, which
/// the general list alone does not determine.
#[tokio::test(flavor = "multi_thread")]
async fn explain_considers_rules_of_the_service() -> anyhow::Result<()> {
    let running = Case::new().with_rules(RULES).start().await?;
    let service_rules = "[closed]\nthen.refuse = 451\n";
    running.platform.publish("rules.recipes", service_rules).await?;
    let request = ["explain", "--service", "recipes", "--caller", "batch"];
    wait_until("the service's rules are in force", async || {
        shallotctl(&running, &request)
            .is_ok_and(|explain| stdout(&explain).contains("[closed]: decides"))
    })
    .await?;
    let other = shallotctl(&running, &["explain", "--service", "cards"])?;
    assert!(stdout(&other).contains("[everything]: decides"), "{other:?}");
    Ok(())
}
