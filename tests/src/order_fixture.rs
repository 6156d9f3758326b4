//! Test fixture for orders: three entries in front of the targets of one service.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

use crate::{Case, Running, wait_until};

/// A running system of three entries in front of the targets of the `order-desk` service.
#[derive(Debug)]
pub struct OrderFixture {
    /// The running processes.
    pub running: Running,
    /// The service that takes orders.
    pub service: ServiceName,
    caller: Caller,
}

impl OrderFixture {
    /// Starts the default case.
    ///
    /// # Errors
    /// Returns an error if a process can't be started.
    pub async fn start_default() -> anyhow::Result<Self> {
        Self::start(Self::default_case()).await
    }

    /// Returns the default case, with short periods so that tests of silent and leaving entries are
    /// quick.
    pub fn default_case() -> Case {
        Case::new()
            .with_entries(3)
            .with_service("order-desk", 2)
            .with_setting("callers", "keep_for_ms", "300")
            .with_setting("peers", "heartbeat_ms", "100")
            .with_setting("peers", "suspect_after_ms", "800")
    }

    /// Starts a case.
    ///
    /// # Errors
    /// Returns an error if a process can't be started.
    pub async fn start(case: Case) -> anyhow::Result<Self> {
        let running = case.start().await?;
        let caller = running.caller()?;
        Ok(Self { running, service: "order-desk".parse()?, caller })
    }

    /// Requests a new session from one entry.
    ///
    /// # Errors
    /// Returns an error if the entry issues none.
    pub async fn session(&self, entry: usize) -> anyhow::Result<String> {
        let address = self.running.caller_addresses()[entry];
        let caller = Caller::new(CallerConfig::new(vec![address]))?;
        caller.entries(&self.service).await?.session.context("no session")
    }

    /// Builds an order with an idempotency key.
    ///
    /// # Errors
    /// Returns an error if the key is not valid.
    pub fn order(&self, key: &str, session: &str) -> anyhow::Result<Call> {
        let body = Bytes::from_static(b"two drums of saltbush pepper");
        let key = IdempotencyKey::new(key)?;
        Ok(Call::post(self.service.clone(), "/orders", key, body).with_session(session))
    }

    /// Builds an order that occupies its target for `work`.
    ///
    /// # Errors
    /// Returns an error if the key is not valid.
    pub fn slow_order(&self, key: &str, session: &str, work: Duration) -> anyhow::Result<Call> {
        let work_us = work.as_micros().to_string();
        Ok(self.order(key, session)?.with_header(SERVICE_US_HEADER, &work_us))
    }

    /// Sends an order to one entry, without retries.
    pub async fn send(&self, entry: usize, order: &Call) -> Report {
        self.caller.send_to(self.running.caller_addresses()[entry], order).await
    }

    /// Returns how often the order with `key` has run, summed over all targets.
    ///
    /// # Errors
    /// Returns an error if the records of a target can't be read.
    pub async fn runs(&self, key: &str) -> anyhow::Result<u64> {
        self.running.runs_of_key(key).await
    }

    /// Waits until the order with `key` has started to run.
    ///
    /// # Errors
    /// Returns an error if it does not start in time.
    pub async fn wait_until_running(&self, key: &str) -> anyhow::Result<()> {
        wait_until("the order runs", async || self.runs(key).await.is_ok_and(|runs| runs == 1))
            .await
    }

    /// Sends an order repeatedly until its report satisfies `matches`; returns that report.
    ///
    /// # Errors
    /// Returns an error if no report does in time.
    pub async fn resend_until(
        &self,
        entry: usize,
        order: &Call,
        what: &str,
        matches: impl Fn(&Report) -> bool,
    ) -> anyhow::Result<Report> {
        let mut last = self.send(entry, order).await;
        wait_until(what, async || {
            last = self.send(entry, order).await;
            matches(&last)
        })
        .await
        .with_context(|| format!("last report: {last:?}"))?;
        Ok(last)
    }
}

/// Returns whether the answer is the kept answer of an earlier run.
pub fn is_kept_answer(report: &Report) -> bool {
    report.success().is_some() && report.verdict() == Some(Verdict::Ran)
}

/// Returns whether an entry itself answered, with this verdict.
pub fn has_verdict(report: &Report, verdict: Verdict) -> bool {
    report.success().is_none() && report.verdict() == Some(verdict)
}
