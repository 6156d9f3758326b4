//! An order desk to test: three entries before the targets of one service.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::target::SERVICE_US_HEADER;
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};

use crate::{Case, Running, wait_until};

/// Three entries before the targets of the order desk.
#[derive(Debug)]
pub struct OrderFixture {
    /// Every process.
    pub running: Running,
    /// The service that takes orders.
    pub service: ServiceName,
    caller: Caller,
}

impl OrderFixture {
    /// Starts the usual case.
    ///
    /// # Errors
    /// When a process can't be started.
    pub async fn start_default() -> anyhow::Result<Self> {
        Self::start(Self::default_case()).await
    }

    /// The usual case, with short times so that tests of silence and leaving end soon.
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
    /// When a process can't be started.
    pub async fn start(case: Case) -> anyhow::Result<Self> {
        let running = case.start().await?;
        let caller = running.caller()?;
        Ok(Self { running, service: "order-desk".parse()?, caller })
    }

    /// A new session of one entry.
    ///
    /// # Errors
    /// When the entry gives none.
    pub async fn session(&self, entry: usize) -> anyhow::Result<String> {
        let address = self.running.caller_addresses()[entry];
        let caller = Caller::new(CallerConfig::new(vec![address]))?;
        caller.entries(&self.service).await?.session.context("no session")
    }

    /// An order under a key.
    ///
    /// # Errors
    /// When the key is not valid.
    pub fn order(&self, key: &str, session: &str) -> anyhow::Result<Call> {
        let body = Bytes::from_static(b"two drums of saltbush pepper");
        let key = IdempotencyKey::new(key)?;
        Ok(Call::post(self.service.clone(), "/orders", key, body).with_session(session))
    }

    /// An order that a target works on for this long.
    ///
    /// # Errors
    /// When the key is not valid.
    pub fn slow_order(&self, key: &str, session: &str, work: Duration) -> anyhow::Result<Call> {
        let work_us = work.as_micros().to_string();
        Ok(self.order(key, session)?.with_header(SERVICE_US_HEADER, &work_us))
    }

    /// Sends an order to one entry, once.
    pub async fn send(&self, entry: usize, order: &Call) -> Report {
        self.caller.send_to(self.running.caller_addresses()[entry], order).await
    }

    /// Runs of the order under `key` at all targets together.
    ///
    /// # Errors
    /// When a target does not tell.
    pub async fn runs(&self, key: &str) -> anyhow::Result<u64> {
        self.running.runs_of_key(key).await
    }

    /// Waits until the order under `key` has begun to run.
    ///
    /// # Errors
    /// When it does not begin in time.
    pub async fn wait_until_running(&self, key: &str) -> anyhow::Result<()> {
        wait_until("the order runs", async || self.runs(key).await.is_ok_and(|runs| runs == 1))
            .await
    }

    /// Sends an order again until the answer fits; returns that answer.
    ///
    /// # Errors
    /// When none fits in time.
    pub async fn resend_until(
        &self,
        entry: usize,
        order: &Call,
        what: &str,
        fits: impl Fn(&Report) -> bool,
    ) -> anyhow::Result<Report> {
        let mut last = self.send(entry, order).await;
        wait_until(what, async || {
            last = self.send(entry, order).await;
            fits(&last)
        })
        .await
        .with_context(|| format!("the last answer: {last:?}"))?;
        Ok(last)
    }
}

/// Whether the answer is the kept one of an earlier run.
pub fn is_kept_answer(report: &Report) -> bool {
    report.success().is_some() && report.verdict() == Some(Verdict::Ran)
}

/// Whether the system itself answered, with this verdict.
pub fn has_verdict(report: &Report, verdict: Verdict) -> bool {
    report.success().is_none() && report.verdict() == Some(verdict)
}
