//! Compares target selection policies with a central queue that has complete information.
//!
//! Pools of several entries send requests to targets with two slots in virtual time. Only the
//! decisions are simulated: there are no connections, no failures of entries, and no platform.
//!
//! `cargo run --release -p shallotfork-balance --example policy_trial -- [--loads 850,1200]
//! [--entries 3,14] [--targets 20] [--spread 0] [--straggler 10] [--noise] [--stale-ms 0]
//! [--requests 100000] [--only-ours] [--gate-extra 1] [--gate-away 1] [--fade-ms 2000]
//! [--slow-factor 2] [--seed 1]`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use shallotfork_balance::{
    Admission, Assignment, AttemptId, AttemptOutcome, GroupEntry, GroupSize, Policy, Pool,
    PoolConfig, PoolRequest, PoolTarget, Resolution, ResolvedTicket, ServiceGroup, Ticket,
};
use shallotfork_measure::LoadReport;
use shallotfork_types::{FailureDomain, Mono, ServiceName, TargetId, VmId};

const SLOTS: u32 = 2;
const SERVICE_MEAN_US: f64 = 10_000.0;
const ONE_WAY_US: u64 = 500;
const DEADLINE: Duration = Duration::from_millis(500);
const NOISE_QUIET_MEAN_US: f64 = 200_000.0;
const NOISE_MEAN_US: f64 = 20_000.0;
const NOISE_FACTOR: f64 = 3.0;

#[derive(Debug, Clone)]
struct Scenario {
    load_permille: u64,
    entries: usize,
    straggler: f64,
    noise: bool,
    targets: usize,
    stale_us: u64,
    /// Logarithmic spread of the service times of requests; zero means exponential.
    spread: f64,
    requests: usize,
    seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize },
    ReachTarget { attempt: usize },
    FinishWork { attempt: usize },
    ReceiveAnswer { attempt: usize, reported: u32 },
    CancelAtTarget { attempt: usize },
    HedgeDue { request: usize },
    Deadline { request: usize },
    Expire { entry: usize },
    ToggleNoise { target: usize, on: bool },
}

struct Request {
    arrived_us: u64,
    service_time_us: f64,
    entry: usize,
    attempts: Vec<usize>,
    done: bool,
}

struct Attempt {
    request: usize,
    id: AttemptId,
    target: usize,
    sent_us: u64,
    hedge: bool,
    cancelled: bool,
    ended: bool,
}

#[derive(Default)]
struct SimulatedTarget {
    running: u32,
    queue: VecDeque<usize>,
    noisy: bool,
    /// Requests at the target after each change, newest last.
    history: VecDeque<(u64, u32)>,
}

