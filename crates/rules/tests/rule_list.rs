//! Parsing of valid and invalid rule lists, and their decisions.

use jiff::Timestamp;
use quickcheck::{Gen, QuickCheck};
use shallotfork_rules::{LoadHysteresis, RequestContext, RuleList};
use shallotfork_types::Permille;

const RULES: &str = "\
[morning-orders]
when.service = orders
when.time = 06:00-11:00
when.days = mon-fri, sun
when.zone = Australia/Perth
then.prefer = kalgoorlie, boulder
then.deadline_ms = 800
then.priority = high
[busy-lookups]
when.service = lookups, recipes
when.load_above = 800
when.caller = batch
then.refuse = 503
then.retry_after_ms = 1500
[everything-else]
then.hedge = yes
then.retries = 2
";

struct Request(RequestContext);

impl Request {
    fn new(service: &str, at: &str) -> Self {
        let at: Timestamp = at.parse().expect("time");
        let service = service.parse().expect("service name");
        Self(RequestContext { caller: None, service, at, load: None })
    }

    fn with_caller(mut self, caller: &str) -> Self {
        self.0.caller = Some(caller.parse().expect("caller name"));
        self
    }

    fn with_load(mut self, load: u32) -> Self {
        self.0.load = Some(Permille::new(load));
        self
    }

    fn deciding_rule(&self, list: &RuleList, load_hysteresis: &mut LoadHysteresis) -> String {
        list.decide(&self.0, load_hysteresis).rule_name.to_string()
    }

    fn explanation(&self, list: &RuleList) -> String {
        let explanation = list.explain(&self.0, &mut LoadHysteresis::new(list));
        let rules: String = explanation.rules.iter().map(|rule| format!("{rule}\n")).collect();
        format!("{rules}{:?}\n", explanation.outcome)
    }
}

fn errors(text: &str) -> String {
    let errors = RuleList::parse(text).expect_err("invalid list");
    errors.iter().map(|error| format!("{error}\n")).collect()
}

fn deciding_rule(text: &str, request: &Request) -> String {
    let list = RuleList::parse(text).expect("valid list");
    request.deciding_rule(&list, &mut LoadHysteresis::new(&list))
}

