//! `GET /metrics`: all metrics of the process in the Prometheus text format.

use anyhow::Result;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Histogram buckets from the shortest time of a proxied call to the longest wait of a caller.
const DURATION_BUCKETS_SECONDS: [f64; 11] =
    [0.002, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0];

/// Collects the metrics of the process.
#[derive(Clone)]
pub struct MetricsPage {
    recorder: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the metrics recorder of the process.
    ///
    /// # Errors
    /// Returns an error if a recorder is already installed.
    pub fn install() -> Result<Self> {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let builder =
            PrometheusBuilder::new().set_buckets_for_metric(matcher, &DURATION_BUCKETS_SECONDS)?;
        Ok(Self { recorder: builder.install_recorder()? })
    }

    /// Returns the current metrics as text.
    pub fn render(&self) -> String {
        self.recorder.run_upkeep();
        self.recorder.render()
    }
}
