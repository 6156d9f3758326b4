//! Tests that subscribers are woken once per period, without bursts.

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

/// Guards against bursts of probes and heartbeats, which overload targets and peers, when a process
/// is resumed after many periods. The cause would be a timer that replays missed ticks.
#[tokio::test]
async fn missed_ticks_are_merged() {
    let service = TimerService::new(Clock::new());
    let period = Duration::from_millis(5);
    let mut subscription = service.subscribe(Schedule::new(period));
    std::thread::sleep(period * 20);
    let first = subscription.tick().await.expect("the service runs");
    let second = subscription.tick().await.expect("the service runs");
    assert!(second.now.since(first.now) >= period);
}
