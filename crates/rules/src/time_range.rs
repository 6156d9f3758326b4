//! Times of day.

use std::fmt;
use std::str::FromStr;

use jiff::civil::Time;
use shallotfork_types::ParseError;

const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;

/// From one time of day, included, to another, excluded; `22:00-04:00` passes midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeRange {
    from_minutes: u16,
    to_minutes: u16,
}

impl TimeRange {
    /// Whether `time` is in the range.
    pub fn contains(self, time: Time) -> bool {
        let minutes = minutes(time);
        if self.from_minutes < self.to_minutes {
            return (self.from_minutes..self.to_minutes).contains(&minutes);
        }
        minutes >= self.from_minutes || minutes < self.to_minutes
    }
}

fn minutes(time: Time) -> u16 {
    let hours = u16::from(time.hour().unsigned_abs());
    hours * MINUTES_PER_HOUR + u16::from(time.minute().unsigned_abs())
}

/// Reads `HH:MM`; `24:00` is the end of the day.
fn parse_minutes(text: &str) -> Option<u16> {
    if text == "24:00" {
        return Some(MINUTES_PER_DAY);
    }
    let written_in_full = text.len() == "HH:MM".len();
    let time = Time::strptime("%H:%M", text).ok().filter(|_| written_in_full)?;
    Some(minutes(time))
}

impl fmt::Display for TimeRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from_minutes, self.to_minutes);
        let hour = |minutes| minutes / MINUTES_PER_HOUR;
        let rest = |minutes| minutes % MINUTES_PER_HOUR;
        write!(f, "{:02}:{:02}-{:02}:{:02}", hour(from), rest(from), hour(to), rest(to))
    }
}

impl FromStr for TimeRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = || ParseError::new("a time range such as 06:00-11:00", text);
        let (from, to) = text.split_once('-').ok_or_else(expected)?;
        let from_minutes = parse_minutes(from).ok_or_else(expected)?;
        let to_minutes = parse_minutes(to).ok_or_else(expected)?;
        let begins_today = from_minutes < MINUTES_PER_DAY;
        if from_minutes == to_minutes || !begins_today {
            return Err(expected());
        }
        Ok(Self { from_minutes, to_minutes })
    }
}
