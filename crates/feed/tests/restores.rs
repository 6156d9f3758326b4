//! Random histories of a platform that is restored from copies, and of entries that read it and pull
//! from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use shallotfork_feed::{Archive, FeedChanges, RawItem};
use shallotfork_history::{Precedence, SETTLE_TIME};
use shallotfork_types::{Epoch, ListsDigest, Mono, Position, Revision};

const ARCHIVES: usize = 3;
const KEYS: u8 = 8;
/// Items below this key state their order: a greater content is later.
const ORDERED_KEYS: u8 = 2;
/// Seed and number of histories of a short run; `RESTORE_SEED` and `RESTORE_TESTS` set others.
const DEFAULT_SEED: u64 = 0x4606;
const DEFAULT_TESTS: u64 = 2000;

type Items = BTreeMap<u8, (u64, Option<u32>)>;

/// The platform and its writers.
#[derive(Debug, Clone, Default)]
struct Platform {
    epoch: u64,
    revision: u64,
    items: Items,
    copy: (u64, Items),
    /// What each writer has published last.
    last_words: BTreeMap<u8, Option<u32>>,
    /// Positions at which it has been published.
    last_word_positions: BTreeMap<u8, Position>,
    writes: u32,
}

impl Platform {
    fn write(&mut self, key: u8, is_removal: bool) {
        self.writes += 1;
        // The writers of ordered items never remove them.
        let content = (!is_removal || key < ORDERED_KEYS).then_some(self.writes);
        self.last_words.insert(key, content);
        self.store(key, content);
    }

    fn store(&mut self, key: u8, content: Option<u32>) {
        self.revision += 1;
        self.items.insert(key, (self.revision, content));
        self.last_word_positions.insert(key, self.position());
    }

    fn restore(&mut self) {
        self.epoch += 1;
        (self.revision, self.items) = self.copy.clone();
    }

    fn is_lost(&self, key: u8) -> bool {
        let stored = self.items.get(&key).and_then(|(_, content)| *content);
        self.last_words.get(&key).is_some_and(|last_word| *last_word != stored)
    }

    fn write_again(&mut self, key: u8) {
        if self.is_lost(key) {
            self.store(key, self.last_words[&key]);
        }
    }

    fn position(&self) -> Position {
        self.position_of(self.revision)
    }

    fn position_of(&self, revision: u64) -> Position {
        Position::new(Epoch::new(self.epoch), Revision::new(revision))
    }

    fn raw_items(&self, after: u64) -> Vec<RawItem> {
        let changed = self.items.iter().filter(|(_, (revision, _))| *revision > after);
        let mut items: Vec<RawItem> = changed
            .map(|(key, (revision, content))| RawItem {
                key: key.to_string(),
                position: self.position_of(*revision),
                content: content.map(|content| content.to_be_bytes().to_vec()),
            })
            .collect();
        items.sort_by_key(|item| item.position);
        items
    }

    fn read(&self, archive: &mut Archive, now: Mono) {
        let mut items = self.raw_items(0);
        items.retain(|item| item.content.is_some());
        if self.position() >= archive.position() {
            archive.replace(&items, self.position(), now, &judge);
        }
    }

    fn watch(&self, archive: &mut Archive, now: Mono) {
        let position = archive.position();
        let is_known = position != Position::NONE
            && position.epoch().value() == self.epoch
            && position.revision().value() <= self.revision;
        if !is_known {
            return self.read(archive, now);
        }
        let items = self.raw_items(position.revision().value());
        archive.apply(&FeedChanges { items, position: self.position() }, &judge);
    }
}

fn judge(known: &RawItem, published: &RawItem) -> Precedence {
    if known.key.parse::<u8>().is_ok_and(|key| key >= ORDERED_KEYS) {
        return Precedence::Undecided;
    }
    if known.content > published.content { Precedence::Known } else { Precedence::Published }
}

