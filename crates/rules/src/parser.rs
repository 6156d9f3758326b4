//! INI text to a rule list.

mod conditions;
mod outcome;

use std::collections::HashMap;
use std::sync::Arc;

use shallotfork_ini::{Document, Section};

use crate::section_reader::SectionReader;
use crate::{Rule, RuleError, RuleList, ServiceRuleList};

/// Rules in one list; more are refused, to bound the time that a decision takes.
const MAX_RULES: usize = 2000;

/// Longest text; the platform holds no longer value.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

pub(crate) fn parse(text: &str) -> Result<RuleList, Vec<RuleError>> {
    let rules = read(text, |sections| misplaced_fallback(sections).into_iter().collect())?;
    with_fallback(rules).ok_or_else(|| vec![whole_list("no rules")])
}

pub(crate) fn parse_part(text: &str) -> Result<ServiceRuleList, Vec<RuleError>> {
    let check = |sections: &[Section]| {
        let mut errors = service_keys(sections);
        errors.extend(unreached(sections));
        errors
    };
    Ok(ServiceRuleList::new(read(text, check)?))
}

/// Reads all rules; `check` looks at them as a whole.
fn read(
    text: &str,
    check: impl Fn(&[Section]) -> Vec<RuleError>,
) -> Result<Vec<Arc<Rule>>, Vec<RuleError>> {
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

fn whole_list(reason: &str) -> RuleError {
    RuleError::new(1, "", "", reason)
}

fn with_fallback(mut rules: Vec<Arc<Rule>>) -> Option<RuleList> {
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
    if sections.iter().all(is_conditional) {
        let reason = "the last rule must have no when. keys, so that some rule always decides";
        return Some(RuleError::new(last.line, &last.name, "", reason));
    }
    unreached(sections)
}

/// In a list for one service the service is given by the list's name.
fn service_keys(sections: &[Section]) -> Vec<RuleError> {
    let mut errors = Vec::new();
    for section in sections {
        for entry in section.entries.iter().filter(|entry| entry.key == conditions::SERVICE) {
            let reason = "not allowed in a list for one service";
            errors.push(RuleError::new(entry.line, &section.name, &entry.key, reason));
        }
    }
    errors
}

/// Rules below one without conditions.
fn unreached(sections: &[Section]) -> Option<RuleError> {
    let fallback = sections.iter().find(|section| !is_conditional(section))?;
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
