//! The timer of the HTTP library's timeout for request headers.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use crate::activity::Activity;

/// A timer that doesn't expire while an answer is being written.
///
/// The HTTP library waits for the next request as soon as it has buffered the last bytes of an
/// answer. Without this timer, its timeout would cut an answer that a slow caller is still reading.
#[derive(Debug)]
pub(crate) struct HeaderTimer {
    activity: Arc<Activity>,
}

impl HeaderTimer {
    pub(crate) fn new(activity: Arc<Activity>) -> Self {
        Self { activity }
    }
}

impl Timer for HeaderTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(tokio::time::sleep(duration));
        Box::pin(HeaderSleep { duration, sleep, activity: Arc::clone(&self.activity) })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

struct HeaderSleep {
    duration: Duration,
    sleep: Pin<Box<tokio::time::Sleep>>,
    activity: Arc<Activity>,
}

impl Future for HeaderSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            if !self.activity.is_delivering() {
                return Poll::Ready(());
            }
            let deadline = tokio::time::Instant::now() + self.duration;
            self.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for HeaderSleep {}
