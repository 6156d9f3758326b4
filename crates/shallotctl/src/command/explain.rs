//! `shallotctl explain`: which rule decides for a request, and why.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use serde::Serialize;
use shallotfork_rules::{
    Explanation, LoadHysteresis, Outcome, RequestContext, RuleError, RuleList, RuleTrace,
    ServiceIndex, ServiceRuleList, UnmetCondition,
};
use shallotfork_types::{ListName, ServiceName};

use super::{ExplainConfig, RulesSource};
use crate::entries::Entries;
use crate::exit::Exit;

#[derive(Debug, Serialize)]
struct ExplanationJson {
    decided: String,
    outcome: OutcomeJson,
    rules: Vec<RuleJson>,
}

#[derive(Debug, Serialize)]
struct OutcomeJson {
    prefer: Vec<String>,
    deadline_ms: Option<u128>,
    retries: u32,
    hedge: bool,
    priority: String,
    refuse: Option<u16>,
    retry_after_ms: Option<u128>,
}

#[derive(Debug, Serialize)]
struct RuleJson {
    name: String,
    line: usize,
    unmet: Vec<UnmetJson>,
}

#[derive(Debug, Serialize)]
struct UnmetJson {
    key: String,
    wanted: String,
    found: String,
}

/// Prints each rule in turn down to the one that decides, and what applies.
///
/// # Errors
/// When the rules cannot be read.
pub async fn explain(config: &ExplainConfig) -> Result<Exit> {
    let texts = read_rules(config).await?;
    let list = match joined(&texts, &config.service) {
        Ok(list) => list,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return Ok(Exit::No);
        }
    };
    let request_context = RequestContext {
        caller: config.caller.clone(),
        service: config.service.clone(),
        at: config.at,
        load: config.load,
    };
    let explanation = list.explain(&request_context, &mut LoadHysteresis::new(&list));
    if config.json {
        let json = ExplanationJson::from(&explanation);
        println!("{}", serde_json::to_string_pretty(&json)?);
        return Ok(Exit::Done);
    }
    print!("{}", shown(&explanation));
    Ok(Exit::Done)
}

/// The general list, and the service's own one if it has any.
struct Texts {
    general: String,
    part: Option<String>,
}

async fn read_rules(config: &ExplainConfig) -> Result<Texts> {
    match &config.source {
        RulesSource::Files(general, part) => Ok(Texts {
            general: read_file(general)?,
            part: part.as_deref().map(read_file).transpose()?,
        }),
        RulesSource::Entry(entry) => {
            let entries = Entries::new(entry.clone())?;
            let general = entries.list(&ListName::Rules).await?;
            let part = ListName::ServiceRules(config.service.clone());
            Ok(Texts {
                general: general.context("no rule list is in force there")?,
                part: entries.list(&part).await?,
            })
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// The rules as an entry would go through them.
fn joined(texts: &Texts, service: &ServiceName) -> Result<RuleList, Vec<RuleError>> {
    let general = RuleList::parse(&texts.general)?;
    let part = texts.part.as_deref().map(ServiceRuleList::parse).transpose()?;
    let Some(part) = part else { return Ok(general) };
    Ok(ServiceIndex::new(&general).rules_for(service, Some(&part)))
}

fn shown(explanation: &Explanation) -> String {
    let rules: String = explanation.rules.iter().map(|rule| format!("{rule}\n")).collect();
    format!("{rules}\n{}", shown_outcome(&explanation.outcome))
}

fn shown_outcome(outcome: &Outcome) -> String {
    let json = OutcomeJson::from(outcome);
    let after = json.retry_after_ms.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
    if let Some(status) = json.refuse {
        return format!("refused with status {status}{after}\n");
    }
    let prefer = if json.prefer.is_empty() { "any".to_owned() } else { json.prefer.join(", ") };
    let deadline =
        json.deadline_ms.map_or("as in the settings".to_owned(), |ms| format!("{ms} ms"));
    let hedge = if json.hedge { "yes" } else { "no" };
    format!(
        "failure domains: {prefer}\ndeadline: {deadline}\nretries: {}\nhedge: {hedge}\n\
         priority: {}\n",
        json.retries, json.priority
    )
}

impl From<&Explanation> for ExplanationJson {
    fn from(explanation: &Explanation) -> Self {
        Self {
            decided: explanation.deciding_rule.to_string(),
            outcome: OutcomeJson::from(&explanation.outcome),
            rules: explanation.rules.iter().map(RuleJson::from).collect(),
        }
    }
}

impl From<&Outcome> for OutcomeJson {
    fn from(outcome: &Outcome) -> Self {
        let refuse = outcome.refuse.as_ref();
        Self {
            prefer: outcome.prefer.iter().map(ToString::to_string).collect(),
            deadline_ms: outcome.deadline.map(|deadline| deadline.as_millis()),
            retries: outcome.retries,
            hedge: outcome.hedge,
            priority: outcome.priority.to_string(),
            refuse: refuse.map(|refusal| refusal.status),
            retry_after_ms: refuse.and_then(|refusal| refusal.retry_after).map(|d| d.as_millis()),
        }
    }
}

impl From<&RuleTrace> for RuleJson {
    fn from(rule: &RuleTrace) -> Self {
        let unmet = rule.unmet.iter().map(UnmetJson::from).collect();
        Self { name: rule.name.to_string(), line: rule.line, unmet }
    }
}

impl From<&UnmetCondition> for UnmetJson {
    fn from(unmet: &UnmetCondition) -> Self {
        let UnmetCondition { key, wanted, found } = unmet.clone();
        Self { key, wanted, found }
    }
}
