//! A simulated fleet of processes that send to the same targets and whose views of the sharing
//! processes differ.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallotfork_balance::{Admission, Assignment, Sharer, SlotPool};
use shallotfork_types::Permille;

use super::support::{answered, at, request_at};

/// Share of the rate of cold targets that processes use when they see the whole fleet.
pub const FULL_SHARE: Permille = Permille::new(1000);

const STEP_MS: u64 = 10;
/// Upper bound of the delay after which a process learns of a fleet change.
const VIEW_DELAY_MAX_MS: u64 = 1_000;

pub struct Process {
    pub name: String,
    pub pool: SlotPool,
    running: Vec<(u64, Assignment)>,
    /// A fleet change that this process has not learned of yet: the time when it does, and the new
    /// sharers.
    pub pending_view: Option<(u64, Vec<String>)>,
}

pub struct Fleet {
    pub processes: Vec<Process>,
    /// Names of the processes advertised to callers.
    pub sharers: Vec<String>,
    pub rng: StdRng,
    /// Sent requests: the time in milliseconds and the target.
    pub sends: Vec<(u64, String)>,
    service_time_ms: u64,
}

impl Fleet {
    /// Creates `count` processes, each with its own pool; the first `sharers` of them are
    /// advertised to callers.
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
            pool.set_sharers(named(&sharers), FULL_SHARE, at(0));
            Process { name: name.clone(), pool, running: Vec::new(), pending_view: None }
        };
        let processes = names.iter().map(process).collect();
        let (rng, sends) = (StdRng::seed_from_u64(seed), Vec::new());
        Self { processes, sharers, rng, sends, service_time_ms }
    }

    /// Replaces one of the sharers by another process.
    fn replace_sharer(&mut self, now_ms: u64) {
        let others: Vec<&Process> =
            self.processes.iter().filter(|p| !self.sharers.contains(&p.name)).collect();
        if others.is_empty() {
            return;
        }
        let new = others[self.rng.random_range(0..others.len())].name.clone();
        let place = self.rng.random_range(0..self.sharers.len());
        self.sharers[place] = new;
        self.schedule_view_updates(now_ms);
    }

    /// Schedules each process to learn the current sharers after its own random delay.
    pub fn schedule_view_updates(&mut self, now_ms: u64) {
        for process in &mut self.processes {
            let update_at_ms = now_ms + self.rng.random_range(0..VIEW_DELAY_MAX_MS);
            process.pending_view = Some((update_at_ms, self.sharers.clone()));
        }
    }

    /// Sends one request from each process whose pool admits it.
    fn step(&mut self, now_ms: u64) {
        for process in &mut self.processes {
            let view = process.pending_view.take_if(|(update_at_ms, _)| *update_at_ms <= now_ms);
            if let Some((_, view)) = view {
                process.pool.set_sharers(named(&view), FULL_SHARE, at(now_ms));
            }
            let ended = process.running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms);
            for (_, assignment) in ended {
                process.pool.finish(assignment.attempt, answered(), None, at(now_ms));
            }
            if let Admission::Send(assignment) = process.pool.admit(request_at(now_ms), at(now_ms))
            {
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

    /// Returns the maximum number of requests to any target within a window that begins at
    /// `from_ms` or later.
    pub fn max_sends_in_window(&self, from_ms: u64, window_ms: u64) -> usize {
        let window_starts = self.sends.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        let in_window = |(begin_ms, target): &(u64, String)| {
            let window = *begin_ms..*begin_ms + window_ms;
            let in_target =
                self.sends.iter().filter(|(at_ms, to)| window.contains(at_ms) && to == target);
            in_target.count()
        };
        window_starts.map(in_window).max().unwrap_or(0)
    }
}

fn named(names: &[String]) -> Vec<Sharer> {
    names.iter().map(|name| Sharer::new(name)).collect()
}
