//! Conditions of rules.

use jiff::Zoned;
use jiff::tz::TimeZone;
use shallotfork_types::{CallerName, Permille, ServiceName};

use crate::explanation::UnmetCondition;
use crate::load_hysteresis::LoadConditionState;
use crate::{DayRange, RequestContext, TimeRange};

/// A condition stated by a `when.` key; holds if any of its values matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The caller is one of these; does not hold for a request without a caller name.
    Caller(Vec<CallerName>),
    /// The service is one of these.
    Service(Vec<ServiceName>),
    /// The local time in the zone is in one of these ranges. Local times that a clock change skips
    /// never match; those that it repeats match both times.
    Time(Vec<TimeRange>, TimeZone),
    /// The local day in the zone is in one of these ranges. The day changes at midnight, even
    /// within a time range that spans midnight.
    Days(Vec<DayRange>, TimeZone),
    /// The load is above this bound, with hysteresis; does not hold while the load is unknown.
    LoadAbove(Permille),
    /// The load is below this bound, with hysteresis; does not hold while the load is unknown.
    LoadBelow(Permille),
}

impl Condition {
    /// Returns the key that states the condition.
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

    pub(crate) fn holds(&self, request: &RequestContext, load_state: LoadConditionState) -> bool {
        match self {
            Self::Caller(callers) => {
                request.caller.as_ref().is_some_and(|caller| callers.contains(caller))
            }
            Self::Service(services) => services.contains(&request.service),
            Self::Time(ranges, zone) => {
                let time = zoned(request, zone).time();
                ranges.iter().any(|range| range.contains(time))
            }
            Self::Days(ranges, zone) => {
                let day = zoned(request, zone).weekday();
                ranges.iter().any(|range| range.contains(day))
            }
            Self::LoadAbove(_) => load_state.is_above,
            Self::LoadBelow(_) => load_state.is_below,
        }
    }

    pub(crate) fn unmet(&self, request: &RequestContext) -> UnmetCondition {
        UnmetCondition {
            key: self.key().to_owned(),
            wanted: self.wanted(),
            found: self.found(request),
        }
    }

    fn wanted(&self) -> String {
        match self {
            Self::Caller(callers) => join(callers),
            Self::Service(services) => join(services),
            Self::Time(ranges, zone) => format!("{} {}", join(ranges), zone_name(zone)),
            Self::Days(ranges, zone) => format!("{} {}", join(ranges), zone_name(zone)),
            Self::LoadAbove(bound) => format!("above {bound}"),
            Self::LoadBelow(bound) => format!("below {bound}"),
        }
    }

    fn found(&self, request: &RequestContext) -> String {
        match self {
            Self::Caller(_) => display_or(request.caller.as_ref(), "no caller"),
            Self::Service(_) => request.service.to_string(),
            Self::Time(_, zone) => zoned(request, zone).strftime("%H:%M").to_string(),
            Self::Days(_, zone) => zoned(request, zone).strftime("%a").to_string().to_lowercase(),
            Self::LoadAbove(_) | Self::LoadBelow(_) => display_or(request.load, "unknown"),
        }
    }
}

fn zoned(request: &RequestContext, zone: &TimeZone) -> Zoned {
    request.at.to_zoned(zone.clone())
}

fn zone_name(zone: &TimeZone) -> &str {
    zone.iana_name().unwrap_or("UTC")
}

fn display_or(value: Option<impl ToString>, default: &str) -> String {
    value.map_or_else(|| default.to_owned(), |value| value.to_string())
}

fn join<T: ToString>(values: &[T]) -> String {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    texts.join(", ")
}