impl SimulatedTarget {
    fn in_flight(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    fn record_change(&mut self, now_us: u64) {
        self.history.push_back((now_us, self.in_flight()));
    }

    /// Returns the number of requests at the target `stale_us` ago.
    fn delayed_in_flight(&mut self, now_us: u64, stale_us: u64) -> u32 {
        let then_us = now_us.saturating_sub(stale_us);
        while self.history.get(1).is_some_and(|(at_us, _)| *at_us <= then_us) {
            self.history.pop_front();
        }
        self.history.front().map_or(0, |(_, in_flight)| *in_flight)
    }
}

#[derive(Default)]
struct Results {
    latencies_us: Vec<u64>,
    shed: usize,
    timed_out: usize,
    hedges: usize,
    first_attempts: usize,
    straggler: usize,
    /// Answers in time that arrived before the last request did.
    in_time: usize,
    ended_us: u64,
}

struct Trial {
    scenario: Scenario,
    rng: SmallRng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pools: Vec<Pool>,
    tickets: Vec<BTreeMap<Ticket, usize>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    targets: Vec<SimulatedTarget>,
    results: Results,
    hedging: bool,
}

fn target_id(number: usize) -> TargetId {
    TargetId::new(&format!("target-{number}")).expect("a valid name")
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns a random service time of one request, with the same mean for every spread.
fn service_time_us(rng: &mut SmallRng, spread: f64) -> f64 {
    if spread == 0.0 {
        return exponential(rng, SERVICE_MEAN_US);
    }
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = exponential(rng, 2.0).sqrt() * angle.cos();
    SERVICE_MEAN_US * (spread * normal - spread * spread / 2.0).exp()
}

/// Generates arrivals and service times, the same for every policy.
fn requests(scenario: &Scenario) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let capacity_per_us = scenario.targets as f64 * f64::from(SLOTS) / SERVICE_MEAN_US;
    let gap_us = 1000.0 / (capacity_per_us * scenario.load_permille as f64);
    let mut at_us = 0.0;
    let mut next = || {
        at_us += exponential(&mut rng, gap_us);
        let service_time_us = service_time_us(&mut rng, scenario.spread);
        let entry = rng.random_range(0..scenario.entries);
        Request {
            arrived_us: at_us as u64,
            service_time_us,
            entry,
            attempts: Vec::new(),
            done: false,
        }
    };
    (0..scenario.requests).map(|_| next()).collect()
}

fn pools(scenario: &Scenario, config: &PoolConfig) -> Vec<Pool> {
    let domain = |number: usize| FailureDomain::new(&format!("domain-{number}")).expect("valid");
    let entry = |number: usize| GroupEntry {
        vm: VmId::new(&format!("vm-{number}")).expect("valid"),
        failure_domain: domain(number % 3),
    };
    let entries: Vec<GroupEntry> = (0..scenario.entries).map(entry).collect();
    let size = GroupSize::new(u32::try_from(scenario.entries).expect("few entries"));
    let service = ServiceName::new("register").expect("valid");
    let group = ServiceGroup::new(&service, &entries, size);
    let ids: Vec<TargetId> = (0..scenario.targets).map(target_id).collect();
    let pool = |(number, entry): (usize, &GroupEntry)| {
        let homes = group.home_targets(&entry.vm, &ids);
        let target = |id: &TargetId| {
            PoolTarget::new(id.clone(), domain(0), SLOTS).with_home(homes.contains(id))
        };
        let targets: Vec<PoolTarget> = ids.iter().map(target).collect();
        let mut pool = Pool::new(config.clone(), scenario.seed + number as u64);
        pool.set_targets(&targets, Mono::ZERO);
        pool
    };
    entries.iter().enumerate().map(pool).collect()
}

impl Trial {
    fn new(scenario: &Scenario, config: &PoolConfig) -> Self {
        let hedging = config.hedge_share.value() > 0;
        Self {
            rng: SmallRng::seed_from_u64(scenario.seed ^ 0x5eed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            pools: pools(scenario, config),
            tickets: vec![BTreeMap::new(); scenario.entries],
            requests: requests(scenario),
            attempts: Vec::new(),
            targets: (0..scenario.targets).map(|_| SimulatedTarget::default()).collect(),
            results: Results::default(),
            scenario: scenario.clone(),
            hedging,
        }
    }

    fn run(mut self) -> Results {
        for request in 0..self.requests.len() {
            self.schedule_at(self.requests[request].arrived_us, Event::Arrive { request });
        }
        if self.scenario.noise {
            for target in 0..self.scenario.targets {
                let wait_us = exponential_us(&mut self.rng, NOISE_QUIET_MEAN_US);
                self.schedule_after(wait_us, Event::ToggleNoise { target, on: true });
            }
        }
        let last_us = self.requests.last().map_or(0, |request| request.arrived_us);
        self.results.ended_us = last_us;
        let end_us = last_us + 2_000_000;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.results
    }

    fn now(&self) -> Mono {
        Mono::from_micros(self.now_us)
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn schedule_after(&mut self, wait_us: u64, event: Event) {
        self.schedule_at(self.now_us + wait_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::ReachTarget { attempt } => self.reach_target(attempt),
            Event::FinishWork { attempt } => self.finish_work(attempt),
            Event::ReceiveAnswer { attempt, reported } => self.receive_answer(attempt, reported),
            Event::CancelAtTarget { attempt } => self.cancel_at_target(attempt),
            Event::HedgeDue { request } => self.hedge(request),
            Event::Deadline { request } => self.time_out(request),
            Event::Expire { entry } => {
                let now = self.now();
                let resolved = self.pools[entry].expire(now);
                self.resolve(entry, resolved);
            }
            Event::ToggleNoise { target, on } => {
                self.targets[target].noisy = on;
                let mean_us = if on { NOISE_MEAN_US } else { NOISE_QUIET_MEAN_US };
                let wait_us = exponential_us(&mut self.rng, mean_us);
                self.schedule_after(wait_us, Event::ToggleNoise { target, on: !on });
            }
        }
    }

    fn pool_request(&self, request: usize) -> PoolRequest {
        PoolRequest::new(Mono::from_micros(self.requests[request].arrived_us).plus(DEADLINE))
    }

    fn arrive(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        let (pool_request, now) = (self.pool_request(request), self.now());
        match self.pools[entry].admit(pool_request, now) {
            Admission::Send(assignment) => self.send(request, assignment, false),
            Admission::Queued(ticket) => {
                self.tickets[entry].insert(ticket, request);
                self.schedule_expiry(entry);
            }
            Admission::Shed(_) => self.results.shed += 1,
        }
    }

    fn schedule_expiry(&mut self, entry: usize) {
        if let Some(at) = self.pools[entry].next_expiry() {
            self.schedule_at(at.as_micros().max(self.now_us), Event::Expire { entry });
        }
    }

    fn resolve(&mut self, entry: usize, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let request = self.tickets[entry].remove(&ticket).expect("a waiting ticket");
            match resolution {
                Resolution::Send(assignment) => self.send(request, assignment, false),
                Resolution::Shed(_) => self.results.shed += 1,
            }
        }
    }

    fn send(&mut self, request: usize, assignment: Assignment, hedge: bool) {
        let number = assignment.target.as_str().trim_start_matches("target-");
        let target = number.parse().expect("a number");
        let attempt = self.attempts.len();
        self.results.straggler += usize::from(target == 0);
        self.attempts.push(Attempt {
            request,
            id: assignment.attempt,
            target,
            sent_us: self.now_us,
            hedge,
            cancelled: false,
            ended: false,
        });
        self.requests[request].attempts.push(attempt);
        self.schedule_after(ONE_WAY_US, Event::ReachTarget { attempt });
        if hedge {
            self.results.hedges += 1;
            return;
        }
        self.results.first_attempts += 1;
        let deadline_us = self.requests[request].arrived_us + DEADLINE.as_micros() as u64;
        self.schedule_at(deadline_us, Event::Deadline { request });
        if self.hedging
            && let Some(delay) = self.pools[self.requests[request].entry].hedge_delay()
        {
            self.schedule_after(delay.as_micros() as u64, Event::HedgeDue { request });
        }
    }

    fn reach_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.attempts[attempt].cancelled {
            return;
        }
        self.targets[target].queue.push_back(attempt);
        self.targets[target].record_change(self.now_us);
        self.start_next(target);
    }

