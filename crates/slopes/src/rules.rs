//! Rule lists: checking one, and deciding a request.

use anyhow::{Result, bail};
use jiff::Timestamp;
use shallotfork_rules::{LoadHysteresis, RequestContext, RuleList};
use shallotfork_types::Permille;

use crate::measure::{memory, time};

/// Rules in the list whose memory is measured.
const RULES: usize = 5000;

fn text(rules: usize) -> String {
    let mut text = String::new();
    for index in 1..rules {
        text.push_str(&format!(
            "[rule-{index}]\nwhen.service = service-{index}\nwhen.caller = caller-{index}\n\
             then.deadline_ms = 800\nthen.hedge = yes\n\n"
        ));
    }
    text.push_str("[default]\nthen.deadline_ms = 2000\n");
    text
}

fn parse(text: &str) -> Result<RuleList> {
    match RuleList::parse(text) {
        Ok(list) => Ok(list),
        Err(errors) => bail!("{} errors in a generated rule list", errors.len()),
    }
}

/// Prints the slopes of rule lists.
///
/// # Errors
/// When a list is not valid or memory cannot be read.
pub fn rules() -> Result<()> {
    let request_context = RequestContext {
        caller: Some("caller-0".parse()?),
        service: "service-0".parse()?,
        at: Timestamp::now(),
        load: Some(Permille::new(500)),
    };
    for count in [10, 100, 1000] {
        let text = text(count);
        println!("| text of a rule list | {count} | {} | | | bytes |", text.len());
        time("check a rule list", count, || RuleList::parse(&text));
        let list = parse(&text)?;
        let mut load_hysteresis = LoadHysteresis::new(&list);
        time("decide by the last rule", count, || {
            list.decide(&request_context, &mut load_hysteresis).outcome.clone()
        });
    }
    Ok(())
}

/// Prints the memory of rule lists.
///
/// # Errors
/// When a list is not valid or memory cannot be read.
pub fn rules_memory() -> Result<()> {
    let large = text(RULES);
    memory("rules in typed form", RULES, || parse(&large))
}
