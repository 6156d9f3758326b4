//! The operators' tool against running entries.

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
    Ok(Command::new(program()?).args(args).args(["--entry", &entries.join(",")]).output()?)
}

/// Programs stand beside the directory of the test that runs.
fn program() -> anyhow::Result<std::path::PathBuf> {
    let test = env::current_exe()?;
    let directory = test.parent().and_then(Path::parent);
    Ok(directory.unwrap_or(Path::new(".")).join("shallotctl"))
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// An operator publishes a list and follows it: the tool must end well only once every entry has
/// it, and the trail must name the change on every entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_follows_a_change_until_it_is_in_force_everywhere() -> anyhow::Result<()> {
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
    let changed = |vm: &str| {
        let line = |line: &&str| line.contains(vm) && line.contains("rules");
        audit.lines().filter(line).any(|line| line.contains(&format!(" {revision} ")))
    };
    assert!(changed("entry-0") && changed("entry-1"), "{audit}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_a_refused_change() -> anyhow::Result<()> {
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
async fn an_operator_asks_an_entry_which_rule_decides() -> anyhow::Result<()> {
    let running = Case::new().with_rules(RULES).start().await?;
    let request = ["explain", "--service", "recipes", "--caller", "batch", "--load", "950"];
    let explain = shallotctl(&running, &request)?;
    assert_eq!(Some(0), explain.status.code(), "{explain:?}");
    assert!(stdout(&explain).contains("[batch-when-busy]: decides"), "{explain:?}");
    Ok(())
}

/// A service has rules of its own. An operator who asks an entry must be told what the entry does,
/// which the general list alone does not say.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_is_told_of_a_services_own_rules() -> anyhow::Result<()> {
    let running = Case::new().with_rules(RULES).start().await?;
    let own = "[closed]\nthen.refuse = 451\n";
    running.platform.publish("rules.recipes", own).await?;
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
