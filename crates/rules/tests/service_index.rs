//! Rule lists for one service: validation, and decisions through the index.

use jiff::Timestamp;
use quickcheck::{Gen, QuickCheck};
use shallotfork_rules::{LoadHysteresis, RequestContext, RuleList, ServiceIndex, ServiceRuleList};
use shallotfork_types::{Permille, ServiceName};

const SERVICES: [&str; 3] = ["cards", "orders", "sheets"];

fn service(pick: u8) -> ServiceName {
    SERVICES[usize::from(pick) % SERVICES.len()].parse().expect("service name")
}

fn request_context(pick: u8, load: u16) -> RequestContext {
    let caller = pick.is_multiple_of(2).then(|| "batch".parse().expect("caller name"));
    let load = Some(Permille::new(u32::from(load % 1000)));
    RequestContext { caller, service: service(pick / 2), at: Timestamp::UNIX_EPOCH, load }
}

/// Returns one rule; the bits of `pick` select its conditions.
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

fn deciding_rule(list: &RuleList, request: &RequestContext) -> String {
    list.decide(request, &mut LoadHysteresis::new(list)).rule_name.to_string()
}

#[test]
fn index_does_not_change_decisions() {
    fn decides_equally(picks: Vec<u8>, requests: Vec<(u8, u16)>) -> bool {
        let general_list = general(&picks);
        let index = ServiceIndex::new(&general_list);
        requests.iter().all(|(pick, load)| {
            let request = request_context(*pick, *load);
            let service_rules = index.rules_for(&request.service, None);
            deciding_rule(&service_rules, &request) == deciding_rule(&general_list, &request)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 11))
        .tests(500)
        .quickcheck(decides_equally as fn(Vec<u8>, Vec<(u8, u16)>) -> bool);
}

#[test]
fn service_rules_precede_general_rules() {
    fn decides_equally(
        service_picks: Vec<u8>,
        general_picks: Vec<u8>,
        requests: Vec<(u8, u16)>,
    ) -> bool {
        let text = list("p", &service_picks, false);
        let service_list = ServiceRuleList::parse(&text).expect("service list");
        let index = ServiceIndex::new(&general(&general_picks));
        let joined = text + &list("g", &general_picks, true) + "[rest]\n";
        let joined = RuleList::parse(&joined).expect("joined list");
        requests.iter().all(|(pick, load)| {
            let request = request_context(*pick, *load);
            let service_rules = index.rules_for(&request.service, Some(&service_list));
            deciding_rule(&service_rules, &request) == deciding_rule(&joined, &request)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 13))
        .tests(500)
        .quickcheck(decides_equally as fn(Vec<u8>, Vec<u8>, Vec<(u8, u16)>) -> bool);
}

#[test]
fn unconditional_service_rule_decides_only_for_its_service() {
    let service_list =
        ServiceRuleList::parse("[all]\nthen.deadline_ms = 9\n").expect("service list");
    let index = ServiceIndex::new(&general(&[2, 7]));
    let request = request_context(0, 999);
    assert_eq!(
        "all",
        deciding_rule(&index.rules_for(&request.service, Some(&service_list)), &request)
    );
    assert_ne!("all", deciding_rule(&index.rules_for(&request.service, None), &request));
}

#[test]
fn service_list_rejects_service_keys_and_unreachable_rules() {
    let errors = ServiceRuleList::parse("[a]\nwhen.service = cards\n[b]\n[c]\nwhen.caller = x\n")
        .expect_err("invalid list");
    let actual: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let expected = vec![
        "line 2: [a] when.service: not allowed in a list for one service",
        "line 4: [c] unreachable: [b] above has no when. keys",
    ];
    assert_eq!(expected, actual);
}