    fn start_next(&mut self, target: usize) {
        while self.targets[target].running < SLOTS {
            let Some(attempt) = self.targets[target].queue.pop_front() else { return };
            if self.attempts[attempt].cancelled {
                continue;
            }
            self.targets[target].running += 1;
            let mut service_time_us = self.requests[self.attempts[attempt].request].service_time_us;
            if target == 0 {
                service_time_us *= self.scenario.straggler;
            }
            if self.targets[target].noisy {
                service_time_us *= NOISE_FACTOR;
            }
            self.schedule_after(service_time_us as u64, Event::FinishWork { attempt });
        }
    }

    fn finish_work(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.attempts[attempt].cancelled {
            return;
        }
        self.attempts[attempt].ended = true;
        let simulated = &mut self.targets[target];
        simulated.running -= 1;
        simulated.record_change(self.now_us);
        let reported = simulated.delayed_in_flight(self.now_us, self.scenario.stale_us);
        self.schedule_after(ONE_WAY_US, Event::ReceiveAnswer { attempt, reported });
        self.start_next(target);
    }

    fn receive_answer(&mut self, attempt: usize, reported: u32) {
        let Attempt { request, id, sent_us, cancelled, .. } = self.attempts[attempt];
        if cancelled {
            return;
        }
        let entry = self.requests[request].entry;
        let now = self.now();
        let report = LoadReport { in_flight: Some(reported), ..LoadReport::default() };
        let latency = Duration::from_micros(self.now_us - sent_us);
        let outcome = AttemptOutcome::Answered { latency };
        let resolved = self.pools[entry].finish(id, outcome, Some(report), now);
        self.resolve(entry, resolved);
        self.complete(request, attempt);
    }

