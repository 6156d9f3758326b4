//! INI text to a rule list.

mod conditions;
mod outcome;

use std::collections::HashMap;

use shallotfork_ini::{Document, Section};

use crate::section_reader::SectionReader;
use crate::{Rule, RuleError, RuleList};

/// Rules in one list; more are refused, to bound the time that a decision takes.
const MAX_RULES: usize = 2000;

/// Longest text; the platform holds no longer value.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

pub(crate) fn parse(text: &str) -> Result<RuleList, Vec<RuleError>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![whole_list("over 1 MiB")]);
    }
    let document = Document::parse(text).map_err(into_rule_errors)?;
    let sections = &document.sections;
    if sections.len() > MAX_RULES {
        return Err(vec![whole_list("over 2000 rules")]);
    }
    let mut errors = repeated_names(sections);
    let rules: Vec<Option<Rule>> =
        sections.iter().map(|section| read_rule(section, &mut errors)).collect();
    errors.extend(misplaced_fallback(sections));
    errors.sort_by_key(|error| error.line);
    let rules: Option<Vec<Rule>> = rules.into_iter().collect();
    match rules.and_then(with_fallback) {
        Some(list) if errors.is_empty() => Ok(list),
        _ => Err(errors),
    }
}

pub(crate) fn keys() -> impl Iterator<Item = &'static str> {
    conditions::KEYS.iter().chain(outcome::KEYS).copied()
}

fn into_rule_errors(errors: Vec<shallotfork_ini::IniError>) -> Vec<RuleError> {
    errors.into_iter().map(RuleError::from).collect()
}

fn whole_list(reason: &str) -> RuleError {
    RuleError::new(1, "", "", reason)
}

fn with_fallback(mut rules: Vec<Rule>) -> Option<RuleList> {
    let fallback = rules.pop()?;
    Some(RuleList::new(rules, fallback))
}

fn repeated_names(sections: &[Section]) -> Vec<RuleError> {
    let mut first_lines = HashMap::new();
    let mut errors = Vec::new();
    for Section { line, name, .. } in sections {
        if let Some(first) = first_lines.get(name) {
            let reason = format_args!("repeats the name of the rule in line {first}");
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

/// Exactly one rule has no conditions, and it stands last.
fn misplaced_fallback(sections: &[Section]) -> Option<RuleError> {
    let Some(last) = sections.last() else {
        return Some(whole_list("no rules"));
    };
    let Some(fallback) = sections.iter().find(|section| !is_conditional(section)) else {
        let reason = "the last rule must have no when. keys, so that some rule always decides";
        return Some(RuleError::new(last.line, &last.name, "", reason));
    };
    let next = sections.iter().find(|section| section.line > fallback.line)?;
    let reason = format_args!("never reached: [{}] above has no when. keys", fallback.name);
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
