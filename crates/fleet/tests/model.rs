//! Fleets of hundreds of entries find together, at what price, and after which losses.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use shallotfork_types::FailureDomain;
use support::{Model, STRONG, WEAK};

const SEEDS: std::ops::Range<u64> = 1..3;
/// Callers keep an answer for 1.5 s; what the fleet names has to be right again about as soon.
const START_MAX_MS: u64 = 2_500;
const LOSS_MAX_MS: u64 = 5_000;
const HEAL_MAX_MS: u64 = 3_500;

fn large(seed: u64) -> Model {
    Model::new(seed, 5, &[(15, STRONG), (457, WEAK)])
}

fn running(seed: u64) -> Model {
    let mut model = large(seed);
    model.start_all();
    model.run_for(5_000);
    model
}

/// All entries start at once and know three seeds, one of which stays down. Callers would be sent to
/// the first that knows only itself, and to another one by each.
#[test]
fn a_common_start_ends_with_one_answer() {
    for seed in SEEDS {
        let mut model = large(seed);
        model.start_all();
        assert!(model.converge(START_MAX_MS).is_some(), "seed {seed}");
    }
}

/// With each new contact told of all others, a common start of 472 took a gigabyte.
#[test]
fn what_a_start_takes_grows_with_the_fleet_and_not_with_its_square() {
    let cost_each = |strengths: &[(usize, u32)]| {
        let mut model = Model::new(1, 5, strengths);
        model.start_all();
        model.run_for(5_000);
        let count: usize = strengths.iter().map(|(count, _)| count).sum();
        (model.sent / count, model.news / count)
    };
    let (sent, news) = cost_each(&[(15, STRONG), (457, WEAK)]);
    let (sent_larger, news_larger) = cost_each(&[(15, STRONG), (1400, WEAK)]);
    assert!(sent < 120 && news < 3_000, "{sent} {news}");
    assert!(sent_larger < 120 && news_larger < 3_000, "{sent_larger} {news_larger}");
}

/// Once nothing happens any more, nobody has anything to tell.
#[test]
fn a_fleet_at_rest_tells_no_news_and_keeps_to_few_heartbeats() {
    let mut model = running(1);
    model.run_for(5_000);
    (model.sent, model.crossed, model.news) = (0, 0, 0);
    model.run_for(5_000);
    let per_entry_and_s = model.sent / 472 / 5;
    assert!(model.crossed < 5_000, "{} of {} cross", model.crossed, model.sent);
    assert!(per_entry_and_s <= 12, "{per_entry_and_s}");
    assert!(model.news < 472, "{}", model.news);
}

/// More than half of all VMs lose power at once, the entries that callers are sent to among them.
#[test]
fn the_loss_of_half_of_a_fleet_is_known_to_the_rest() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.lose(|index, _| index % 9 < 5);
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
        model.start_all();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}, after their return");
    }
}

/// All strong entries are lost; ten weak ones are named in each hall, as many as carry the load.
#[test]
fn the_loss_of_all_strong_entries_is_known_to_the_rest() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.lose(|_, vm| vm.capacity.value() == STRONG);
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
    }
}

/// All processes are killed and start anew, with nothing left of what they knew.
#[test]
fn a_fleet_that_was_lost_whole_finds_together_again() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.lose(|_, _| true);
        model.run_for(1_000);
        model.start_all();
        assert!(model.converge(START_MAX_MS).is_some(), "seed {seed}");
    }
}

/// A switch cuts a hall off for six seconds. Its entries name their own meanwhile; once it is mended,
/// callers must be sent to the same entries by all again.
#[test]
fn a_hall_that_was_cut_off_finds_back() {
    for seed in SEEDS {
        let mut model = running(seed);
        let hall = FailureDomain::new("hall-2").unwrap();
        model.cut.insert(hall);
        model.run_for(6_000);
        let (inside, outside) = (model.named_by(2 + 5 * 50), model.named_by(3 + 5 * 50));
        assert_ne!(inside, outside, "each side goes by what it sees");
        model.cut.clear();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}");
    }
}

/// All halls are cut off from each other at once.
#[test]
fn halls_that_were_all_cut_off_find_back() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.cut =
            (0..5).map(|hall| FailureDomain::new(&format!("hall-{hall}")).unwrap()).collect();
        model.run_for(6_000);
        model.cut.clear();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}");
    }
}

/// An entry that has met another one by chance learns of its end from nobody.
#[test]
fn everybody_still_knows_the_same_after_minutes() {
    let mut model = Model::new(1, 3, &[(6, STRONG), (60, WEAK)]);
    model.start_all();
    model.run_for(90_000);
    model.lose(|index, _| index % 3 == 1);
    assert!(model.converge(LOSS_MAX_MS).is_some());
    model.run_for(90_000);
    assert!(model.converge(LOSS_MAX_MS).is_some());
}

/// Guards against callers of a failure domain who are sent to an entry without processor time for them
/// for as long as a burst lasts, or to its helpers for ever.
#[test]
fn the_failure_domain_of_an_entry_that_is_behind_names_another_one_for_a_time() {
    const HEARD_MAX_MS: u64 = 1_500;
    const FORGOTTEN_MAX_MS: u64 = 7_500;
    for seed in SEEDS {
        let mut model = running(seed);
        let usual = model.expected();
        let late = model.index_of(&usual[0]);
        let others: Vec<usize> = model.domain_of(late);
        model.set_behind(late, true);
        model.run_for(HEARD_MAX_MS);
        for index in others.iter().copied() {
            let named = model.named_by(index).unwrap();
            let here = named.iter().filter(|vm| others.contains(&model.index_of(vm))).count();
            assert_eq!(here, 3, "seed {seed}: {index} names {named:?}");
        }
        model.set_behind(late, false);
        assert!(model.converge(FORGOTTEN_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against help that comes once only.
#[test]
fn an_entry_that_is_behind_again_is_helped_again() {
    let mut model = running(1);
    let late = model.index_of(&model.expected()[0]);
    let usual = model.expected().len();
    for _ in 0..2 {
        model.set_behind(late, true);
        model.run_for(1_500);
        assert!(model.named_by(late).unwrap().len() > usual);
        model.set_behind(late, false);
        model.run_for(9_000);
        assert_eq!(model.named_by(late).unwrap().len(), usual);
    }
}