    /// Completes the request with its first answer and cancels its other attempts.
    fn complete(&mut self, request: usize, answered_attempt: usize) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].done = true;
        let latency_us = self.now_us - self.requests[request].arrived_us;
        self.results.latencies_us.push(latency_us);
        self.results.in_time += usize::from(self.now_us <= self.results.ended_us);
        self.finish_other_attempts(request, answered_attempt, AttemptOutcome::Cancelled);
    }

    /// Ends all attempts of a request at its deadline, when its caller stops waiting.
    fn time_out(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].done = true;
        self.results.timed_out += 1;
        self.results.latencies_us.push(DEADLINE.as_micros() as u64);
        self.finish_other_attempts(request, usize::MAX, AttemptOutcome::TimedOut);
    }

    fn finish_other_attempts(
        &mut self,
        request: usize,
        answered_attempt: usize,
        outcome: AttemptOutcome,
    ) {
        let entry = self.requests[request].entry;
        for attempt in self.requests[request].attempts.clone() {
            if attempt == answered_attempt {
                continue;
            }
            let (id, now) = (self.attempts[attempt].id, self.now());
            let resolved = self.pools[entry].finish(id, outcome, None, now);
            self.resolve(entry, resolved);
            self.schedule_after(ONE_WAY_US, Event::CancelAtTarget { attempt });
        }
    }

    /// Cancels an attempt at its target, as its caller no longer waits for it.
    fn cancel_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let waiting = self.targets[target].queue.contains(&attempt);
        self.targets[target].queue.retain(|queued| *queued != attempt);
        if self.attempts[attempt].cancelled {
            return;
        }
        self.attempts[attempt].cancelled = true;
        if !waiting && !self.attempts[attempt].ended {
            self.targets[target].running -= 1;
            self.start_next(target);
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let Some(first) = self.requests[request].attempts.first().copied() else { return };
        if self.attempts[first].hedge {
            return;
        }
        let (entry, pool_request, now) =
            (self.requests[request].entry, self.pool_request(request), self.now());
        let assignment = self.pools[entry].hedge(self.attempts[first].id, pool_request, now);
        if let Some(assignment) = assignment {
            self.send(request, assignment, true);
        }
    }
}

fn exponential_us(rng: &mut SmallRng, mean_us: f64) -> u64 {
    exponential(rng, mean_us) as u64
}

/// Simulates one queue in front of all slots that picks the slot with the earliest end; no policy
/// with partial information can be better.
fn central_queue(scenario: &Scenario) -> Results {
    let mut slots: Vec<(f64, f64)> = Vec::new();
    for target in 0..scenario.targets {
        let factor = if target == 0 { scenario.straggler } else { 1.0 };
        slots.extend((0..SLOTS).map(|_| (0.0, factor)));
    }
    let mut results = Results::default();
    let requests = requests(scenario);
    results.ended_us = requests.last().map_or(0, |request| request.arrived_us);
    for request in requests {
        let arrived = request.arrived_us as f64;
        let ends_at = |slot: &(f64, f64)| slot.0.max(arrived) + request.service_time_us * slot.1;
        let best =
            slots.iter_mut().min_by(|a, b| ends_at(a).total_cmp(&ends_at(b))).expect("slots");
        let latency = ends_at(best) - arrived + 2.0 * ONE_WAY_US as f64;
        if latency > DEADLINE.as_micros() as f64 {
            results.shed += 1;
            continue;
        }
        best.0 = ends_at(best);
        results.latencies_us.push(latency as u64);
        results.in_time += usize::from(ends_at(best) <= results.ended_us as f64);
    }
    results
}

