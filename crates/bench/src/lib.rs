//! Processor time and memory of processes, shared by the measurement programs.
//!
//! The programs are the examples of this crate; `docs/measurements.md` describes how to run them.

mod process;

pub use process::{control_thread_cpu_time, cpu_time, resident_memory};
