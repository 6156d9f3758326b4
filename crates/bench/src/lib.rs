//! What the measuring programs share: the kernel's account of a process.
//!
//! The programs themselves are this crate's examples; `docs/measurements.md` says how to run them.

mod process;

pub use process::{control_thread_cpu_time, cpu_time, resident_memory};
