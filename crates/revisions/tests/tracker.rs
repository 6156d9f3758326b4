//! Which version is in force, whatever the order of offers.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shallotfork_revisions::{ConflictWinner, OfferOutcome, OfferedVersion, Tracker, Version};
use shallotfork_types::{ListName, Revision};

const RULES: ListName = ListName::Rules;

fn version(revision: u64, content: &str) -> Version {
    Version::new(Revision::new(revision), content.as_bytes())
}

fn offered(revision: u64, content: &str) -> OfferedVersion {
    OfferedVersion { name: RULES, version: version(revision, content), valid: true }
}

fn invalid(revision: u64, content: &str) -> OfferedVersion {
    OfferedVersion { valid: false, ..offered(revision, content) }
}

/// Two contents, the greater digest first.
fn ordered_contents() -> [&'static str; 2] {
    let mut contents = ["first", "second"];
    contents.sort_by_key(|content| std::cmp::Reverse(version(1, content)));
    contents
}

/// An operator publishes revision 5; a replica that still has revision 4 answers next. Were 4
/// taken, callers would see the old rules again after the new ones had taken effect.
#[test]
fn stale_replica_does_not_undo_a_change() {
    let mut tracker = Tracker::new();
    let from = None;
    assert_eq!(OfferOutcome::Accepted { from }, tracker.offer(&offered(5, "new")));
    let in_force = Revision::new(5);
    assert_eq!(OfferOutcome::Lower { in_force }, tracker.offer(&offered(4, "old")));
    assert_eq!(Some(version(5, "new")), tracker.in_force(&RULES));
}

/// An operator publishes a list that does not parse. The last good list stays in force; the bad
/// one is reported once, however often it is offered, and the next good one takes effect.
#[test]
fn bad_list_leaves_the_last_good_one_in_force() {
    let mut tracker = Tracker::new();
    tracker.offer(&offered(5, "good"));
    let in_force = Some(Revision::new(5));
    assert_eq!(OfferOutcome::Invalid { in_force }, tracker.offer(&invalid(6, "bad")));
    assert_eq!(OfferOutcome::Known, tracker.offer(&invalid(6, "bad")));
    assert_eq!(Some(version(5, "good")), tracker.in_force(&RULES));
    assert_eq!(Some(version(6, "bad")), tracker.refused(&RULES));
    assert_eq!(OfferOutcome::Accepted { from: in_force }, tracker.offer(&offered(7, "mended")));
    assert_eq!(None, tracker.refused(&RULES));
}

/// A VM starts while the platform serves a bad revision 6 and asks a peer, which still has the
/// good revision 5 in force. Refusing 5 because 6 was seen would leave the VM without a list.
#[test]
fn good_list_from_a_peer_is_taken_after_a_bad_one_was_seen() {
    let mut tracker = Tracker::new();
    tracker.offer(&invalid(6, "bad"));
    assert_eq!(OfferOutcome::Accepted { from: None }, tracker.offer(&offered(5, "good")));
}

/// Two operators publish at once and two replicas each take one content as revision 5. One entry
/// reads the first replica, another entry the second; both must end with the same list.
#[test]
fn conflicting_contents_settle_the_same_way_everywhere() {
    let [greater, lesser] = ordered_contents();
    let mut one = Tracker::new();
    one.offer(&offered(5, greater));
    assert_eq!(
        OfferOutcome::Conflict { winner: ConflictWinner::InForce },
        one.offer(&offered(5, lesser))
    );
    let mut other = Tracker::new();
    other.offer(&offered(5, lesser));
    assert_eq!(
        OfferOutcome::Conflict { winner: ConflictWinner::Offered },
        other.offer(&offered(5, greater))
    );
    assert_eq!(one.in_force(&RULES), other.in_force(&RULES));
}

#[derive(Debug, Clone)]
struct History(Vec<(u8, u8, bool)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Vec::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

impl History {
    /// Few revisions and contents, so that conflicts are common; a content is always valid or
    /// always invalid, as validation is deterministic.
    fn offers(&self) -> Vec<OfferedVersion> {
        let offer = |&(revision, content, _): &(u8, u8, bool)| OfferedVersion {
            valid: content % 4 != 0,
            ..offered(u64::from(revision % 6), &(content % 8).to_string())
        };
        self.0.iter().map(offer).collect()
    }

    fn seen_by(&self, process: bool) -> Vec<OfferedVersion> {
        let all = self.offers().into_iter().zip(&self.0);
        all.filter(|(_, (_, _, to))| *to == process).map(|(offer, _)| offer).collect()
    }
}

fn check(property: fn(History, u64) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 5)).tests(1000).quickcheck(property);
}

fn show(tracker: &mut Tracker, offers: &[OfferedVersion]) {
    for offer in offers {
        tracker.offer(offer);
    }
}

fn shuffled(mut offers: Vec<OfferedVersion>, seed: u64) -> Vec<OfferedVersion> {
    let key =
        |offer: &OfferedVersion| Version::new(offer.version.revision, &seed.to_le_bytes()).digest;
    offers.sort_by_key(|offer| (key(offer), offer.version.digest));
    offers
}

#[test]
fn processes_that_saw_the_same_offers_agree() {
    fn agree(history: History, seed: u64) -> bool {
        let mut one = Tracker::new();
        let mut other = Tracker::new();
        show(&mut one, &history.seen_by(true));
        show(&mut other, &history.seen_by(false));
        let same_lists = one.in_force(&RULES) == other.in_force(&RULES);
        let told_apart = same_lists == (one.digest() == other.digest());
        let all = history.offers();
        show(&mut one, &shuffled(all.clone(), seed));
        show(&mut other, &all);
        told_apart
            && one.in_force(&RULES) == other.in_force(&RULES)
            && one.digest() == other.digest()
    }
    check(agree);
}

#[test]
fn version_in_force_never_falls_and_is_always_valid() {
    fn rises(history: History, _seed: u64) -> bool {
        let mut tracker = Tracker::new();
        history.offers().iter().all(|offer| {
            let before = tracker.in_force(&RULES);
            let answer = tracker.offer(offer);
            let after = tracker.in_force(&RULES);
            let took = answer.takes_effect();
            let changed = if took { after == Some(offer.version) } else { after == before };
            before <= after && changed && (!took || offer.valid)
        })
    }
    check(rises);
}
