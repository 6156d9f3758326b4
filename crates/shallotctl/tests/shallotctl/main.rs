//! Runs `shallotctl` as an operator would.

mod offline;
mod online;
mod support;
