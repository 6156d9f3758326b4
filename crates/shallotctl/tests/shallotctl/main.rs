//! End-to-end tests of the `shallotctl` command line.

mod offline;
mod online;
mod support;