fn pull(archives: &mut [Archive], to: usize, from: usize, now: Mono) {
    let (own, theirs) = (archives[to].position(), archives[from].position());
    let differs = archives[from].retained_digest() != ListsDigest::default()
        && archives[from].retained_digest() != archives[to].retained_digest();
    if theirs < own || theirs == own && !differs {
        return;
    }
    let mut response = archives[from].changes_after(own);
    if differs || theirs.epoch() > own.epoch() {
        response.retained = archives[from].retained_for(own, now);
    }
    if archives[to].check(&response).is_ok() {
        archives[to].apply_response(&response, now, &judge);
    }
}

fn contents(archive: &Archive) -> BTreeMap<u8, u32> {
    let content = |item: RawItem| {
        let bytes = item.content.and_then(|content| content.try_into().ok());
        (item.key.parse().unwrap_or(u8::MAX), u32::from_be_bytes(bytes.unwrap_or_default()))
    };
    archive.items().into_iter().map(content).collect()
}

struct Model {
    platform: Platform,
    archives: Vec<Archive>,
    now: Mono,
    /// Keys whose last word may have given way at each archive at the end of a settle time, since it was
    /// not published or not read in that time.
    may_have_settled: [[bool; KEYS as usize]; ARCHIVES],
    /// Keys that were written while an archive was in an earlier epoch, which it can't tell from the
    /// copy's, since the end of the last settle time.
    is_ambiguous: [bool; KEYS as usize],
    /// Keys that each archive has had.
    had_key: [[bool; KEYS as usize]; ARCHIVES],
    /// Keys whose last word each archive has received.
    knows_last_word: [[bool; KEYS as usize]; ARCHIVES],
}

impl Model {
    fn new() -> Self {
        Self {
            platform: Platform::default(),
            archives: (0..ARCHIVES).map(|_| Archive::new()).collect(),
            now: Mono::ZERO,
            may_have_settled: [[false; KEYS as usize]; ARCHIVES],
            is_ambiguous: [false; KEYS as usize],
            had_key: [[false; KEYS as usize]; ARCHIVES],
            knows_last_word: [[false; KEYS as usize]; ARCHIVES],
        }
    }

    /// Makes a random step. Returns the archive that it has started anew.
    fn step(&mut self, kind: u8, key: u8, number: u8) -> Option<usize> {
        let key = key % KEYS;
        let archive = usize::from(number) % ARCHIVES;
        match kind % 16 {
            0..=3 => {
                self.platform.write(key, number.is_multiple_of(4));
                self.is_ambiguous[usize::from(key)] |= self.has_archive_in_earlier_epoch();
                for knows in &mut self.knows_last_word {
                    knows[usize::from(key)] = false;
                }
                self.require_last_word(key);
            }
            4 => self.platform.copy = (self.platform.revision, self.platform.items.clone()),
            5 => self.platform.restore(),
            6 | 7 => {
                self.platform.write_again(key);
                self.is_ambiguous[usize::from(key)] |= self.has_archive_in_earlier_epoch();
            }
            8 => self.platform.read(&mut self.archives[archive], self.now),
            9 | 10 => self.platform.watch(&mut self.archives[archive], self.now),
            11..=13 => pull(&mut self.archives, archive, usize::from(key) % ARCHIVES, self.now),
            14 if number.is_multiple_of(3) => {
                self.archives[archive] = Archive::new();
                self.had_key[archive] = [false; KEYS as usize];
                self.knows_last_word[archive] = [false; KEYS as usize];
                return Some(archive);
            }
            _ => self.settle(),
        }
        None
    }

    fn has_archive_in_earlier_epoch(&self) -> bool {
        let mut positions = self.archives.iter().map(Archive::position);
        positions.any(|position| {
            position != Position::NONE && position.epoch() < self.platform.position().epoch()
        })
    }

    fn settle(&mut self) {
        if !self.has_archive_in_earlier_epoch() {
            self.is_ambiguous = [false; KEYS as usize];
        }
        self.now = self.now.plus(SETTLE_TIME + Duration::from_secs(1));
        for (archive, may_have_settled) in self.archives.iter_mut().zip(&mut self.may_have_settled)
        {
            let is_behind = archive.position() != self.platform.position();
            for (key, may_have_settled) in (0..).zip(may_have_settled) {
                *may_have_settled |= is_behind || self.platform.is_lost(key);
            }
            archive.settle(self.now);
        }
    }

