//! Callers at work in the background, and what became of their requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use shallotfork_standin::caller::{Call, Caller, CallerConfig, Report};
use shallotfork_standin::target::SIZE_HEADER;
use shallotfork_types::{IdempotencyKey, ServiceName, Verdict};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Who asks what.
#[derive(Debug, Clone)]
pub struct TrafficConfig {
    /// How each caller behaves.
    pub caller: CallerConfig,
    /// Service of the reads; no reads when absent.
    pub reads: Option<ServiceName>,
    /// Service of the orders; no orders when absent.
    pub orders: Option<ServiceName>,
    /// Callers of each kind; each sends one request after the other.
    pub callers: usize,
    /// Size of the filler in answers.
    pub size_bytes: usize,
}

impl TrafficConfig {
    /// Two callers of each kind without any service yet.
    pub fn new(caller: CallerConfig) -> Self {
        Self { caller, reads: None, orders: None, callers: 2, size_bytes: 2000 }
    }

    /// Reads from `service`.
    #[must_use]
    pub fn with_reads(mut self, service: &ServiceName) -> Self {
        self.reads = Some(service.clone());
        self
    }

    /// Lodges orders with `service`, each under a key of its own.
    #[must_use]
    pub fn with_orders(mut self, service: &ServiceName) -> Self {
        self.orders = Some(service.clone());
        self
    }
}

/// One order's end, as its caller knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEnd {
    /// The order's key, which is also its mark.
    pub key: String,
    /// Whether a success came.
    pub succeeded: bool,
    /// The last verdict told.
    pub verdict: Option<Verdict>,
    /// The sends, for messages.
    pub attempts: String,
}

/// What became of all requests.
#[derive(Debug, Clone, Default)]
pub struct TrafficReport {
    /// Reads that ended with a whole answer of their own.
    pub reads: u64,
    /// Reads that ended otherwise.
    pub failed_reads: Vec<String>,
    /// Answers that were not whole or not the request's own.
    pub wrong_answers: Vec<String>,
    /// Orders.
    pub orders: Vec<OrderEnd>,
}

impl TrafficReport {
    /// Orders without a success.
    pub fn failed_orders(&self) -> Vec<&OrderEnd> {
        self.orders.iter().filter(|order| !order.succeeded).collect()
    }
}

/// Callers at work until they are told to stop.
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
    /// When an HTTP client can't be built.
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
                workers.spawn(worker("read").read_all(caller, service.clone()));
            }
            if let Some(service) = &config.orders {
                let caller = Caller::new(config.caller.clone())?;
                workers.spawn(worker("order").order_all(caller, service.clone()));
            }
        }
        Ok(Self { stop, done, whole_reads, workers })
    }

    /// Requests that have ended so far.
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    /// Reads that have ended so far with a whole answer of their own.
    pub fn whole_reads(&self) -> u64 {
        self.whole_reads.load(Ordering::Relaxed)
    }

    /// Lets every caller finish its request and gathers what became of all.
    pub async fn stop(mut self) -> TrafficReport {
        self.stop.send_replace(true);
        let mut total = TrafficReport::default();
        while let Some(report) = self.workers.join_next().await {
            let Ok(mut report) = report else {
                total.failed_reads.push("a caller of the test itself failed".to_owned());
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
    async fn read_all(self, caller: Caller, service: ServiceName) -> TrafficReport {
        let mut total = TrafficReport::default();
        let mut number = 0;
        while !*self.stopped.borrow() {
            let before = total.reads;
            let mark = format!("{}-{number}", self.name);
            let call = Call::get(service.clone(), "/recipes/saltbush")
                .with_mark(&mark)
                .with_header(SIZE_HEADER, &self.config.size_bytes.to_string());
            match caller.call(&call).await {
                Ok(report) => note_read(&mut total, &mark, &report),
                Err(error) => total.failed_reads.push(format!("{mark}: {error}")),
            }
            number += 1;
            self.done.fetch_add(1, Ordering::Relaxed);
            self.whole_reads.fetch_add(total.reads - before, Ordering::Relaxed);
        }
        total
    }

    async fn order_all(self, caller: Caller, service: ServiceName) -> TrafficReport {
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
                Ok(report) => note_order(&mut total, name, &report),
                Err(error) => total.orders.push(OrderEnd {
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

fn note_read(total: &mut TrafficReport, mark: &str, report: &Report) {
    note_wrong(total, mark, report);
    match report.success() {
        Some(_) => total.reads += 1,
        None => total.failed_reads.push(format!("{mark}: {:?}", report.attempts)),
    }
}

fn note_order(total: &mut TrafficReport, key: String, report: &Report) {
    note_wrong(total, &key, report);
    total.orders.push(OrderEnd {
        key,
        succeeded: report.success().is_some(),
        verdict: report.verdict(),
        attempts: format!("{:?}", report.attempts),
    });
}

fn note_wrong(total: &mut TrafficReport, mark: &str, report: &Report) {
    let Some(answer) = report.success() else {
        return;
    };
    let own = answer.mark.as_deref() == Some(mark);
    if !own || answer.digest_holds != Some(true) {
        total.wrong_answers.push(format!("{mark}: got {:?}", answer.mark));
    }
}
