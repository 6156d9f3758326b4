//! Memory for the bodies of answers that are being received.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Size up to which an answer is never broken off. Ordinary answers are smaller; they must not be
/// lost because larger ones use up the memory.
const KEPT_SIZE_BYTES: u64 = 64 * 1024;

/// The answers that a process is receiving, and the memory that they may use together.
///
/// When it is used up, the answer is broken off that exceeds its expected size the most. Answers
/// without end grow until they are that one, whatever other answers arrive beside them.
#[derive(Debug)]
pub(crate) struct ReceivingAnswers {
    limit_bytes: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held_bytes: u64,
    next_number: u64,
    answers: HashMap<u64, Receiving>,
}

#[derive(Debug)]
struct Receiving {
    held_bytes: u64,
    expected_bytes: u64,
    break_off: CancellationToken,
}

impl Receiving {
    fn excess_bytes(&self) -> u64 {
        self.held_bytes.saturating_sub(self.expected_bytes)
    }
}

/// The memory for answers is used up, and this answer has the largest excess.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BrokenOffError;

impl ReceivingAnswers {
    pub(crate) fn new(limit_bytes: u64) -> Arc<Self> {
        Arc::new(Self { limit_bytes, state: Mutex::default() })
    }

    pub(crate) fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Registers an answer that is expected to have at most `expected_bytes`, until the guard is
    /// dropped.
    pub(crate) fn start(self: &Arc<Self>, expected_bytes: u64) -> ReceivingAnswer {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let break_off = CancellationToken::new();
        let answer = Receiving { held_bytes: 0, expected_bytes, break_off: break_off.clone() };
        state.answers.insert(number, answer);
        ReceivingAnswer { answers: Arc::clone(self), number, break_off }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Breaks off answers until the others fit.
    fn enforce(&mut self, limit_bytes: u64) {
        while self.held_bytes > limit_bytes {
            let largest = self
                .answers
                .iter()
                .filter(|(_, answer)| answer.held_bytes > KEPT_SIZE_BYTES)
                .max_by_key(|(_, answer)| (answer.excess_bytes(), answer.held_bytes));
            let Some(number) = largest.map(|(number, _)| *number) else { return };
            self.remove(number);
        }
    }

    fn remove(&mut self, number: u64) {
        if let Some(answer) = self.answers.remove(&number) {
            self.held_bytes -= answer.held_bytes;
            answer.break_off.cancel();
        }
    }
}

/// An answer that is being received.
#[derive(Debug)]
pub(crate) struct ReceivingAnswer {
    answers: Arc<ReceivingAnswers>,
    number: u64,
    break_off: CancellationToken,
}

impl ReceivingAnswer {
    /// Sets the memory that the answer uses.
    ///
    /// # Errors
    /// If the answer is broken off, by this call or an earlier one.
    pub(crate) fn set_held(&self, held_bytes: u64) -> Result<(), BrokenOffError> {
        let mut state = self.answers.lock();
        let Some(answer) = state.answers.get_mut(&self.number) else { return Err(BrokenOffError) };
        let before_bytes = std::mem::replace(&mut answer.held_bytes, held_bytes);
        state.held_bytes = state.held_bytes - before_bytes + held_bytes;
        state.enforce(self.answers.limit_bytes);
        if state.answers.contains_key(&self.number) { Ok(()) } else { Err(BrokenOffError) }
    }

    /// Waits until the answer is broken off in favour of others.
    pub(crate) async fn broken_off(&self) {
        self.break_off.cancelled().await;
    }
}

impl Drop for ReceivingAnswer {
    fn drop(&mut self) {
        self.answers.lock().remove(self.number);
    }
}
