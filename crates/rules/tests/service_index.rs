//! Lists for one service: what they may hold, and that an index changes no decision.

use jiff::Timestamp;
use quickcheck::{Gen, QuickCheck};
use shallotfork_rules::{LoadHysteresis, RequestContext, RuleList, ServiceIndex, ServiceRuleList};
use shallotfork_types::{Permille, ServiceName};

const SERVICES: [&str; 3] = ["cards", "orders", "sheets"];

fn service(pick: u8) -> ServiceName {
    SERVICES[usize::from(pick) % SERVICES.len()].parse().expect("service name")
}

fn described(pick: u8, load: u16) -> RequestContext {
    let caller = pick.is_multiple_of(2).then(|| "batch".parse().expect("caller name"));
    let load = Some(Permille::new(u32::from(load % 1000)));
    RequestContext { caller, service: service(pick / 2), at: Timestamp::UNIX_EPOCH, load }
}

/// One rule with conditions picked by the bits of a number.
fn rule(name: &str, pick: u8, with_service: bool) -> String {
    let mut text = format!("[{name}]\nwhen.load_above = {}\n", u32::from(pick) * 3);
    if pick & 1 != 0 {
        text += "when.caller = batch\n";
    }
    if with_service && pick & 2 != 0 {
        text += &format!("when.service = {}, {}\n", service(pick / 4), service(pick / 16));
    }
    text + &format!("then.deadline_ms = {}\n", u32::from(pick) + 1)
}

fn list(prefix: &str, picks: &[u8], with_service: bool) -> String {
    let rules = picks.iter().enumerate();
    rules.map(|(index, pick)| rule(&format!("{prefix}{index}"), *pick, with_service)).collect()
}

fn general(picks: &[u8]) -> RuleList {
    RuleList::parse(&(list("g", picks, true) + "[rest]\n")).expect("general list")
}

fn decided(list: &RuleList, request: &RequestContext) -> String {
    list.decide(request, &mut LoadHysteresis::new(list)).rule_name.to_string()
}

#[test]
fn an_index_changes_no_decision() {
    fn same(rules: Vec<u8>, requests: Vec<(u8, u16)>) -> bool {
        let whole = general(&rules);
        let index = ServiceIndex::new(&whole);
        requests.iter().all(|(pick, load)| {
            let request = described(*pick, *load);
            let own = index.rules_for(&request.service, None);
            decided(&own, &request) == decided(&whole, &request)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 11))
        .tests(500)
        .quickcheck(same as fn(Vec<u8>, Vec<(u8, u16)>) -> bool);
}

#[test]
fn rules_of_the_service_go_before_general_ones() {
    fn same(part: Vec<u8>, rules: Vec<u8>, requests: Vec<(u8, u16)>) -> bool {
        let text = list("p", &part, false);
        let part = ServiceRuleList::parse(&text).expect("part");
        let index = ServiceIndex::new(&general(&rules));
        let joined = text + &list("g", &rules, true) + "[rest]\n";
        let joined = RuleList::parse(&joined).expect("joined list");
        requests.iter().all(|(pick, load)| {
            let request = described(*pick, *load);
            let own = index.rules_for(&request.service, Some(&part));
            decided(&own, &request) == decided(&joined, &request)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 13))
        .tests(500)
        .quickcheck(same as fn(Vec<u8>, Vec<u8>, Vec<(u8, u16)>) -> bool);
}

#[test]
fn a_last_rule_without_conditions_decides_for_the_service_alone() {
    let part = ServiceRuleList::parse("[all]\nthen.deadline_ms = 9\n").expect("part");
    let index = ServiceIndex::new(&general(&[2, 7]));
    let request = described(0, 999);
    assert_eq!("all", decided(&index.rules_for(&request.service, Some(&part)), &request));
    assert_ne!("all", decided(&index.rules_for(&request.service, None), &request));
}

#[test]
fn a_part_names_no_service_and_has_no_rule_out_of_reach() {
    let errors = ServiceRuleList::parse("[a]\nwhen.service = cards\n[b]\n[c]\nwhen.caller = x\n")
        .expect_err("three errors at least");
    let actual: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let expected = vec![
        "line 2: [a] when.service: not allowed in a list for one service",
        "line 4: [c] never reached: [b] above has no when. keys",
    ];
    assert_eq!(expected, actual);
}
