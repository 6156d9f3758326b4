//! Published items of the modelled fleet, which entries pull from each other.

use std::collections::BTreeMap;

use shallotfork_feed::{Archive, PullResponse, PullScheduler, RawItem, Uplink};
use shallotfork_history::Precedence;
use shallotfork_types::{Bytes, BytesPerSecond, Epoch, Mono, Position, Revision};

/// Link of the weakest VMs: 10 Mbit/s.
const LINK: BytesPerSecond = BytesPerSecond::new(1_250_000);
/// Size of a target's item.
const ITEM_BYTES: usize = 350;
/// Size of the item with the table of routes, as it is transferred.
const TABLE_BYTES: usize = 60_000;
/// Overhead of an item in a response: its key, position and flags.
const OVERHEAD_BYTES: usize = 60;

/// Items of one entry.
#[derive(Debug)]
struct EntryItems {
    archive: Archive,
    pulls: PullScheduler,
    uplink: Uplink,
    received_bytes: usize,
}

/// Items of the platform and of all entries.
#[derive(Debug)]
pub struct Items {
    platform: BTreeMap<usize, (u64, Vec<u8>)>,
    epoch: u64,
    revision: u64,
    entries: Vec<EntryItems>,
}

impl Items {
    /// Publishes a table of routes and the items of targets, and gives them to all entries.
    pub fn new(entries: usize, targets: usize) -> Self {
        let entry = || EntryItems {
            archive: Archive::new(),
            pulls: PullScheduler::new(),
            uplink: Uplink::new(LINK),
            received_bytes: 0,
        };
        let mut items = Self {
            platform: BTreeMap::new(),
            epoch: 1,
            revision: 0,
            entries: (0..entries).map(|_| entry()).collect(),
        };
        items.write(0, TABLE_BYTES);
        (1..=targets).for_each(|target| items.write(target, ITEM_BYTES));
        (0..entries).for_each(|entry| items.read(entry, Mono::ZERO));
        items
    }

    /// Changes some targets, which all entries learn, and restores the platform from a copy before that.
    /// The targets publish again what was lost.
    pub fn restore(&mut self, changed_targets: usize) {
        let copy = (self.revision, self.platform.clone());
        (1..=changed_targets).for_each(|target| self.write(target, ITEM_BYTES));
        (0..self.entries.len()).for_each(|entry| self.read(entry, Mono::ZERO));
        (self.revision, self.platform) = copy;
        self.epoch += 1;
        (1..=changed_targets).for_each(|target| self.write(target, ITEM_BYTES));
    }

    fn write(&mut self, key: usize, bytes: usize) {
        self.revision += 1;
        let filler = u8::try_from((self.revision + self.epoch) % 251).unwrap();
        self.platform.insert(key, (self.revision, vec![filler; bytes]));
    }

    /// Lets an entry read the platform.
    pub fn read(&mut self, entry: usize, now: Mono) {
        let position = |revision| Position::new(Epoch::new(self.epoch), Revision::new(revision));
        let items: Vec<RawItem> = self
            .platform
            .iter()
            .map(|(key, (revision, content))| RawItem {
                key: key.to_string(),
                position: position(*revision),
                content: Some(content.clone()),
            })
            .collect();
        let archive = &mut self.entries[entry].archive;
        archive.replace(&items, position(self.revision), now, &undecided);
    }

    /// Begins a pull after the heartbeat of `from`, if that is at a later position. Returns the response
    /// and the time that its transfer takes in milliseconds; `None` if there is no pull or `from` is busy.
    pub fn begin_pull(&mut self, to: usize, from: usize, now: Mono) -> Option<(PullResponse, u64)> {
        let own = self.entries[to].archive.position();
        if self.entries[from].archive.position() <= own || !self.entries[to].pulls.try_begin(now) {
            return None;
        }
        let source = &mut self.entries[from];
        if source.uplink.is_full(now) {
            self.entries[to].pulls.end();
            return None;
        }
        let mut response = source.archive.changes_after(own);
        response.retained = source.archive.retained_for(own, now);
        let size = response_bytes(&response);
        source.uplink.record_sent(Bytes::new(size as u64), now);
        self.entries[to].received_bytes += size;
        let transfer = LINK.time_for(Bytes::new(size as u64));
        Some((response, u64::try_from(transfer.as_millis()).unwrap()))
    }

    /// Applies the response to a pull.
    pub fn end_pull(&mut self, to: usize, response: &PullResponse, now: Mono) {
        let entry = &mut self.entries[to];
        entry.pulls.end();
        if entry.archive.check(response).is_ok() {
            entry.archive.apply_response(response, now, &undecided);
        }
    }

    /// Whether all entries are at the position of the platform.
    pub fn all_follow(&self) -> bool {
        let position = Position::new(Epoch::new(self.epoch), Revision::new(self.revision));
        self.entries.iter().all(|entry| entry.archive.position() == position)
    }

    /// Returns the bytes that each entry has pulled.
    pub fn received_bytes(&self) -> Vec<usize> {
        self.entries.iter().map(|entry| entry.received_bytes).collect()
    }
}

fn undecided(_: &RawItem, _: &RawItem) -> Precedence {
    Precedence::Undecided
}

fn response_bytes(response: &PullResponse) -> usize {
    let items = response.changes.items.iter().chain(&response.retained.items);
    items.map(|item| item.content.as_ref().map_or(0, Vec::len) + OVERHEAD_BYTES).sum()
}
