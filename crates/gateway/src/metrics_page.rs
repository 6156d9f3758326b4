//! `GET /metrics`: every metric of the process in Prometheus' text format.

use anyhow::Result;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// From the time that a proxied call takes at least, to the longest wait of a caller.
const SECONDS_BUCKETS: [f64; 11] = [0.002, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0];

/// Collects the metrics of the process.
#[derive(Clone)]
pub struct MetricsPage {
    recorder: PrometheusHandle,
}

impl MetricsPage {
    /// Becomes the recorder of the process.
    ///
    /// # Errors
    /// When the process has one already.
    pub fn install() -> Result<Self> {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &SECONDS_BUCKETS)?;
        Ok(Self { recorder: builder.install_recorder()? })
    }

    /// The page as of now.
    pub fn render(&self) -> String {
        self.recorder.run_upkeep();
        self.recorder.render()
    }
}
