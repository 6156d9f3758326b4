//! Parser for the `when.` keys of a rule.

use std::sync::LazyLock;

use jiff::tz::{TimeZone, TimeZoneDatabase};

use crate::Condition;
use crate::section_reader::SectionReader;

/// Key of the condition on the service.
pub(crate) const SERVICE_KEY: &str = "when.service";

pub(crate) const KEYS: &[&str] = &[
    "when.caller",
    SERVICE_KEY,
    "when.time",
    "when.days",
    "when.zone",
    "when.load_above",
    "when.load_below",
];

/// Time zones built into the program, so that every machine has the same ones.
static TIME_ZONES: LazyLock<TimeZoneDatabase> = LazyLock::new(TimeZoneDatabase::bundled);

/// Highest bound of a load condition, in permille: twice as many requests as slots.
const MAX_LOAD_PERMILLE: u32 = 2000;

/// Reads the conditions; reports those with an error and leaves them out.
pub(crate) fn read(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let mut conditions = Vec::new();
    conditions.extend(reader.values("when.caller").map(Condition::Caller));
    conditions.extend(reader.values(SERVICE_KEY).map(Condition::Service));
    conditions.extend(time_conditions(reader));
    conditions.extend(load_conditions(reader));
    conditions
}

fn time_conditions(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let zone = time_zone(reader);
    let time_ranges = reader.values("when.time");
    let day_ranges = reader.values("when.days");
    let Some(zone) = zone else { return Vec::new() };
    let time = time_ranges.map(|ranges| Condition::Time(ranges, zone.clone()));
    let days = day_ranges.map(|ranges| Condition::Days(ranges, zone));
    time.into_iter().chain(days).collect()
}

fn time_zone(reader: &mut SectionReader<'_>) -> Option<TimeZone> {
    let needed = reader.has("when.time") || reader.has("when.days");
    match (needed, reader.value::<String>("when.zone")) {
        (true, None) => {
            reader.reject("when.zone", "missing; required by when.time and when.days");
            None
        }
        (false, Some(_)) => {
            reader.reject("when.zone", "has no effect without when.time or when.days");
            None
        }
        (_, name) => {
            let zone = TIME_ZONES.get(&name?);
            zone.map_err(|_| reader.reject("when.zone", "unknown time zone")).ok()
        }
    }
}

fn load_conditions(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let above = reader.number("when.load_above", 0, MAX_LOAD_PERMILLE);
    let below = reader.number("when.load_below", 1, MAX_LOAD_PERMILLE);
    if let (Some(above), Some(below)) = (above, below)
        && above >= below
    {
        reader.reject("when.load_below", "can never hold together with when.load_above");
    }
    let above = above.map(|bound| Condition::LoadAbove(shallotfork_types::Permille::new(bound)));
    let below = below.map(|bound| Condition::LoadBelow(shallotfork_types::Permille::new(bound)));
    above.into_iter().chain(below).collect()
}
