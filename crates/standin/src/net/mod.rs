//! Acceptor and connections with injectable faults.

mod acceptor;
mod connection;
mod faults;

pub use acceptor::{ConnectionCost, FaultyAcceptor};
pub use connection::FaultyConnection;
pub use faults::{ConnectionCounts, ConnectionFaults, ConnectionState};
