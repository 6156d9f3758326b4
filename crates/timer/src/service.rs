//! The timer service: one task that wakes its subscribers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use shallotfork_types::Mono;
use tokio::sync::mpsc;

use crate::Clock;

/// How often a subscriber is woken.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    period: Duration,
    jitter: Duration,
}

impl Schedule {
    /// Wakes once a period, without jitter.
    pub fn new(period: Duration) -> Self {
        Self { period, jitter: Duration::ZERO }
    }

    /// Adds up to `jitter` at random to each period, so that processes started together spread.
    #[must_use]
    pub fn with_jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }

    fn next_after(&self, now: Mono) -> Mono {
        let jitter_us = u64::try_from(self.jitter.as_micros()).unwrap_or(u64::MAX);
        let extra_us = match jitter_us {
            0 => 0,
            most_us => rand::rng().random_range(0..most_us),
        };
        now.plus(self.period).plus(Duration::from_micros(extra_us))
    }
}

/// One wake-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// When the service woke.
    pub now: Mono,
    /// How much later than planned; large after the process was paused.
    pub delay: Duration,
}

/// Receives the ticks of one schedule.
#[derive(Debug)]
pub struct Subscription {
    ticks: mpsc::Receiver<Tick>,
}

impl Subscription {
    /// Waits for the next tick; `None` after the service has ended.
    ///
    /// Ticks due while the subscriber was busy, or the process paused, count as one: a process
    /// that wakes up late sends no burst of probes or heartbeats to catch up.
    pub async fn tick(&mut self) -> Option<Tick> {
        self.ticks.recv().await
    }
}

struct Entry {
    schedule: Schedule,
    ticks: mpsc::Sender<Tick>,
}

/// Hands out subscriptions; its task runs until the service and every clone is dropped.
#[derive(Debug, Clone)]
pub struct TimerService {
    clock: Clock,
    joins: mpsc::UnboundedSender<(Schedule, mpsc::Sender<Tick>)>,
}

impl TimerService {
    /// Starts the service's task on the current tokio runtime.
    pub fn new(clock: Clock) -> Self {
        let (joins, joined) = mpsc::unbounded_channel();
        tokio::spawn(run(clock, joined));
        Self { clock, joins }
    }

    /// The service's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Subscribes to a schedule; the first tick comes one period from now.
    pub fn subscribe(&self, schedule: Schedule) -> Subscription {
        let (sender, ticks) = mpsc::channel(1);
        // The task outlives every clone of the service, so the send cannot fail.
        let _ = self.joins.send((schedule, sender));
        Subscription { ticks }
    }
}

async fn run(clock: Clock, mut joined: mpsc::UnboundedReceiver<(Schedule, mpsc::Sender<Tick>)>) {
    let mut due: BinaryHeap<Reverse<(Mono, usize)>> = BinaryHeap::new();
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let wait = due.peek().map(|Reverse((at, _))| at.since(clock.now()));
        tokio::select! {
            join = joined.recv() => {
                let Some((schedule, ticks)) = join else { return };
                due.push(Reverse((schedule.next_after(clock.now()), entries.len())));
                entries.push(Entry { schedule, ticks });
            }
            () = sleep_or_forever(wait) => wake(clock, &mut due, &entries),
        }
    }
}

async fn sleep_or_forever(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

fn wake(clock: Clock, due: &mut BinaryHeap<Reverse<(Mono, usize)>>, entries: &[Entry]) {
    let now = clock.now();
    while let Some(Reverse((at, index))) = due.peek().copied() {
        if at > now {
            return;
        }
        due.pop();
        let entry = &entries[index];
        let tick = Tick { now, delay: now.since(at) };
        let closed =
            matches!(entry.ticks.try_send(tick), Err(mpsc::error::TrySendError::Closed(_)));
        if !closed {
            due.push(Reverse((entry.schedule.next_after(now), index)));
        }
    }
}
