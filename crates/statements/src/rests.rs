//! Targets that want no requests from this process for a time.

use std::collections::BTreeMap;

use shallotfork_types::{Mono, TargetId};

use crate::target_run::TargetRun;

#[derive(Debug)]
struct Rest {
    run: TargetRun,
    until: Mono,
}

/// Targets that have turned a request of this process away and asked it for rest.
///
/// Unlike an ejection, a rest is not a judgement of this process: no answer ends it, and no lack of
/// other targets. It concerns this process alone, so it is not reported to peers.
#[derive(Debug, Default)]
pub struct Rests {
    rests: BTreeMap<TargetId, Rest>,
}

impl Rests {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `run` asks for rest until a time. A shorter rest doesn't end a longer one. Returns
    /// the end of the rest if it has changed.
    pub fn record(&mut self, run: &TargetRun, until: Mono) -> Option<Mono> {
        let known = self.rests.get(&run.target).filter(|rest| rest.run.may_be(run));
        if known.is_some_and(|rest| rest.until >= until) {
            return None;
        }
        self.rests.insert(run.target.clone(), Rest { run: run.clone(), until });
        Some(until)
    }

    /// Returns the end of the rest of a run; `None` if it does not rest.
    pub fn resting_until(&self, run: &TargetRun, now: Mono) -> Option<Mono> {
        let rest = self.rests.get(&run.target)?;
        (rest.run.may_be(run) && rest.until > now).then_some(rest.until)
    }

    /// Forgets a target whose process has ended.
    pub fn forget(&mut self, target: &TargetId) {
        self.rests.remove(target);
    }

    /// Forgets rests that are over.
    pub fn expire(&mut self, now: Mono) {
        self.rests.retain(|_, rest| rest.until > now);
    }
}
