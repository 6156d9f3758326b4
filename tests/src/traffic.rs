//! Background traffic of callers, with the outcome of their requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::target::SIZE_HEADER;
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Configuration of background traffic.
#[derive(Debug, Clone)]
pub struct TrafficConfig {
    /// Configuration of each caller.
    pub caller: CallerConfig,
    /// Service that reads go to; `None` for no reads.
    pub reads: Option<ServiceName>,
    /// Service that orders go to; `None` for no orders.
    pub orders: Option<ServiceName>,
    /// Number of callers of each kind. Each one sends its requests sequentially.
    pub callers: usize,
    /// Size of the filler in answers to reads, in bytes.
    pub size_bytes: usize,
}

impl TrafficConfig {
    /// Returns a configuration with two callers of each kind and no service.
    pub fn new(caller: CallerConfig) -> Self {
        Self { caller, reads: None, orders: None, callers: 2, size_bytes: 2000 }
    }

    /// Adds reads from `service`.
    #[must_use]
    pub fn with_reads(mut self, service: &ServiceName) -> Self {
        self.reads = Some(service.clone());
        self
    }

    /// Adds orders to `service`, each with its own idempotency key.
    #[must_use]
    pub fn with_orders(mut self, service: &ServiceName) -> Self {
        self.orders = Some(service.clone());
        self
    }
}

/// Outcome of one order as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderOutcome {
    /// Idempotency key of the order, which is also its mark.
    pub key: String,
    /// Whether the caller received a success.
    pub succeeded: bool,
    /// Last verdict that the caller received.
    pub verdict: Option<Verdict>,
    /// Debug text of the caller's attempts, or its error, for messages.
    pub attempts: String,
}

/// Outcomes of all requests.
#[derive(Debug, Clone, Default)]
pub struct TrafficReport {
    /// Reads that ended with a complete answer that belongs to them.
    pub reads: u64,
    /// Descriptions of the reads that failed.
    pub failed_reads: Vec<String>,
    /// Answers that were incomplete or belong to another request.
    pub wrong_answers: Vec<String>,
    /// Outcomes of the orders.
    pub orders: Vec<OrderOutcome>,
}

impl TrafficReport {
    /// Returns the orders without a success.
    pub fn failed_orders(&self) -> Vec<&OrderOutcome> {
        self.orders.iter().filter(|order| !order.succeeded).collect()
    }
}

/// Callers that send requests until [`Traffic::stop`].
#[derive(Debug)]
pub struct Traffic {
    stop: watch::Sender<bool>,
    done: Arc<AtomicU64>,
    whole_reads: Arc<AtomicU64>,
    workers: JoinSet<TrafficReport>,
}

#[derive(Clone)]
struct Worker {
    config: TrafficConfig,
    name: String,
    stopped: watch::Receiver<bool>,
    done: Arc<AtomicU64>,
    whole_reads: Arc<AtomicU64>,
}

impl Traffic {
    /// Starts every caller.
    ///
    /// # Errors
    /// Returns an error if an HTTP client can't be built.
    pub fn start(config: &TrafficConfig) -> anyhow::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let done = Arc::new(AtomicU64::new(0));
        let whole_reads = Arc::new(AtomicU64::new(0));
        let mut workers = JoinSet::new();
        for number in 0..config.callers {
            let worker = |kind: &str| Worker {
                config: config.clone(),
                name: format!("{kind}-{number}"),
                stopped: stopped.clone(),
                done: done.clone(),
                whole_reads: whole_reads.clone(),
            };
            if let Some(service) = &config.reads {
                let caller = Caller::new(config.caller.clone())?;
                workers.spawn(worker("read").send_reads(caller, service.clone()));
            }
            if let Some(service) = &config.orders {
                let caller = Caller::new(config.caller.clone())?;
                workers.spawn(worker("order").send_orders(caller, service.clone()));
            }
        }
        Ok(Self { stop, done, whole_reads, workers })
    }

    /// Returns the number of requests that have ended so far.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    /// Returns the number of reads that have ended so far with a complete answer of their own.
    pub fn whole_reads(&self) -> u64 {
        self.whole_reads.load(Ordering::Relaxed)
    }

    /// Lets every caller finish its request and returns the outcomes of all requests.
    pub async fn stop(mut self) -> TrafficReport {
        self.stop.send_replace(true);
        let mut total = TrafficReport::default();
        while let Some(report) = self.workers.join_next().await {
            let Ok(mut report) = report else {
                total.failed_reads.push("the task of a caller panicked".to_owned());
                continue;
            };
            total.reads += report.reads;
            total.failed_reads.append(&mut report.failed_reads);
            total.wrong_answers.append(&mut report.wrong_answers);
            total.orders.append(&mut report.orders);
        }
        total
    }
}

impl Worker {
    async fn send_reads(self, caller: Caller, service: ServiceName) -> TrafficReport {
        let mut total = TrafficReport::default();
        let mut number = 0;
        while !*self.stopped.borrow() {
            let before = total.reads;
            let mark = format!("{}-{number}", self.name);
            let call = Call::get(service.clone(), "/recipes/saltbush")
                .with_mark(&mark)
                .with_header(SIZE_HEADER, &self.config.size_bytes.to_string());
            match caller.call(&call).await {
                Ok(report) => record_read(&mut total, &mark, &report),
                Err(error) => total.failed_reads.push(format!("{mark}: {error}")),
            }
            number += 1;
            self.done.fetch_add(1, Ordering::Relaxed);
            self.whole_reads.fetch_add(total.reads - before, Ordering::Relaxed);
        }
        total
    }

    async fn send_orders(self, caller: Caller, service: ServiceName) -> TrafficReport {
        let mut total = TrafficReport::default();
        let mut number = 0;
        while !*self.stopped.borrow() {
            let name = format!("{}-{number}", self.name);
            number += 1;
            let Ok(key) = IdempotencyKey::new(&name) else {
                continue;
            };
            let body = Bytes::from_static(b"two drums of saltbush pepper");
            let call = Call::post(service.clone(), "/orders", key, body).with_mark(&name);
            match caller.call(&call).await {
                Ok(report) => record_order(&mut total, name, &report),
                Err(error) => total.orders.push(OrderOutcome {
                    key: name,
                    succeeded: false,
                    verdict: None,
                    attempts: error.to_string(),
                }),
            }
            self.done.fetch_add(1, Ordering::Relaxed);
        }
        total
    }
}

fn record_read(total: &mut TrafficReport, mark: &str, report: &Report) {
    record_wrong_answer(total, mark, report);
    match report.success() {
        Some(_) => total.reads += 1,
        None => total.failed_reads.push(format!("{mark}: {:?}", report.attempts)),
    }
}

fn record_order(total: &mut TrafficReport, key: String, report: &Report) {
    record_wrong_answer(total, &key, report);
    total.orders.push(OrderOutcome {
        key,
        succeeded: report.success().is_some(),
        verdict: report.verdict(),
        attempts: format!("{:?}", report.attempts),
    });
}

fn record_wrong_answer(total: &mut TrafficReport, mark: &str, report: &Report) {
    let Some(answer) = report.success() else {
        return;
    };
    let is_own = answer.mark.as_deref() == Some(mark);
    if !is_own || answer.digest_holds != Some(true) {
        total.wrong_answers.push(format!("{mark}: got {:?}", answer.mark));
    }
}
