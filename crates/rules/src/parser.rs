//! Parser for rule lists in INI text.

mod conditions;
mod outcome;

use std::collections::HashMap;
use std::sync::Arc;

use shallotfork_ini::{Document, Section};

use crate::section_reader::SectionReader;
use crate::{Rule, RuleError, RuleList, ServiceRuleList};

/// Maximum number of rules in a list; bounds the time that a decision takes.
const MAX_RULES: usize = 2000;

/// Maximum length of a list; the platform does not store longer values.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

pub(crate) fn parse(text: &str) -> Result<RuleList, Vec<RuleError>> {
    let rules = read_rules(text, |sections| misplaced_fallback(sections).into_iter().collect())?;
    into_rule_list(rules).ok_or_else(|| vec![list_error("no rules")])
}

pub(crate) fn parse_service_list(text: &str) -> Result<ServiceRuleList, Vec<RuleError>> {
    let check = |sections: &[Section]| {
        let mut errors = service_key_errors(sections);
        errors.extend(unreachable_rule(sections));
        errors
    };
    Ok(ServiceRuleList::new(read_rules(text, check)?))
}

/// Reads all rules; `check` returns the errors that concern the list as a whole.
fn read_rules(
    text: &str,
    check: impl Fn(&[Section]) -> Vec<RuleError>,
) -> Result<Vec<Arc<Rule>>, Vec<RuleError>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![list_error("list exceeds 1 MiB")]);
    }
    let document = Document::parse(text).map_err(into_rule_errors)?;
    let sections = &document.sections;
    if sections.len() > MAX_RULES {
        return Err(vec![list_error("list exceeds 2000 rules")]);
    }
    let mut errors = duplicate_names(sections);
    let rules: Vec<Option<Rule>> =
        sections.iter().map(|section| read_rule(section, &mut errors)).collect();
    errors.extend(check(sections));
    errors.sort_by_key(|error| error.line);
    let rules: Option<Vec<Arc<Rule>>> = rules.into_iter().map(|rule| rule.map(Arc::new)).collect();
    match rules {
        Some(rules) if errors.is_empty() => Ok(rules),
        _ => Err(errors),
    }
}

pub(crate) fn keys() -> impl Iterator<Item = &'static str> {
    conditions::KEYS.iter().chain(outcome::KEYS).copied()
}

fn into_rule_errors(errors: Vec<shallotfork_ini::IniError>) -> Vec<RuleError> {
    errors.into_iter().map(RuleError::from).collect()
}

fn list_error(reason: &str) -> RuleError {
    RuleError::new(1, "", "", reason)
}

fn into_rule_list(mut rules: Vec<Arc<Rule>>) -> Option<RuleList> {
    let fallback = rules.pop()?;
    Some(RuleList::new(rules, fallback))
}

fn duplicate_names(sections: &[Section]) -> Vec<RuleError> {
    let mut first_lines = HashMap::new();
    let mut errors = Vec::new();
    for Section { line, name, .. } in sections {
        if let Some(first) = first_lines.get(name) {
            let reason = format_args!("rule name is already used on line {first}");
            errors.push(RuleError::new(*line, name, "", reason));
            continue;
        }
        first_lines.insert(name, *line);
    }
    errors
}

fn is_conditional(section: &Section) -> bool {
    section.entries.iter().any(|entry| entry.key.starts_with("when."))
}

/// Returns an error unless exactly one rule has no conditions and it is the last one.
fn misplaced_fallback(sections: &[Section]) -> Option<RuleError> {
    let Some(last) = sections.last() else {
        return Some(list_error("no rules"));
    };
    if sections.iter().all(is_conditional) {
        let reason = "the last rule must have no when. keys, so that some rule always decides";
        return Some(RuleError::new(last.line, &last.name, "", reason));
    }
    unreachable_rule(sections)
}

/// Returns an error for each `when.service` in a list for one service; its name gives the service.
fn service_key_errors(sections: &[Section]) -> Vec<RuleError> {
    let mut errors = Vec::new();
    for section in sections {
        for entry in section.entries.iter().filter(|entry| entry.key == conditions::SERVICE_KEY) {
            let reason = "not allowed in a list for one service";
            errors.push(RuleError::new(entry.line, &section.name, &entry.key, reason));
        }
    }
    errors
}

/// Returns an error for the first rule that can never decide, since one above has no conditions.
fn unreachable_rule(sections: &[Section]) -> Option<RuleError> {
    let fallback = sections.iter().find(|section| !is_conditional(section))?;
    let next = sections.iter().find(|section| section.line > fallback.line)?;
    let reason = format_args!("unreachable: [{}] above has no when. keys", fallback.name);
    Some(RuleError::new(next.line, &next.name, "", reason))
}

fn read_rule(section: &Section, errors: &mut Vec<RuleError>) -> Option<Rule> {
    let mut reader = SectionReader::new(section);
    reader.check_keys(&keys().collect::<Vec<_>>());
    let name = section.name.parse().map_err(|error| reader.reject("", error)).ok();
    let conditions = conditions::read(&mut reader);
    let outcome = outcome::read(&mut reader);
    errors.extend(reader.into_errors());
    Some(Rule { name: name?, line: section.line, conditions, outcome })
}
