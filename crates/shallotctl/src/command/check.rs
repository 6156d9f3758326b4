//! `shallotctl check`: checks whether a rule list is valid.

use std::fs;

use anyhow::{Context, Result};
use serde::Serialize;
use shallotfork_rules::{RuleError, RuleList, ServiceRuleList};

use super::CheckConfig;
use crate::exit::ExitStatus;

#[derive(Debug, Serialize)]
struct CheckJson {
    valid: bool,
    rules: usize,
    errors: Vec<RuleErrorJson>,
}

#[derive(Debug, Serialize)]
struct RuleErrorJson {
    line: usize,
    rule: String,
    key: String,
    reason: String,
}

/// Checks a file and prints every error.
///
/// # Errors
/// When the file cannot be read.
pub fn check(config: &CheckConfig) -> Result<ExitStatus> {
    let path = config.file.display();
    let text = fs::read_to_string(&config.file).with_context(|| format!("cannot read {path}"))?;
    let parsed = match config.service {
        None => RuleList::parse(&text).map(|list| list.rule_count()),
        Some(_) => ServiceRuleList::parse(&text).map(|list| list.rule_count()),
    };
    let status = if parsed.is_ok() { ExitStatus::Success } else { ExitStatus::Negative };
    if config.json {
        println!("{}", serde_json::to_string_pretty(&to_json(parsed))?);
        return Ok(status);
    }
    match parsed {
        Ok(rules) => println!("{path}: valid, {rules} rules"),
        Err(errors) => errors.iter().for_each(|error| println!("{path}: {error}")),
    }
    Ok(status)
}

fn to_json(parsed: Result<usize, Vec<RuleError>>) -> CheckJson {
    let rules = parsed.as_ref().copied().unwrap_or(0);
    let valid = parsed.is_ok();
    let errors = parsed.err().unwrap_or_default();
    CheckJson { valid, rules, errors: errors.into_iter().map(RuleErrorJson::from).collect() }
}

impl From<RuleError> for RuleErrorJson {
    fn from(error: RuleError) -> Self {
        let RuleError { line, rule, key, reason } = error;
        Self { line, rule, key, reason }
    }
}
