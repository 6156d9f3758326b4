//! `shallotctl explain`: shows which rule decides a request, and why.

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
use crate::entries::EntriesClient;
use crate::exit::ExitStatus;

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

/// Prints each rule in turn up to the one that decides, and the outcome that applies.
///
/// # Errors
/// When the rules cannot be read.
pub async fn explain(config: &ExplainConfig) -> Result<ExitStatus> {
    let texts = read_rules(config).await?;
    let list = match effective_rules(&texts, &config.service) {
        Ok(list) => list,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return Ok(ExitStatus::Negative);
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
        return Ok(ExitStatus::Success);
    }
    print!("{}", render(&explanation));
    Ok(ExitStatus::Success)
}

/// Texts of the general rule list and, if the service has one, its own rule list.
struct RuleTexts {
    general: String,
    service_rules: Option<String>,
}

async fn read_rules(config: &ExplainConfig) -> Result<RuleTexts> {
    match &config.source {
        RulesSource::Files(general, service_rules) => Ok(RuleTexts {
            general: read_file(general)?,
            service_rules: service_rules.as_deref().map(read_file).transpose()?,
        }),
        RulesSource::Entry(entry) => {
            let entries = EntriesClient::new(entry.clone())?;
            let general = entries.list(&ListName::Rules).await?;
            let service_rules = ListName::ServiceRules(config.service.clone());
            Ok(RuleTexts {
                general: general.context("the entry has no rule list in force")?,
                service_rules: entries.list(&service_rules).await?,
            })
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Returns the rules in the sequence in which an entry evaluates them.
fn effective_rules(texts: &RuleTexts, service: &ServiceName) -> Result<RuleList, Vec<RuleError>> {
    let general = RuleList::parse(&texts.general)?;
    let service_rules = texts.service_rules.as_deref().map(ServiceRuleList::parse).transpose()?;
    let Some(service_rules) = service_rules else { return Ok(general) };
    Ok(ServiceIndex::new(&general).rules_for(service, Some(&service_rules)))
}

fn render(explanation: &Explanation) -> String {
    let rules: String = explanation.rules.iter().map(|rule| format!("{rule}\n")).collect();
    format!("{rules}\n{}", render_outcome(&explanation.outcome))
}

fn render_outcome(outcome: &Outcome) -> String {
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
