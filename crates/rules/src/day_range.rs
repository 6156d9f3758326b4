//! Ranges of days of the week.

use std::fmt;
use std::str::FromStr;

use jiff::civil::Weekday;
use shallotfork_types::ParseError;

/// One day (`sat`) or an inclusive range (`mon-fri`), which may span the end of the week.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DayRange {
    first: Weekday,
    last: Weekday,
}

const DAY_NAMES: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

impl DayRange {
    /// Returns whether `day` is in the range.
    pub fn contains(self, day: Weekday) -> bool {
        self.first.until(day) <= self.first.until(self.last)
    }
}

fn parse_day(text: &str) -> Option<Weekday> {
    DAY_NAMES.iter().find(|(name, _)| *name == text).map(|(_, day)| *day)
}

fn day_name(day: Weekday) -> &'static str {
    DAY_NAMES.iter().find(|(_, weekday)| *weekday == day).map_or("", |(name, _)| name)
}

impl fmt::Display for DayRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.first == self.last {
            return f.write_str(day_name(self.first));
        }
        write!(f, "{}-{}", day_name(self.first), day_name(self.last))
    }
}

impl FromStr for DayRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        match (parse_day(first), parse_day(last)) {
            (Some(first), Some(last)) => Ok(Self { first, last }),
            _ => Err(ParseError::new("days such as sat or mon-fri", text)),
        }
    }
}