    fn require_last_word(&mut self, key: u8) {
        let of_archives = self.may_have_settled.iter_mut();
        of_archives.for_each(|may_have_settled| may_have_settled[usize::from(key)] = false);
    }

    /// Records which last words the archives have received.
    fn record_knowledge(&mut self) {
        for (key, published_at) in self.platform.last_word_positions.clone() {
            let is_received = |archive: &Archive| {
                archive.position() >= published_at
                    && archive.position().epoch() == published_at.epoch()
            };
            // An archive that is behind may follow another one whose settle time is over.
            if self.archives.iter().all(is_received) {
                self.require_last_word(key);
            }
        }
        for (number, archive) in self.archives.iter().enumerate() {
            let contents = contents(archive);
            for (key, published_at) in &self.platform.last_word_positions {
                let index = usize::from(*key);
                self.had_key[number][index] |= contents.contains_key(key);
                // A removal that is read with the copy can't be told from an item that the copy lacks,
                // and the removal of an item that was never known is no knowledge.
                let is_received = archive.position() >= *published_at
                    && archive.position().epoch() == published_at.epoch()
                    && contents.get(key).copied() == self.platform.last_words[key]
                    && self.had_key[number][index];
                self.knows_last_word[number][index] |= is_received;
            }
        }
    }

    /// Returns the violation of a step after which an archive holds something earlier than before.
    fn violation(
        &self,
        archive: usize,
        before: &BTreeMap<u8, u32>,
        after: &BTreeMap<u8, u32>,
    ) -> Option<String> {
        for key in 0..ORDERED_KEYS {
            if after.get(&key) < before.get(&key) {
                return Some(format!("ordered item {key} goes back"));
            }
        }
        for key in ORDERED_KEYS..KEYS {
            let last_word = self.platform.last_words.get(&key).copied().flatten();
            let is_known = self.knows_last_word[archive][usize::from(key)]
                && !self.is_ambiguous[usize::from(key)];
            let was_latest = before.get(&key).copied() == last_word;
            let is_latest = after.get(&key).copied() == last_word;
            if is_known
                && was_latest
                && !is_latest
                && !self.may_have_settled[archive][usize::from(key)]
            {
                return Some(format!("last word of {key} is forgotten"));
            }
        }
        None
    }
}

/// Guards against an entry that goes back to what a copy says, or to the epoch that was lost, whatever it
/// reads and from whom it pulls; and against entries that do not agree with the platform in the end.
#[test]
fn entries_follow_a_platform_that_is_restored_from_copies() {
    fn property(steps: Vec<(u8, u8, u8)>) -> Result<bool, String> {
        let mut model = Model::new();
        for (kind, key, number) in steps {
            let before: Vec<(Position, BTreeMap<u8, u32>)> = model
                .archives
                .iter()
                .map(|archive| (archive.position(), contents(archive)))
                .collect();
            model.record_knowledge();
            let restarted = model.step(kind, key, number);
            for (number, (position, items)) in before.iter().enumerate() {
                if restarted == Some(number) {
                    continue;
                }
                let archive = &model.archives[number];
                if archive.position() < *position {
                    return Err(format!("position of archive {number} goes back"));
                }
                if let Some(violation) = model.violation(number, items, &contents(archive)) {
                    return Err(format!("archive {number}: {violation}"));
                }
            }
        }
        (0..KEYS).for_each(|key| model.platform.write_again(key));
        for archive in &mut model.archives {
            model.platform.watch(archive, model.now);
        }
        model.settle();
        let published = |(key, content): (&u8, &Option<u32>)| Some((*key, (*content)?));
        let expected: BTreeMap<u8, u32> =
            model.platform.last_words.iter().filter_map(published).collect();
        Ok(model.archives.iter().all(|archive| contents(archive) == expected))
    }
    let setting = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let tests = setting("RESTORE_TESTS").unwrap_or(DEFAULT_TESTS);
    let seed = setting("RESTORE_SEED").unwrap_or(DEFAULT_SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(tests)
        .max_tests(tests)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> Result<bool, String>);
}
