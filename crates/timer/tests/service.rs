//! Subscribers are woken once a period and never in bursts.

use std::time::Duration;

use shallotfork_timer::{Clock, Schedule, TimerService};

#[tokio::test]
async fn ticks_are_at_least_a_period_apart() {
    let service = TimerService::new(Clock::new());
    let period = Duration::from_millis(5);
    let mut subscription = service.subscribe(Schedule::new(period).with_jitter(period));
    let mut last = service.clock().now();
    for _ in 0..5 {
        let tick = subscription.tick().await.expect("the service runs");
        assert!(tick.now.since(last) >= period);
        last = tick.now;
    }
}

/// A process is paused for many periods and then resumed.
/// Its probes and heartbeats would all be due at once and overload targets and peers.
/// The cause would be a timer that replays missed ticks.
#[tokio::test]
async fn missed_ticks_count_as_one() {
    let service = TimerService::new(Clock::new());
    let period = Duration::from_millis(5);
    let mut subscription = service.subscribe(Schedule::new(period));
    std::thread::sleep(period * 20);
    let first = subscription.tick().await.expect("the service runs");
    let second = subscription.tick().await.expect("the service runs");
    assert!(second.now.since(first.now) >= period);
}
