//! Load reports of targets, from the `endpoint-load-metrics` header of their answers.
//!
//! The header has the Open Request Cost Aggregation (ORCA) format, in its text form
//! (`TEXT cpu_utilization=0.3, named_metrics.in_flight=2`) or its JSON form
//! (`JSON {"cpu_utilization": 0.3, "named_metrics": {"in_flight": 2}}`).

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use serde::Deserialize;
use shallotfork_types::Permille;

/// Maximum length of a header; longer ones are rejected without being parsed.
const MAX_HEADER_BYTES: usize = 4096;
/// Reported utilisation is capped at this value.
const MAX_UTILISATION: f64 = 10.0;
/// Reported numbers of requests are capped at this value.
const MAX_IN_FLIGHT: f64 = 1_000_000.0;

const TEXT_PREFIX: &str = "TEXT ";
const JSON_PREFIX: &str = "JSON ";
const IN_FLIGHT: &str = "in_flight";
const DRAINING: &str = "draining";

/// Load that a target reports with one answer; every field may be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Utilisation of the target's processor or of its application's capacity; above 1000 if
    /// overloaded.
    pub utilisation: Option<Permille>,
    /// Number of requests that the target is running or has queued.
    pub in_flight: Option<u32>,
    /// Whether the target reports that it is draining (`named_metrics.draining` above 0).
    pub draining: bool,
}

/// Error for a header that is not a load report, and is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReportError {
    /// The header is longer than 4096 bytes.
    TooLong,
    /// The header has neither the text form nor the JSON form.
    UnknownFormat,
    /// The JSON form is not valid JSON.
    InvalidJson,
    /// A pair in the text form has no `=` or no number.
    InvalidPair,
}

impl fmt::Display for LoadReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "load report over 4096 bytes",
            Self::UnknownFormat => "load report is neither TEXT nor JSON",
            Self::InvalidJson => "load report is not valid JSON",
            Self::InvalidPair => "load report has a part that is not name=number",
        })
    }
}

impl Error for LoadReportError {}

#[derive(Debug, Default, Deserialize)]
struct OrcaReport {
    #[serde(default)]
    cpu_utilization: Option<f64>,
    #[serde(default)]
    application_utilization: Option<f64>,
    #[serde(default)]
    named_metrics: BTreeMap<String, f64>,
}

impl LoadReport {
    /// Parses the value of a header. Ignores unknown names, and treats negative numbers, infinities
    /// and NaN as missing.
    ///
    /// # Errors
    /// Returns an error if the value is too long or malformed.
    pub fn from_header(text: &str) -> Result<Self, LoadReportError> {
        if text.len() > MAX_HEADER_BYTES {
            return Err(LoadReportError::TooLong);
        }
        if let Some(pairs) = text.strip_prefix(TEXT_PREFIX) {
            return parse_pairs(pairs).map(Self::from);
        }
        let json = text.strip_prefix(JSON_PREFIX).ok_or(LoadReportError::UnknownFormat)?;
        let orca: OrcaReport =
            serde_json::from_str(json).map_err(|_| LoadReportError::InvalidJson)?;
        Ok(Self::from(orca))
    }
}

impl From<OrcaReport> for LoadReport {
    fn from(orca: OrcaReport) -> Self {
        let application = orca.application_utilization.and_then(utilisation);
        let cpu = orca.cpu_utilization.and_then(utilisation);
        let in_flight = orca.named_metrics.get(IN_FLIGHT).copied().and_then(count);
        let draining = orca.named_metrics.get(DRAINING).is_some_and(|draining| *draining > 0.0);
        Self { utilisation: application.or(cpu), in_flight, draining }
    }
}

fn parse_pairs(pairs: &str) -> Result<OrcaReport, LoadReportError> {
    let mut orca = OrcaReport::default();
    for pair in pairs.split(',') {
        let (name, number) = pair.split_once('=').ok_or(LoadReportError::InvalidPair)?;
        let number: f64 = number.trim().parse().map_err(|_| LoadReportError::InvalidPair)?;
        set_metric(&mut orca, name.trim(), number);
    }
    Ok(orca)
}

fn set_metric(orca: &mut OrcaReport, name: &str, number: f64) {
    match name {
        "cpu_utilization" | "cpu" => orca.cpu_utilization = Some(number),
        "application_utilization" => orca.application_utilization = Some(number),
        _ => {
            let Some(metric) = name.strip_prefix("named_metrics.") else { return };
            orca.named_metrics.insert(metric.to_owned(), number);
        }
    }
}

fn utilisation(number: f64) -> Option<Permille> {
    let is_valid = number.is_finite() && number >= 0.0;
    is_valid.then(|| Permille::new((number.min(MAX_UTILISATION) * 1000.0) as u32))
}

fn count(number: f64) -> Option<u32> {
    let is_valid = number.is_finite() && number >= 0.0;
    is_valid.then(|| number.min(MAX_IN_FLIGHT) as u32)
}
