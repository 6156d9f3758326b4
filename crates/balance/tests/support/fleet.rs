//! A fleet of processes that send to the same targets and differ on who shares them.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_balance::{Admission, Assignment, SlotPool};
use shallotfork_types::Permille;

use super::support::{answered, ask, at};

/// Said by processes that see the whole fleet.
pub const WHOLE: Permille = Permille::new(1000);

const STEP_MS: u64 = 10;
/// Upper bound of the delay after which a process learns of a fleet change.
const VIEW_DELAY_MAX_MS: u64 = 1_000;

pub struct Process {
    pub name: String,
    pub pool: SlotPool,
    running: Vec<(u64, Assignment)>,
    /// A fleet change that this process has not learned of yet: when it does, and the new sharers.
    pub pending_view: Option<(u64, Vec<String>)>,
}

pub struct Fleet {
    pub processes: Vec<Process>,
    /// Names of the processes that callers are sent to.
    pub sharers: Vec<String>,
    pub rng: StdRng,
    /// When requests were sent, in milliseconds, and the targets that they were sent to.
    pub sends: Vec<(u64, String)>,
    service_time_ms: u64,
}

impl Fleet {
    /// `count` processes, of which callers are sent to the first `sharers`, each with a pool of its
    /// own.
    pub fn new(
        seed: u64,
        count: usize,
        sharers: usize,
        service_time_ms: u64,
        pool: impl Fn(&str) -> SlotPool,
    ) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("vm-{number}")).collect();
        let sharers = names[..sharers].to_vec();
        let process = |name: &String| {
            let mut pool = pool(name);
            pool.set_sharers(sharers.clone(), WHOLE, at(0));
            Process { name: name.clone(), pool, running: Vec::new(), pending_view: None }
        };
        let processes = names.iter().map(process).collect();
        let (rng, sends) = (StdRng::seed_from_u64(seed), Vec::new());
        Self { processes, sharers, rng, sends, service_time_ms }
    }

    /// Replaces one of the sharers by another process. Each process learns of it after its own
    /// random delay.
    fn replace_sharer(&mut self, now_ms: u64) {
        let others: Vec<&Process> =
            self.processes.iter().filter(|p| !self.sharers.contains(&p.name)).collect();
        if others.is_empty() {
            return;
        }
        let new = others[self.rng.random_range(0..others.len())].name.clone();
        let place = self.rng.random_range(0..self.sharers.len());
        self.sharers[place] = new;
        self.tell_sharers(now_ms);
    }

    /// Has each process learn who the sharers are after its own random delay.
    pub fn tell_sharers(&mut self, now_ms: u64) {
        for process in &mut self.processes {
            let learned_ms = now_ms + self.rng.random_range(0..VIEW_DELAY_MAX_MS);
            process.pending_view = Some((learned_ms, self.sharers.clone()));
        }
    }

    /// Has every process send as much as its pool admits.
    fn step(&mut self, now_ms: u64) {
        for process in &mut self.processes {
            let view = process.pending_view.take_if(|(learned_ms, _)| *learned_ms <= now_ms);
            if let Some((_, view)) = view {
                process.pool.set_sharers(view, WHOLE, at(now_ms));
            }
            let ended = process.running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms);
            for (_, assignment) in ended {
                process.pool.finish(assignment.attempt, answered(), None, at(now_ms));
            }
            if let Admission::Send(assignment) = process.pool.admit(ask(now_ms), at(now_ms)) {
                process.pool.mark_sent(assignment.attempt, at(now_ms));
                self.sends.push((now_ms, assignment.target.to_string()));
                process.running.push((now_ms + self.service_time_ms, assignment));
            }
        }
    }

    pub fn run(&mut self, simulated_ms: u64, replace_every_ms: u64) {
        for now_ms in (0..simulated_ms).step_by(STEP_MS as usize) {
            if now_ms > 0 && now_ms.is_multiple_of(replace_every_ms) {
                self.replace_sharer(now_ms);
            }
            self.step(now_ms);
        }
    }

    /// The most requests that any target got within a window that begins at `from_ms` or later.
    pub fn max_sends_in_window(&self, from_ms: u64, window_ms: u64) -> usize {
        let begins = self.sends.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        let in_window = |(begin_ms, target): &(u64, String)| {
            let window = *begin_ms..*begin_ms + window_ms;
            let there =
                self.sends.iter().filter(|(at_ms, to)| window.contains(at_ms) && to == target);
            there.count()
        };
        begins.map(in_window).max().unwrap_or(0)
    }
}
