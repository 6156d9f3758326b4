//! Ranges of times of day.

use std::fmt;
use std::str::FromStr;

use jiff::civil::Time;
use shallotfork_types::ParseError;

const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;

/// A range of times of day: the start is included, the end excluded; `22:00-04:00` spans midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeRange {
    from_minutes: u16,
    to_minutes: u16,
}

impl TimeRange {
    /// Returns whether `time` is in the range.
    pub fn contains(self, time: Time) -> bool {
        let minutes = minutes_since_midnight(time);
        if self.from_minutes < self.to_minutes {
            return (self.from_minutes..self.to_minutes).contains(&minutes);
        }
        minutes >= self.from_minutes || minutes < self.to_minutes
    }
}

fn minutes_since_midnight(time: Time) -> u16 {
    let hours = u16::from(time.hour().unsigned_abs());
    hours * MINUTES_PER_HOUR + u16::from(time.minute().unsigned_abs())
}

/// Parses `HH:MM` into minutes since midnight; `24:00` is the end of the day.
fn parse_minutes(text: &str) -> Option<u16> {
    if text == "24:00" {
        return Some(MINUTES_PER_DAY);
    }
    let has_full_length = text.len() == "HH:MM".len();
    let time = Time::strptime("%H:%M", text).ok().filter(|_| has_full_length)?;
    Some(minutes_since_midnight(time))
}

impl fmt::Display for TimeRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from_minutes, self.to_minutes);
        let hour = |minutes| minutes / MINUTES_PER_HOUR;
        let minute = |minutes| minutes % MINUTES_PER_HOUR;
        write!(f, "{:02}:{:02}-{:02}:{:02}", hour(from), minute(from), hour(to), minute(to))
    }
}

impl FromStr for TimeRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = || ParseError::new("a time range such as 06:00-11:00", text);
        let (from, to) = text.split_once('-').ok_or_else(expected)?;
        let from_minutes = parse_minutes(from).ok_or_else(expected)?;
        let to_minutes = parse_minutes(to).ok_or_else(expected)?;
        let starts_before_end_of_day = from_minutes < MINUTES_PER_DAY;
        if from_minutes == to_minutes || !starts_before_end_of_day {
            return Err(expected());
        }
        Ok(Self { from_minutes, to_minutes })
    }
}
