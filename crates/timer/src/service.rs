//! Timer service: one task that wakes all subscribers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use shallotfork_types::Mono;
use tokio::sync::mpsc;

use crate::Clock;

/// Period and jitter of the ticks of one subscriber.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    period: Duration,
    jitter: Duration,
}

impl Schedule {
    /// Creates a schedule with one tick per period, without jitter.
    pub fn new(period: Duration) -> Self {
        Self { period, jitter: Duration::ZERO }
    }

    /// Adds a random time of up to `jitter` to each period, so that processes that start at the
    /// same time do not stay synchronized.
    #[must_use]
    pub fn with_jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }

    fn next_after(&self, now: Mono) -> Mono {
        let jitter_us = u64::try_from(self.jitter.as_micros()).unwrap_or(u64::MAX);
        let extra_us = match jitter_us {
            0 => 0,
            max_us => rand::rng().random_range(0..max_us),
        };
        now.plus(self.period).plus(Duration::from_micros(extra_us))
    }
}

/// Wake-up of a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Time at which the service woke up.
    pub now: Mono,
    /// Delay relative to the scheduled time; large after a pause of the process.
    pub delay: Duration,
}

/// Receives the ticks of one schedule.
#[derive(Debug)]
pub struct Subscription {
    ticks: mpsc::Receiver<Tick>,
}

impl Subscription {
    /// Waits for the next tick. Returns `None` after the service has ended.
    ///
    /// Ticks that were due while the subscriber was busy or the process was paused are merged into
    /// one, so that a resumed process does not send a burst of probes or heartbeats.
    pub async fn tick(&mut self) -> Option<Tick> {
        self.ticks.recv().await
    }
}

struct Subscriber {
    schedule: Schedule,
    ticks: mpsc::Sender<Tick>,
}

/// Timer service that issues subscriptions. Its task runs until the service and all clones are
/// dropped.
#[derive(Debug, Clone)]
pub struct TimerService {
    clock: Clock,
    new_subscribers: mpsc::UnboundedSender<(Schedule, mpsc::Sender<Tick>)>,
}

impl TimerService {
    /// Creates a service and spawns its task on the current Tokio runtime.
    pub fn new(clock: Clock) -> Self {
        let (new_subscribers, received) = mpsc::unbounded_channel();
        tokio::spawn(run(clock, received));
        Self { clock, new_subscribers }
    }

    /// Returns the clock of the service.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Subscribes to a schedule. The first tick is due one period from now.
    pub fn subscribe(&self, schedule: Schedule) -> Subscription {
        let (sender, ticks) = mpsc::channel(1);
        // The task outlives every clone of the service, so the send cannot fail.
        let _ = self.new_subscribers.send((schedule, sender));
        Subscription { ticks }
    }
}

async fn run(
    clock: Clock,
    mut new_subscribers: mpsc::UnboundedReceiver<(Schedule, mpsc::Sender<Tick>)>,
) {
    let mut due: BinaryHeap<Reverse<(Mono, usize)>> = BinaryHeap::new();
    let mut subscribers: Vec<Subscriber> = Vec::new();
    loop {
        let wait = due.peek().map(|Reverse((at, _))| at.since(clock.now()));
        tokio::select! {
            new = new_subscribers.recv() => {
                let Some((schedule, ticks)) = new else { return };
                due.push(Reverse((schedule.next_after(clock.now()), subscribers.len())));
                subscribers.push(Subscriber { schedule, ticks });
            }
            () = sleep_or_pend(wait) => notify_due(clock, &mut due, &subscribers),
        }
    }
}

async fn sleep_or_pend(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

fn notify_due(
    clock: Clock,
    due: &mut BinaryHeap<Reverse<(Mono, usize)>>,
    subscribers: &[Subscriber],
) {
    let now = clock.now();
    while let Some(Reverse((at, index))) = due.peek().copied() {
        if at > now {
            return;
        }
        due.pop();
        let subscriber = &subscribers[index];
        let tick = Tick { now, delay: now.since(at) };
        let is_closed =
            matches!(subscriber.ticks.try_send(tick), Err(mpsc::error::TrySendError::Closed(_)));
        if !is_closed {
            due.push(Reverse((subscriber.schedule.next_after(now), index)));
        }
    }
}
