//! `when.` keys.

use std::sync::LazyLock;

use jiff::tz::{TimeZone, TimeZoneDatabase};

use crate::Condition;
use crate::section_reader::SectionReader;

/// Key of the condition on the service.
pub(crate) const SERVICE: &str = "when.service";

pub(crate) const KEYS: &[&str] = &[
    "when.caller",
    SERVICE,
    "when.time",
    "when.days",
    "when.zone",
    "when.load_above",
    "when.load_below",
];

/// The zones that are built into the program, so that every machine knows the same ones.
static ZONES: LazyLock<TimeZoneDatabase> = LazyLock::new(TimeZoneDatabase::bundled);

/// Highest bound of a load: twice as many requests as slots.
const MAX_LOAD: u32 = 2000;

/// Reads the conditions; those with an error are reported and left out.
pub(crate) fn read(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let mut conditions = Vec::new();
    conditions.extend(reader.values("when.caller").map(Condition::Caller));
    conditions.extend(reader.values(SERVICE).map(Condition::Service));
    conditions.extend(clock(reader));
    conditions.extend(load(reader));
    conditions
}

fn clock(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let zone = zone(reader);
    let ranges = reader.values("when.time");
    let days = reader.values("when.days");
    let Some(zone) = zone else { return Vec::new() };
    let time = ranges.map(|ranges| Condition::Time(ranges, zone.clone()));
    let days = days.map(|days| Condition::Days(days, zone));
    time.into_iter().chain(days).collect()
}

fn zone(reader: &mut SectionReader<'_>) -> Option<TimeZone> {
    let needed = reader.has("when.time") || reader.has("when.days");
    match (needed, reader.value::<String>("when.zone")) {
        (true, None) => {
            reader.reject("when.zone", "missing; when.time and when.days need a zone");
            None
        }
        (false, Some(_)) => {
            reader.reject("when.zone", "of no use without when.time or when.days");
            None
        }
        (_, name) => {
            let zone = ZONES.get(&name?);
            zone.map_err(|_| reader.reject("when.zone", "unknown zone")).ok()
        }
    }
}

fn load(reader: &mut SectionReader<'_>) -> Vec<Condition> {
    let above = reader.number("when.load_above", 0, MAX_LOAD);
    let below = reader.number("when.load_below", 1, MAX_LOAD);
    if let (Some(above), Some(below)) = (above, below)
        && above >= below
    {
        reader.reject("when.load_below", "never holds together with when.load_above");
    }
    let above = above.map(|bound| Condition::LoadAbove(shallotfork_types::Permille::new(bound)));
    let below = below.map(|bound| Condition::LoadBelow(shallotfork_types::Permille::new(bound)));
    above.into_iter().chain(below).collect()
}
