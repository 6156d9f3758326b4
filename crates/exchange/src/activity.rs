//! Detection of idle and of stalled connections of callers.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer_transfer::TransferEnd;
use crate::progress::Progress;

/// Number of checks within the stall timeout. A process that was suspended or overloaded misses
/// checks, so that its delay is not taken for the caller's.
const STALL_CHECKS: u32 = 5;

/// Time without a byte taken after which a caller holds up its answers. Shorter gaps occur in the
/// network.
const HELD_UP_AFTER: Duration = Duration::from_millis(500);

/// Time within which the request on an idle connection may be on its way.
const REQUEST_EXPECTED_WITHIN: Duration = Duration::from_secs(1);

/// Order in which connections give way to others, the greatest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// Its request may have arrived; a busy process has not handled it yet.
    NotHandled,
    /// Its request may be on its way.
    Expected(Duration),
    /// It makes no progress for this time.
    Lagging(Duration),
}

/// Tracks the requests in progress on a connection, the answers being written, and the time of its
/// last progress.
///
/// Received bytes don't count as progress: otherwise a caller that sends a byte at a time would
/// never be idle.
#[derive(Debug)]
pub(crate) struct Activity {
    opened_at: Instant,
    has_started: AtomicBool,
    in_progress: AtomicUsize,
    last_progress_ms: AtomicU64,
    /// When the socket last accepted bytes; `None` if nothing was written.
    last_write_at: Mutex<Option<Instant>>,
    /// Number of answers of which the connection has not taken the last byte.
    deliveries: AtomicUsize,
    /// Number of HTTP/2 answers that have bytes ready for the caller.
    ready_streams: AtomicUsize,
    /// Whether the socket accepted nothing at the last write.
    is_write_blocked: AtomicBool,
    /// Grows with each byte that the caller is seen to take. Bytes may count twice, since only a
    /// change matters.
    progress_bytes: AtomicU64,
    /// Whether the next blocked write asks the kernel again.
    is_write_check_due: AtomicBool,
    /// Notified when bytes start to wait for the caller.
    bytes_waiting: Notify,
    end: OnceLock<TransferEnd>,
    /// Number of requests in progress whose body is still being received.
    receiving: AtomicUsize,
    /// Whether the caller has sent more than is read ahead of its requests.
    is_read_blocked: AtomicBool,
    /// Since when bytes wait for the caller and it takes none; `None` while none wait.
    held_up_since: Mutex<Option<Instant>>,
    /// Whether bytes of the caller may have arrived that the HTTP library has not taken.
    is_unhandled: AtomicBool,
    /// Whether that was not so once since the last request started.
    has_been_handled: AtomicBool,
    /// Whether bytes were received since the last request started.
    has_received: AtomicBool,
    /// Progress of the requests and answers, by which connections give way to others.
    progress: Mutex<Progress>,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            opened_at: Instant::now(),
            has_started: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            last_progress_ms: AtomicU64::new(0),
            last_write_at: Mutex::new(None),
            deliveries: AtomicUsize::new(0),
            ready_streams: AtomicUsize::new(0),
            is_write_blocked: AtomicBool::new(false),
            progress_bytes: AtomicU64::new(0),
            is_write_check_due: AtomicBool::new(false),
            bytes_waiting: Notify::new(),
            end: OnceLock::new(),
            receiving: AtomicUsize::new(0),
            is_read_blocked: AtomicBool::new(false),
            held_up_since: Mutex::new(None),
            is_unhandled: AtomicBool::new(true),
            has_been_handled: AtomicBool::new(false),
            has_received: AtomicBool::new(false),
            progress: Mutex::new(Progress::new(Instant::now())),
        }
    }

    /// Returns in which order the connection gives way to others, the greatest first; `None` if it must
    /// stay open, because a request is being processed.
    pub(crate) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if let Some(held_up_for) = self.held_up_for(now) {
            return Some(EvictionRank::Lagging(held_up_for));
        }
        let lag = self.lag(now);
        let receiving = self.receiving.load(Ordering::Relaxed);
        let is_processing = self.in_progress.load(Ordering::Relaxed) > receiving;
        let is_flooding = self.is_read_blocked.load(Ordering::Relaxed);
        // The rest of an answer that is not held up waits for this process, not for the caller.
        if (is_processing && !is_flooding) || self.is_delivering() {
            return None;
        }
        if self.is_unhandled.load(Ordering::Relaxed) && !is_flooding {
            return Some(EvictionRank::NotHandled);
        }
        let is_expected =
            !self.has_received.load(Ordering::Relaxed) && lag < REQUEST_EXPECTED_WITHIN;
        Some(if is_expected { EvictionRank::Expected(lag) } else { EvictionRank::Lagging(lag) })
    }

    /// Records bytes of the caller, which the HTTP library has not taken yet.
    pub(crate) fn record_received(&self) {
        self.is_unhandled.store(true, Ordering::Relaxed);
        self.has_received.store(true, Ordering::Relaxed);
    }

    /// Records that the HTTP library has taken all bytes of the caller, from which on the caller counts
    /// as the cause if the connection makes no progress.
    pub(crate) fn record_handled(&self) {
        let is_first = !self.has_been_handled.swap(true, Ordering::Relaxed);
        if self.is_unhandled.swap(false, Ordering::Relaxed) && is_first {
            *self.lock_progress() = Progress::new(Instant::now());
        }
    }

    /// Returns for how long the caller has taken nothing of the answers that wait for it; `None` if it
    /// takes them, or if none waits.
    pub(crate) fn held_up_for(&self, now: Instant) -> Option<Duration> {
        let since = (*self.lock_held_up_since())?;
        Some(now.saturating_duration_since(since)).filter(|held_up| *held_up >= HELD_UP_AFTER)
    }

    /// Records that the caller has taken bytes, or that some begin to wait for it.
    fn restart_held_up(&self) {
        *self.lock_held_up_since() = self.has_waiting_bytes().then(Instant::now);
    }

    fn lock_held_up_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.held_up_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how far the connection lags behind a slow one.
    fn lag(&self, now: Instant) -> Duration {
        self.lock_progress().lag(now)
    }

    /// Records that the body of a request in progress is being received, until the returned guard is
    /// dropped.
    pub(crate) fn receive_body(self: &Arc<Self>) -> ReceivingGuard {
        self.receiving.fetch_add(1, Ordering::Relaxed);
        ReceivingGuard { activity: Arc::clone(self) }
    }

    /// Records whether the caller has sent more than is read ahead of its requests.
    pub(crate) fn set_read_blocked(&self, is_blocked: bool) {
        self.is_read_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Returns whether the socket accepted nothing at the last write.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
    }

    fn lock_progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request, which is in progress until the returned guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.has_started.store(true, Ordering::Relaxed);
        self.has_received.store(false, Ordering::Relaxed);
        self.has_been_handled.store(false, Ordering::Relaxed);
        *self.lock_progress() = Progress::new(Instant::now());
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        RequestGuard { activity: Arc::clone(self) }
    }

    /// Returns whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    /// Records that an answer is being written, until [`Activity::end_delivery`].
    pub(crate) fn start_delivery(&self) {
        self.deliveries.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_delivery(&self) {
        self.record_progress();
        self.deliveries.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether an answer is being written.
    pub(crate) fn is_delivering(&self) -> bool {
        self.deliveries.load(Ordering::Relaxed) > 0 || self.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Records that an HTTP/2 answer has bytes ready. Its stream's window may be closed while the
    /// socket accepts bytes.
    pub(crate) fn add_ready_stream(&self) {
        if self.ready_streams.fetch_add(1, Ordering::Relaxed) == 0 {
            self.restart_held_up();
            self.bytes_waiting.notify_one();
        }
    }

    pub(crate) fn remove_ready_stream(&self) {
        self.ready_streams.fetch_sub(1, Ordering::Relaxed);
        if !self.has_waiting_bytes() {
            self.restart_held_up();
        }
    }

    /// Records bytes of answers that the connection has taken.
    pub(crate) fn record_taken(&self, size_bytes: u64) {
        self.progress_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        if self.has_waiting_bytes() {
            self.restart_held_up();
        }
    }

    /// Records a write that was accepted.
    pub(crate) fn record_write(&self, size_bytes: u64) {
        self.record_progress();
        self.lock_progress().record(size_bytes, Instant::now());
        *self.last_write_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        if self.is_write_blocked.swap(false, Ordering::Relaxed) {
            self.record_taken(size_bytes);
            self.restart_held_up();
        }
    }

    /// Returns when the socket last accepted bytes; `None` if nothing was written.
    pub(crate) fn last_write_at(&self) -> Option<Instant> {
        *self.last_write_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a write of which the socket accepted nothing.
    pub(crate) fn record_blocked_write(&self) {
        if !self.is_write_blocked.swap(true, Ordering::Relaxed) {
            self.restart_held_up();
            self.bytes_waiting.notify_one();
        }
    }

    /// Returns whether the kernel is to be asked again about a blocked write.
    pub(crate) fn take_write_check(&self) -> bool {
        self.is_write_check_due.swap(false, Ordering::Relaxed)
    }

    /// Records why the connection ends; the first cause counts.
    pub(crate) fn record_end(&self, end: TransferEnd) {
        self.end.get_or_init(|| end);
    }

    /// Returns why the connection ended; `None` while it is open.
    pub(crate) fn end(&self) -> Option<TransferEnd> {
        self.end.get().copied()
    }

    /// Waits until the caller has taken no byte for `timeout`, although bytes were ready for it.
    pub(crate) async fn wait_until_stalled(&self, timeout: Duration) {
        loop {
            self.bytes_waiting.notified().await;
            let mut seen_bytes = self.progress_bytes.load(Ordering::Relaxed);
            let mut checks = 0;
            while self.has_waiting_bytes() {
                if checks == STALL_CHECKS {
                    return;
                }
                tokio::time::sleep(timeout / STALL_CHECKS).await;
                self.is_write_check_due.store(true, Ordering::Relaxed);
                let now_bytes = self.progress_bytes.load(Ordering::Relaxed);
                checks = if now_bytes == seen_bytes { checks + 1 } else { 0 };
                seen_bytes = now_bytes;
            }
        }
    }

    fn has_waiting_bytes(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
            || self.ready_streams.load(Ordering::Relaxed) > 0
    }

    fn record_progress(&self) {
        let elapsed_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_progress_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Waits until no request has started within `first_request_timeout`, or until no request was
    /// in progress, no answer being written, and nothing was written for `idle_timeout`, which may
    /// change meanwhile.
    ///
    /// A connection without any request has a timeout of its own, because opening many connections
    /// costs a client nothing and each one counts towards the connection limit.
    pub(crate) async fn wait_until_idle(
        &self,
        first_request_timeout: Duration,
        idle_timeout: impl Fn() -> Duration,
    ) {
        tokio::time::sleep_until(self.opened_at + first_request_timeout).await;
        if !self.has_started.load(Ordering::Relaxed) {
            return;
        }
        loop {
            let timeout = idle_timeout();
            if self.is_busy() || self.is_delivering() {
                tokio::time::sleep(timeout).await;
                continue;
            }
            let last_progress =
                Duration::from_millis(self.last_progress_ms.load(Ordering::Relaxed));
            let idle_at = self.opened_at + last_progress + timeout;
            if Instant::now() >= idle_at {
                return;
            }
            tokio::time::sleep_until(idle_at).await;
        }
    }
}

/// Marks a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    activity: Arc<Activity>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.record_progress();
        *self.activity.lock_progress() = Progress::new(Instant::now());
        self.activity.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks the body of a request as being received until it is dropped.
#[derive(Debug)]
pub(crate) struct ReceivingGuard {
    activity: Arc<Activity>,
}

impl ReceivingGuard {
    /// Records bytes of the body.
    pub(crate) fn record_received(&self, size_bytes: u64) {
        self.activity.lock_progress().record(size_bytes, Instant::now());
    }
}

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        self.activity.receiving.fetch_sub(1, Ordering::Relaxed);
    }
}
