//! What entries say of themselves in their heartbeats, and how long it counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_types::{Mono, VmId};

use crate::beat::FleetHeartbeat;

/// How long the word of an entry counts that it knows no routes yet. It takes it back to those whom
/// it calls, not to all that have heard it; without an end, some of these would leave it out for
/// ever and send callers to other entries than the rest of the fleet. A start takes a few tenths
/// of a second.
const STARTING_COUNTS: Duration = Duration::from_millis(1000);
/// How long an entry says that it is behind after it was last: longer than callers keep an answer, so
/// that those who were sent to others because of it have moved before it is judged anew.
const BEHIND_SAID: Duration = Duration::from_secs(5);
/// How long the word of another entry counts that it is behind. Its failure domain hears it again
/// within a second; an entry that has heard it by chance would hold to it for ever.
const BEHIND_COUNTS: Duration = Duration::from_secs(2);

/// The words of entries that count until they are taken back or run out.
#[derive(Debug, Default)]
pub(crate) struct Words {
    /// Entries that said that they know no routes yet, and when they said it last.
    starting: BTreeMap<VmId, Mono>,
    /// Entries that say that they can't read the platform.
    blind: BTreeSet<VmId>,
    /// Entries whose work waits for the processor, and when they said so last.
    behind: BTreeMap<VmId, Mono>,
    /// When the work of this entry waited for the processor last; `None` once that is long ago.
    own_behind_at: Option<Mono>,
    version: u64,
}

impl Words {
    /// Raised with each change of what counts, but for words that run out.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Entries that know no routes yet, and until when that counts.
    pub(crate) fn starting(&self, now: Mono) -> BTreeMap<VmId, Mono> {
        counting(&self.starting, STARTING_COUNTS, now)
    }

    /// Entries that the platform turns away.
    pub(crate) fn blind(&self) -> &BTreeSet<VmId> {
        &self.blind
    }

    /// Other entries whose work waits for the processor, and until when that counts.
    pub(crate) fn behind(&self, now: Mono) -> BTreeMap<VmId, Mono> {
        counting(&self.behind, BEHIND_COUNTS, now)
    }

    /// Whether this entry says that its work waits for the processor.
    pub(crate) fn is_own_behind(&self) -> bool {
        self.own_behind_at.is_some()
    }

    /// Takes whether the work of this entry waits for the processor.
    pub(crate) fn note_own(&mut self, is_behind: bool, now: Mono) {
        let said_before = self.is_own_behind();
        if is_behind {
            self.own_behind_at = Some(now);
        }
        self.own_behind_at = self.own_behind_at.filter(|at| now.since(*at) < BEHIND_SAID);
        self.version += u64::from(said_before != self.is_own_behind());
    }

    /// Takes what an entry says.
    pub(crate) fn note(&mut self, beat: &FleetHeartbeat, now: Mono) {
        let vm = &beat.from.listed.vm;
        let before = self.of(vm, now);
        say(&mut self.starting, vm, beat.is_starting, now);
        say(&mut self.behind, vm, beat.is_overloaded, now);
        if beat.is_disconnected {
            self.blind.insert(vm.clone());
        } else {
            self.blind.remove(vm);
        }
        self.version += u64::from(before != self.of(vm, now));
    }

    /// What counts of one entry.
    fn of(&self, vm: &VmId, now: Mono) -> [bool; 3] {
        let counts = |said: &BTreeMap<VmId, Mono>, time: Duration| {
            said.get(vm).is_some_and(|at| now.since(*at) < time)
        };
        let starting = counts(&self.starting, STARTING_COUNTS);
        [starting, self.blind.contains(vm), counts(&self.behind, BEHIND_COUNTS)]
    }
}

fn say(said: &mut BTreeMap<VmId, Mono>, vm: &VmId, says: bool, now: Mono) {
    if says {
        said.insert(vm.clone(), now);
    } else {
        said.remove(vm);
    }
}

fn counting(said: &BTreeMap<VmId, Mono>, time: Duration, now: Mono) -> BTreeMap<VmId, Mono> {
    let until = said.iter().map(|(vm, at)| (vm.clone(), at.plus(time)));
    until.filter(|(_, until)| now < *until).collect()
}
