//! Not built yet.
