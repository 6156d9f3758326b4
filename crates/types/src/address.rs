//! Network addresses of processes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// IP address and port. Host names are not accepted, because machines are reached by IP address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Endpoint(SocketAddr);

impl Endpoint {
    /// Creates an endpoint from a socket address.
    pub fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// Returns the socket address.
    pub fn address(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Endpoint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let address = text.parse().map_err(|_| ParseError::new("an IP address and port", text))?;
        Ok(Self(address))
    }
}
