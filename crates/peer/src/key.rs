//! The key that all processes of one system share, and the proofs of knowing it.

use std::error::Error;
use std::fmt;

use hmac::digest::KeyInit;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::PeerId;

/// Shorter keys are refused, as a key file cut short or left empty would be guessable.
pub const KEY_BYTES_MIN: usize = 16;

/// Length of the random part of a handshake.
pub(crate) const NONCE_BYTES: usize = 32;

/// A key, as read from the operators' key file.
#[derive(Clone)]
pub struct PeerKey(Hmac<Sha256>);

impl PeerKey {
    /// Takes the bytes of a key file, without white space at the end.
    ///
    /// # Errors
    /// When fewer than [`KEY_BYTES_MIN`] bytes are left.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let bytes = bytes.trim_ascii_end();
        if bytes.len() < KEY_BYTES_MIN {
            return Err(KeyError);
        }
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(bytes).map_err(|_| KeyError)?;
        Ok(Self(mac))
    }

    fn mac(&self, side: Side, talk: &Handshake) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(side.label());
        for part in [&talk.client_nonce, &talk.server_nonce] {
            mac.update(part);
        }
        for id in [&talk.client, &talk.server] {
            mac.update(&id.incarnation.value().to_be_bytes());
            mac.update(&(id.vm.as_str().len() as u64).to_be_bytes());
            mac.update(id.vm.as_str().as_bytes());
        }
        mac
    }

    pub(crate) fn proof(&self, side: Side, talk: &Handshake) -> Vec<u8> {
        self.mac(side, talk).finalize().into_bytes().to_vec()
    }

    /// Compares in constant time.
    pub(crate) fn verifies(&self, side: Side, talk: &Handshake, proof: &[u8]) -> bool {
        self.mac(side, talk).verify_slice(proof).is_ok()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// When a key file is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a peer key needs at least {KEY_BYTES_MIN} bytes")
    }
}

impl Error for KeyError {}

/// Who makes a proof. The two sides' proofs differ, so that one cannot be sent back as the other.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Side {
    Client,
    Server,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"shallotfork peer client",
            Self::Server => b"shallotfork peer server",
        }
    }
}

/// What both proofs of one connection cover.
#[derive(Debug)]
pub(crate) struct Handshake {
    pub(crate) client: PeerId,
    pub(crate) server: PeerId,
    pub(crate) client_nonce: [u8; NONCE_BYTES],
    pub(crate) server_nonce: [u8; NONCE_BYTES],
}

pub(crate) fn draw_nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}
