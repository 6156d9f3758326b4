//! A fleet of hundreds of entries in one process, with simulated links: deterministic by its seed.

#![allow(dead_code, reason = "each test file uses its part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_fleet::{
    Candidate, FleetHeartbeat, FleetMember, HEARTBEAT_PERIOD, OwnState, active_entries,
    choose_initial_seed, fleet_order,
};
use shallotfork_membership::{Announcement, EntryState, ListedVm};
use shallotfork_quarantine::{
    Admission, CrashReport, Quarantine, QuarantineConfig, QuarantineDigest, RequestFingerprint,
    SendKind,
};
use shallotfork_types::{Endpoint, FailureDomain, Incarnation, Mono, PerSecond, VmId};

pub const STRONG: u32 = 833;
pub const WEAK: u32 = 104;
const TARGETS: usize = 809;
/// One way between two entries.
const WAY_MS: std::ops::Range<u64> = 1..8;
/// Time from the start of a process until it knows routes.
const SYNC_MS: u64 = 350;
/// Time after which a call without an answer is given up.
const TIMEOUT_MS: u64 = 400;
/// All processes start within this time.
const START_MS: u64 = 300;

/// What happens at some time.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    /// A process starts.
    Start(usize),
    /// It has read routes and targets.
    Synced(usize, u64),
    /// One of its periods begins.
    Period(usize, u64),
    /// Nobody has answered at that address.
    Unanswered(usize, u64, Endpoint),
    /// A heartbeat arrives.
    Arrives { from: usize, to: usize, message: Box<Message>, answers: bool },
    /// A target crashes while running the crashing request, which an entry sent to it.
    TargetCrashes { index: usize, run: u64, sent_at: Mono },
}

/// A heartbeat between entries.
#[derive(Debug, PartialEq, Eq)]
struct Message {
    beat: FleetHeartbeat,
    crash_reports: Vec<CrashReport>,
    digest: QuarantineDigest,
}

/// A request that crashes every target it runs on.
pub const CRASHING_REQUEST: RequestFingerprint = RequestFingerprint::new(7);
/// Time from sending the request to the crash of its target.
const CRASH_AFTER_MS: u64 = 90;

/// An entry VM; its process may run or not.
struct Vm {
    listed: ListedVm,
    /// The run of its process.
    run: u64,
    member: Option<FleetMember>,
    started_at: Mono,
    quarantine: Quarantine,
}

/// A send of the crashing request.
#[derive(Debug, Clone, Copy)]
pub struct CrashingSend {
    pub at: Mono,
    /// Uptime of the sending process.
    pub sender_uptime: Duration,
}

pub struct Model {
    vms: Vec<Vm>,
    by_endpoint: BTreeMap<Endpoint, usize>,
    seeds: Vec<Endpoint>,
    rng: StdRng,
    now: Mono,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Failure domains that are cut off from all others.
    pub cut: BTreeSet<FailureDomain>,
    /// Entries without processor time to spare, and by how much each of their steps is late at most.
    pub late_ms: BTreeMap<usize, u64>,
    /// Heartbeats sent, answers included.
    pub sent: usize,
    /// Those of them that crossed failure domains.
    pub crossed: usize,
    /// Pieces of news in them.
    pub news: usize,
    /// Crash reports in them.
    pub crash_reports: usize,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Sends of the crashing request.
    pub crashing_sends: Vec<CrashingSend>,
    /// Times of target crashes.
    pub crashes: Vec<Mono>,
}

