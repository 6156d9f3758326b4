//! Harness.
