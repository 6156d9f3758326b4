//! Conditions of a rule.

use jiff::Zoned;
use jiff::tz::TimeZone;
use shallotfork_types::{CallerName, Permille, ServiceName};

use crate::explanation::UnmetCondition;
use crate::latches::Latch;
use crate::{DayRange, RequestContext, TimeRange};

/// One `when.` key; it holds when any of its values does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The caller is one of these; never holds for a request that names no caller.
    Caller(Vec<CallerName>),
    /// The service is one of these.
    Service(Vec<ServiceName>),
    /// The local time is in one of these ranges. An hour that a clock change skips does not occur,
    /// and one that it repeats occurs twice.
    Time(Vec<TimeRange>, TimeZone),
    /// The local day is one of these; after midnight it is the new day.
    Days(Vec<DayRange>, TimeZone),
    /// The load is above this bound; never holds while the load is unknown.
    LoadAbove(Permille),
    /// The load is below this bound; never holds while the load is unknown.
    LoadBelow(Permille),
}

impl Condition {
    /// The key that states the condition.
    pub fn key(&self) -> &'static str {
        match self {
            Self::Caller(_) => "when.caller",
            Self::Service(_) => "when.service",
            Self::Time(..) => "when.time",
            Self::Days(..) => "when.days",
            Self::LoadAbove(_) => "when.load_above",
            Self::LoadBelow(_) => "when.load_below",
        }
    }

    pub(crate) fn holds(&self, described: &RequestContext, latch: Latch) -> bool {
        match self {
            Self::Caller(callers) => {
                described.caller.as_ref().is_some_and(|caller| callers.contains(caller))
            }
            Self::Service(services) => services.contains(&described.service),
            Self::Time(ranges, zone) => {
                let time = local(described, zone).time();
                ranges.iter().any(|range| range.contains(time))
            }
            Self::Days(days, zone) => {
                let day = local(described, zone).weekday();
                days.iter().any(|days| days.contains(day))
            }
            Self::LoadAbove(_) => latch.above,
            Self::LoadBelow(_) => latch.below,
        }
    }

    pub(crate) fn unmet(&self, described: &RequestContext) -> UnmetCondition {
        UnmetCondition {
            key: self.key().to_owned(),
            wanted: self.wanted(),
            found: self.found(described),
        }
    }

    fn wanted(&self) -> String {
        match self {
            Self::Caller(callers) => join(callers),
            Self::Service(services) => join(services),
            Self::Time(ranges, zone) => format!("{} {}", join(ranges), zone_name(zone)),
            Self::Days(days, zone) => format!("{} {}", join(days), zone_name(zone)),
            Self::LoadAbove(bound) => format!("above {bound}"),
            Self::LoadBelow(bound) => format!("below {bound}"),
        }
    }

    fn found(&self, described: &RequestContext) -> String {
        match self {
            Self::Caller(_) => shown_or(described.caller.as_ref(), "no caller"),
            Self::Service(_) => described.service.to_string(),
            Self::Time(_, zone) => local(described, zone).strftime("%H:%M").to_string(),
            Self::Days(_, zone) => local(described, zone).strftime("%a").to_string().to_lowercase(),
            Self::LoadAbove(_) | Self::LoadBelow(_) => shown_or(described.load, "unknown"),
        }
    }
}

fn local(described: &RequestContext, zone: &TimeZone) -> Zoned {
    described.at.to_zoned(zone.clone())
}

fn zone_name(zone: &TimeZone) -> &str {
    zone.iana_name().unwrap_or("UTC")
}

fn shown_or(value: Option<impl ToString>, otherwise: &str) -> String {
    value.map_or_else(|| otherwise.to_owned(), |value| value.to_string())
}

fn join<T: ToString>(values: &[T]) -> String {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