fn print_row(name: &str, scenario: &Scenario, mut results: Results) {
    results.latencies_us.sort_unstable();
    let count = results.latencies_us.len();
    let quantile_ms = |share: f64| {
        let index = ((count as f64 * share) as usize).min(count.saturating_sub(1));
        results.latencies_us.get(index).map_or(0.0, |us| *us as f64 / 1000.0)
    };
    let capacity =
        scenario.targets as f64 * f64::from(SLOTS) / SERVICE_MEAN_US * results.ended_us as f64;
    let goodput = results.in_time as f64 / capacity * 100.0;
    let sent = results.first_attempts.max(1) as f64;
    println!(
        "{:>5.0}% {:>3} {:<22} {:>7.1} {:>7.1} {:>7.1} {:>7.1}% {:>6} {:>6} {:>6.2}% {:>6.2}%",
        scenario.load_permille as f64 / 10.0,
        scenario.entries,
        name,
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(0.999),
        goodput,
        results.shed,
        results.timed_out,
        results.hedges as f64 / sent * 100.0,
        results.straggler as f64 / sent * 100.0,
    );
}

fn parse_numbers(text: &str) -> Vec<u64> {
    text.split(',').map(|number| number.parse().expect("a number")).collect()
}

fn main() {
    let mut loads = vec![500, 700, 850, 950, 1200];
    let mut entry_counts = vec![3, 14];
    let (mut targets, mut spread, mut stale_us) = (20, 0.0, 0);
    let mut base = PoolConfig::default();
    let mut skip_baselines = false;
    let (mut straggler, mut noise, mut request_count, mut seed) = (10.0, false, 60_000, 1);
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut value = || args.next().expect("a value");
        match arg.as_str() {
            "--loads" => loads = parse_numbers(&value()),
            "--entries" => entry_counts = parse_numbers(&value()),
            "--straggler" => straggler = value().parse().expect("a number"),
            "--requests" => request_count = value().parse().expect("a number"),
            "--targets" => targets = value().parse().expect("a number"),
            "--spread" => spread = value().parse().expect("a number"),
            "--stale-ms" => stale_us = value().parse::<u64>().expect("a number") * 1000,
            "--seed" => seed = value().parse().expect("a number"),
            "--gate-extra" => base.target.extra_concurrency = value().parse().expect("a number"),
            "--gate-away" => base.target.non_home_concurrency = value().parse().expect("a number"),
            "--fade-ms" => {
                base.target.report_decay =
                    Duration::from_millis(value().parse().expect("a number"));
            }
            "--slow-factor" => base.target.slow_factor = value().parse().expect("a number"),
            "--only-ours" => skip_baselines = true,
            "--noise" => noise = true,
            _ => panic!("unknown argument {arg}"),
        }
    }
    println!(
        " load  entries policy             p50 ms  p99 ms p999 ms  goodput   shed   late hedges straggler"
    );
    for load_permille in loads {
        for entries in &entry_counts {
            let scenario = Scenario {
                load_permille,
                entries: *entries as usize,
                straggler,
                noise,
                targets,
                stale_us,
                spread,
                requests: request_count,
                seed,
            };
            print_row("central queue", &scenario, central_queue(&scenario));
            for policy in Policy::ALL {
                if policy == Policy::LoadAware || skip_baselines {
                    continue;
                }
                let config = PoolConfig::baseline(policy);
                print_row(policy.as_str(), &scenario, Trial::new(&scenario, &config).run());
            }
            let no_hedge = PoolConfig {
                hedge_share: shallotfork_types::Permille::new(0),
                hedge_burst: 0,
                ..base.clone()
            };
            print_row("load-aware, no hedge", &scenario, Trial::new(&scenario, &no_hedge).run());
            print_row("load-aware", &scenario, Trial::new(&scenario, &base).run());
        }
    }
}