#[test]
fn explanations_list_unmet_conditions() {
    let list = RuleList::parse(RULES).unwrap();
    let actual = [
        Request::new("orders", "2026-03-02T00:30:00Z"),
        Request::new("orders", "2026-03-06T23:00:00Z"),
        Request::new("recipes", "2026-03-02T00:30:00Z").with_caller("batch").with_load(900),
        Request::new("recipes", "2026-03-02T00:30:00Z"),
    ]
    .map(|request| request.explanation(&list));
    insta::assert_snapshot!(actual.join("\n"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "\
[a]
when.time = 6-11
when.days = funday
then.refuse = 200
then.prefer = nowhere land
[b]
when.zone = Australia/Perth
then.retry_after_ms = 5
[a]
when.load_above = 500
when.load_below = 400
when.time = 25:00-26:00
when.zone = Mars/Olympus
then.refuse = 503
then.hedge = maybe
then.priority = urgent
[c]
when.colour = red
when.service = x
when.service = y
";
    insta::assert_snapshot!(errors(text));
}

#[test]
fn only_the_last_rule_has_no_conditions() {
    let actual = [errors(""), errors("[a]\nwhen.service = x\n"), errors("[a]\n[b]\n[c]\n")];
    insta::assert_snapshot!(actual.join("\n"));
}

/// Guards against a time range that ignores clock changes: New York skips 02:00 to 03:00 on
/// 8 March 2026 and repeats 01:00 to 02:00 on 1 November 2026. A range of 01:00 to 03:00 must
/// follow the local clock.
#[test]
fn time_ranges_follow_the_local_clock() {
    let text = "[night]\nwhen.time = 01:00-03:00\nwhen.zone = America/New_York\n[rest]\n";
    let decide_at = |at: &str| deciding_rule(text, &Request::new("x", at));
    let half_past_one = decide_at("2026-03-08T06:30:00Z");
    let three_after_the_skipped_hour = decide_at("2026-03-08T07:00:00Z");
    let half_past_one_before_the_change = decide_at("2026-11-01T05:30:00Z");
    let half_past_one_again = decide_at("2026-11-01T06:30:00Z");
    let three_after_the_repeated_hour = decide_at("2026-11-01T08:00:00Z");
    let actual = [
        half_past_one,
        three_after_the_skipped_hour,
        half_past_one_before_the_change,
        half_past_one_again,
        three_after_the_repeated_hour,
    ];
    assert_eq!(["night", "rest", "night", "night", "rest"], actual.each_ref().map(String::as_str));
}

#[test]
fn time_range_past_midnight_matches_the_new_day() {
    let text = "[late]\nwhen.time = 22:00-04:00\nwhen.days = fri-sat\nwhen.zone = UTC\n[rest]\n";
    let decide_at = |at: &str| deciding_rule(text, &Request::new("x", at));
    assert_eq!("late", decide_at("2026-03-06T23:00:00Z"));
    assert_eq!("late", decide_at("2026-03-07T03:59:00Z"));
    assert_eq!("rest", decide_at("2026-03-08T03:00:00Z"));
    assert_eq!("rest", decide_at("2026-03-07T04:00:00Z"));
}

/// Guards against a deciding rule that changes from one request to the next while the load
/// oscillates around a bound of 800: without hysteresis, each change would itself move the load.
#[test]
fn load_oscillating_around_a_bound_does_not_switch_the_rule() {
    let list = RuleList::parse("[busy]\nwhen.load_above = 800\n[calm]\n").unwrap();
    let mut load_hysteresis = LoadHysteresis::new(&list);
    let loads = [790, 810, 790, 760, 750, 790, 801];
    let actual = loads.map(|load| {
        let request = Request::new("x", "2026-03-02T00:00:00Z").with_load(load);
        request.deciding_rule(&list, &mut load_hysteresis)
    });
    let expected = ["calm", "busy", "busy", "busy", "calm", "calm", "busy"];
    assert_eq!(expected, actual.each_ref().map(String::as_str));
}

/// Guards against shedding on missing data: when every load report is late or missing, the load is
/// unknown and a rule that sheds load must not match.
#[test]
fn unknown_load_matches_no_load_condition() {
    let text = "[busy]\nwhen.load_above = 0\n[calm]\nwhen.load_below = 2000\n[rest]\n";
    assert_eq!("rest", deciding_rule(text, &Request::new("x", "2026-03-02T00:00:00Z")));
}

const FRAGMENTS: [&str; 24] = [
    "[a]",
    "[b]",
    "[a]",
    "when.service = x",
    "when.service = x, y",
    "when.caller = c",
    "when.time = 06:00-11:00",
    "when.time = 22:00-24:00",
    "when.zone = UTC",
    "when.zone = America/Bogota",
    "when.days = mon-fri",
    "when.days = sat",
    "when.load_above = 500",
    "when.load_below = 300",
    "then.refuse = 503",
    "then.hedge = yes",
    "then.priority = low",
    "then.deadline_ms = 5",
    "then.prefer = x",
    "when.",
    "= 5",
    "[",
    "\u{1F9C5}",
    "; note",
];

fn text_from(picks: &[u8]) -> String {
    let lines: Vec<&str> =
        picks.iter().map(|pick| FRAGMENTS[usize::from(*pick) % FRAGMENTS.len()]).collect();
    lines.join("\n")
}

#[test]
fn parsing_is_deterministic() {
    fn parses_equally(picks: Vec<u8>, noise: String) -> bool {
        let text = format!("{}{noise}", text_from(&picks));
        RuleList::parse(&text) == RuleList::parse(&text)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(1000)
        .quickcheck(parses_equally as fn(Vec<u8>, String) -> bool);
}

/// Returns one or more conditions, but never both load conditions, which exclude each other.
fn conditions(combination: u8) -> String {
    const BITS: [(u8, &str); 4] = [
        (1, "when.service = x\n"),
        (2, "when.caller = c\n"),
        (4, "when.load_above = 500\n"),
        (8, "when.load_below = 300\n"),
    ];
    let picked = combination % 11 + 1;
    let both_loads = picked & 12 == 12;
    let picked = if both_loads { picked & !8 } else { picked };
    BITS.iter().filter(|(bit, _)| picked & bit != 0).map(|(_, line)| *line).collect()
}

#[test]
fn explain_agrees_with_decide() {
    fn agrees(rules: Vec<u8>, requests: Vec<(u8, u32, Option<u16>)>) -> bool {
        let mut text = String::new();
        for (index, combination) in rules.iter().enumerate() {
            text += &format!("[r{index}]\n{}", conditions(*combination));
        }
        let list = RuleList::parse(&(text + "[rest]\n")).unwrap();
        let mut load_hysteresis = LoadHysteresis::new(&list);
        requests.iter().all(|(kind, second, load)| {
            let service = if kind % 2 == 0 { "x" } else { "y" };
            let mut request = Request::new(service, "2026-03-02T00:00:00Z").0;
            request.at = Timestamp::from_second(i64::from(*second)).unwrap();
            request.caller = (kind % 3 == 0).then(|| "c".parse().unwrap());
            request.load = load.map(|load| Permille::new(u32::from(load % 1000)));
            let explanation = list.explain(&request, &mut load_hysteresis.clone());
            let decision = list.decide(&request, &mut load_hysteresis);
            explanation.deciding_rule == *decision.rule_name
                && explanation.outcome == *decision.outcome
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 9))
        .tests(500)
        .quickcheck(agrees as fn(Vec<u8>, Vec<(u8, u32, Option<u16>)>) -> bool);
}