impl Model {
    /// A fleet of `(count, strength)` in so many failure domains in turn; no process runs yet.
    pub fn new(seed: u64, domains: usize, strengths: &[(usize, u32)]) -> Self {
        let all = strengths.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
        let vms: Vec<Vm> =
            all.enumerate().map(|(number, capacity)| vm(number, domains, capacity)).collect();
        let by_endpoint =
            vms.iter().enumerate().map(|(index, vm)| (vm.listed.peers, index)).collect();
        let seeds = [20, 40, 60].map(|index| vms[index].listed.peers).to_vec();
        Self {
            vms,
            by_endpoint,
            seeds,
            rng: StdRng::seed_from_u64(seed),
            now: Mono::from_millis(10_000),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            cut: BTreeSet::new(),
            late_ms: BTreeMap::new(),
            sent: 0,
            crossed: 0,
            news: 0,
            crash_reports: 0,
            loss_rate: 0.0,
            crashing_sends: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Starts the processes that do not run.
    pub fn start_all(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].member.is_none() {
                let wait_ms = self.rng.random_range(0..START_MS);
                self.after(wait_ms, Event::Start(index));
            }
        }
    }

    /// Ends processes in silence.
    pub fn lose(&mut self, lost: impl Fn(usize, &ListedVm) -> bool) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if lost(index, &vm.listed) {
                vm.member = None;
            }
        }
    }

    pub fn run_for(&mut self, time_ms: u64) {
        let end = self.now.plus(Duration::from_millis(time_ms));
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|next| next.0.0 <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
        }
        self.now = end;
    }

    /// Runs until all entries that run name those whom full knowledge would name; how long it took in
    /// milliseconds, or `None` if it took longer than `most_ms`.
    pub fn converge(&mut self, most_ms: u64) -> Option<u64> {
        const STEP_MS: u64 = 50;
        (0..most_ms / STEP_MS)
            .find(|_| {
                self.run_for(STEP_MS);
                self.agrees()
            })
            .map(|steps| (steps + 1) * STEP_MS)
    }

    /// Names of those that are named by an entry.
    pub fn named_by(&mut self, index: usize) -> Option<Vec<VmId>> {
        let now = self.now;
        let member = self.vms[index].member.as_mut()?;
        Some(member.view(now).advertised.iter().map(|entry| entry.vm.clone()).collect())
    }

    /// Where an entry is in the model.
    pub fn index_of(&self, vm: &VmId) -> usize {
        self.vms.iter().position(|other| other.listed.vm == *vm).unwrap()
    }

    /// All entries of the failure domain of one.
    pub fn domain_of(&self, index: usize) -> Vec<usize> {
        let domain = &self.vms[index].listed.failure_domain;
        let here = |other: &usize| self.vms[*other].listed.failure_domain == *domain;
        (0..self.vms.len()).filter(here).collect()
    }

    /// An entry notices how late it is with its heartbeats.
    pub fn set_late_by(&mut self, index: usize, scheduling_delay: Duration) {
        self.change_own(index, |own| OwnState { scheduling_delay, ..own });
    }

    /// How often an entry has come to suspect others, sampled for so long.
    pub fn suspicions_by(&mut self, index: usize, time_ms: u64) -> usize {
        const STEP_MS: u64 = 20;
        let mut before = self.suspected_by(index);
        let mut count = 0;
        for _ in 0..time_ms / STEP_MS {
            self.run_for(STEP_MS);
            let suspected = self.suspected_by(index);
            count += suspected.difference(&before).count();
            before = suspected;
        }
        count
    }

    fn suspected_by(&mut self, index: usize) -> BTreeSet<VmId> {
        let now = self.now;
        let Some(member) = self.vms[index].member.as_mut() else { return BTreeSet::new() };
        let beliefs = member.view(now);
        let entries = beliefs.entries.values();
        let suspected = entries.filter(|entry| entry.state == EntryState::Suspected);
        suspected.map(|entry| entry.vm.clone()).collect()
    }

    /// An entry's work begins, or ends, to wait for its processor.
    pub fn set_behind(&mut self, index: usize, is_overloaded: bool) {
        self.change_own(index, |own| OwnState { is_overloaded, ..own });
    }

    fn change_own(&mut self, index: usize, change: impl FnOnce(OwnState) -> OwnState) {
        if let Some(member) = self.vms[index].member.as_mut() {
            member.set_own_state(change(member.own_state()));
        }
    }

    fn agrees(&mut self) -> bool {
        let expected = self.expected();
        (0..self.vms.len()).all(|index| self.named_by(index).is_none_or(|named| named == expected))
    }

    /// Whom full knowledge would name.
    pub fn expected(&self) -> Vec<VmId> {
        let running = self.vms.iter().filter(|vm| vm.member.is_some());
        let candidates = running.map(|vm| Candidate {
            vm: vm.listed.vm.clone(),
            failure_domain: vm.listed.failure_domain.clone(),
            capacity: vm.listed.capacity,
        });
        let order = fleet_order(candidates.collect());
        active_entries(TARGETS, &order).into_iter().map(|entry| entry.vm).collect()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Synced(index, run) => self.synced(index, run),
            Event::Period(index, run) => self.period(index, run),
            Event::Unanswered(index, run, endpoint) => {
                let now = self.now;
                if let Some(member) = self.running(index, run) {
                    member.record_unanswered_call(endpoint, now);
                }
            }
            Event::Arrives { from, to, message, answers } => {
                self.arrives(from, to, &message, answers);
            }
            Event::TargetCrashes { index, run, sent_at } => {
                self.target_crashes(index, run, sent_at);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.run += 1;
        let run = vm.run;
        let own = Announcement {
            listed: vm.listed.clone(),
            incarnation: Incarnation::new(run * 10_000 + index as u64),
            round: 0,
        };
        vm.member = Some(FleetMember::new(own, self.now));
        vm.started_at = self.now;
        vm.quarantine = Quarantine::new(QuarantineConfig::default());
        let own = vm.listed.peers;
        let seed = choose_initial_seed(&self.seeds, own, &mut self.rng);
        seed.into_iter().for_each(|seed| self.call(index, seed));
        self.after(SYNC_MS, Event::Synced(index, run));
        self.after_period(index, run);
    }

    fn synced(&mut self, index: usize, run: u64) {
        if let Some(member) = self.running(index, run) {
            let own = member.own_state();
            member.set_own_state(OwnState { is_synced: true, target_count: TARGETS, ..own });
        }
    }

    fn period(&mut self, index: usize, run: u64) {
        let (now, seeds) = (self.now, self.seeds.clone());
        let vm = &mut self.vms[index];
        let Some(member) = vm.member.as_mut().filter(|_| vm.run == run) else { return };
        let called = member.start_period(&seeds, &mut self.rng, now);
        let is_reader = member.should_read(now);
        let own = member.own_state();
        member.set_own_state(OwnState { is_reader, ..own });
        called.into_iter().for_each(|endpoint| self.call(index, endpoint));
        self.after_period(index, run);
    }

    fn call(&mut self, from: usize, endpoint: Endpoint) {
        let Some(to) = self.by_endpoint.get(&endpoint).copied() else { return };
        if self.vms[to].member.is_none() || !self.say(from, to, true, None) {
            let run = self.vms[from].run;
            self.after(TIMEOUT_MS, Event::Unanswered(from, run, endpoint));
        }
    }

    fn arrives(&mut self, from: usize, to: usize, message: &Message, answers: bool) {
        let now = self.now;
        let vm = &mut self.vms[to];
        let Some(member) = vm.member.as_mut() else { return };
        member.receive_heartbeat(&message.beat, now);
        for report in &message.crash_reports {
            vm.quarantine.merge(report, now);
        }
        if answers && self.vms[from].member.is_some() {
            self.say(to, from, false, Some(message.digest));
        }
    }

    /// Submits the crashing request to an entry on behalf of a caller.
    pub fn submit_crashing_request(&mut self, index: usize) {
        self.try_send_crashing_request(index, SendKind::First);
    }

    fn try_send_crashing_request(&mut self, index: usize, kind: SendKind) {
        let vm = &mut self.vms[index];
        if vm.member.is_none() {
            return;
        }
        let admission = vm.quarantine.admit(CRASHING_REQUEST, kind, self.now);
        if !matches!(admission, Admission::Clear | Admission::Suspected) {
            return;
        }
        vm.quarantine.begin_run(CRASHING_REQUEST);
        let (run, sender_uptime) = (vm.run, self.now.since(vm.started_at));
        self.crashing_sends.push(CrashingSend { at: self.now, sender_uptime });
        self.after(CRASH_AFTER_MS, Event::TargetCrashes { index, run, sent_at: self.now });
    }

    fn target_crashes(&mut self, index: usize, run: u64, sent_at: Mono) {
        self.crashes.push(self.now);
        let vm = &mut self.vms[index];
        if vm.member.is_none() || vm.run != run {
            return;
        }
        vm.quarantine.end_run(CRASHING_REQUEST);
        vm.quarantine.record_crash(CRASHING_REQUEST, sent_at, self.now);
        self.try_send_crashing_request(index, SendKind::Retry);
    }

    /// Returns the number of running entries that do not quarantine the crashing request.
    pub fn entries_without_quarantine(&self) -> usize {
        let running = self.vms.iter().filter(|vm| vm.member.is_some());
        let without_quarantine = running.filter(|vm| {
            let admission = vm.quarantine.admit(CRASHING_REQUEST, SendKind::First, self.now);
            !matches!(admission, Admission::Quarantined { .. })
        });
        without_quarantine.count()
    }

    /// Whether it gets through.
    fn say(
        &mut self,
        from: usize,
        to: usize,
        answers: bool,
        peer_digest: Option<QuarantineDigest>,
    ) -> bool {
        let places = [from, to].map(|index| &self.vms[index].listed.failure_domain);
        let crosses = places[0] != places[1];
        if crosses && places.iter().any(|place| self.cut.contains(place)) {
            return false;
        }
        let (vm, now) = (self.vms[to].listed.vm.clone(), self.now);
        let sender = &mut self.vms[from];
        let Some(member) = sender.member.as_mut() else { return false };
        let message = Box::new(Message {
            beat: member.heartbeat_for(&vm, now),
            crash_reports: sender.quarantine.reports(peer_digest, now),
            digest: sender.quarantine.digest(now),
        });
        self.sent += 1;
        self.crossed += usize::from(crosses);
        self.news += message.beat.updates.len();
        self.crash_reports += message.crash_reports.len();
        if self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate) {
            return false;
        }
        let way_ms = self.rng.random_range(WAY_MS) + self.lateness_ms(to);
        self.after(way_ms, Event::Arrives { from, to, message, answers });
        true
    }

    fn running(&mut self, index: usize, run: u64) -> Option<&mut FleetMember> {
        let vm = &mut self.vms[index];
        vm.member.as_mut().filter(|_| vm.run == run)
    }

    fn after_period(&mut self, index: usize, run: u64) {
        let period_ms = HEARTBEAT_PERIOD.as_millis() as u64;
        let jitter_ms = self.rng.random_range(0..period_ms / 10);
        let wait_ms = period_ms + jitter_ms + self.lateness_ms(index);
        self.after(wait_ms, Event::Period(index, run));
    }

    fn lateness_ms(&mut self, index: usize) -> u64 {
        match self.late_ms.get(&index) {
            Some(most_ms) => self.rng.random_range(0..*most_ms),
            None => 0,
        }
    }

    fn after(&mut self, wait_ms: u64, event: Event) {
        let at = self.now.plus(Duration::from_millis(wait_ms));
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }
}

fn vm(number: usize, domains: usize, capacity: u32) -> Vm {
    let address = format!("10.{}.{}.{}", number % domains, number / 250, number % 250);
    let listed = ListedVm {
        vm: VmId::new(&format!("vm-{number:04}")).unwrap(),
        failure_domain: FailureDomain::new(&format!("hall-{}", number % domains)).unwrap(),
        callers: format!("{address}:80").parse().unwrap(),
        peers: format!("{address}:81").parse().unwrap(),
        leaving: false,
        capacity: PerSecond::new(capacity),
    };
    let quarantine = Quarantine::new(QuarantineConfig::default());
    Vm { listed, run: 0, member: None, started_at: Mono::ZERO, quarantine }
}
