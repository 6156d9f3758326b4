//! Costs of rule lists: checking a list and deciding a request.

use anyhow::{Result, bail};
use jiff::Timestamp;
use shallotfork_rules::{LoadHysteresis, RequestContext, RuleList};
use shallotfork_types::Permille;

use crate::measure::{measure_memory, measure_time};

/// Number of rules in the list whose memory is measured.
const RULE_COUNT: usize = 5000;

fn rules_text(rules: usize) -> String {
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

fn parse_rules(text: &str) -> Result<RuleList> {
    match RuleList::parse(text) {
        Ok(list) => Ok(list),
        Err(errors) => bail!("{} errors in a generated rule list", errors.len()),
    }
}

/// Measures and prints the processor time of operations on rule lists.
///
/// # Errors
/// When a generated name or list is not valid.
pub fn print_times() -> Result<()> {
    let request_context = RequestContext {
        caller: Some("caller-0".parse()?),
        service: "service-0".parse()?,
        at: Timestamp::now(),
        load: Some(Permille::new(500)),
    };
    for count in [10, 100, 1000] {
        let text = rules_text(count);
        println!("| text of a rule list | {count} | {} | | | bytes |", text.len());
        measure_time("check a rule list", count, || RuleList::parse(&text));
        let list = parse_rules(&text)?;
        let mut load_hysteresis = LoadHysteresis::new(&list);
        measure_time("decide by the last rule", count, || {
            list.decide(&request_context, &mut load_hysteresis).outcome.clone()
        });
    }
    Ok(())
}

/// Measures and prints the memory of rule lists.
///
/// # Errors
/// When the resident memory cannot be read.
pub fn print_memory() -> Result<()> {
    let large = rules_text(RULE_COUNT);
    measure_memory("rules in typed form", RULE_COUNT, || parse_rules(&large))
}
