//! DayRange of the week.

use std::fmt;
use std::str::FromStr;

use jiff::civil::Weekday;
use shallotfork_types::ParseError;

/// One day, `sat`, or a run of days, `mon-fri`, which may pass the end of the week.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DayRange {
    first: Weekday,
    last: Weekday,
}

const NAMES: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

impl DayRange {
    /// Whether `day` is one of them.
    pub fn contains(self, day: Weekday) -> bool {
        self.first.until(day) <= self.first.until(self.last)
    }
}

fn day(text: &str) -> Option<Weekday> {
    NAMES.iter().find(|(name, _)| *name == text).map(|(_, day)| *day)
}

fn name(day: Weekday) -> &'static str {
    NAMES.iter().find(|(_, known)| *known == day).map_or("", |(name, _)| name)
}

impl fmt::Display for DayRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.first == self.last {
            return f.write_str(name(self.first));
        }
        write!(f, "{}-{}", name(self.first), name(self.last))
    }
}

impl FromStr for DayRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        match (day(first), day(last)) {
            (Some(first), Some(last)) => Ok(Self { first, last }),
            _ => Err(ParseError::new("days such as sat or mon-fri", text)),
        }
    }
}
