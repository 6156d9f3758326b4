//! The key shared by all processes of a fleet, and the proofs of possessing it.

use std::error::Error;
use std::fmt;

use hmac::digest::KeyInit;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::PeerId;

/// Minimum length of a key; a truncated or empty key file would give a guessable key.
pub const KEY_BYTES_MIN: usize = 16;

/// Length of the nonce that each side contributes to a handshake.
pub(crate) const NONCE_BYTES: usize = 32;

/// Shared key, as read from the operators' key file.
#[derive(Clone)]
pub struct PeerKey(Hmac<Sha256>);

impl PeerKey {
    /// Creates a key from the bytes of a key file, ignoring trailing white space.
    ///
    /// # Errors
    /// Returns [`KeyError`] if fewer than [`KEY_BYTES_MIN`] bytes remain.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        let bytes = bytes.trim_ascii_end();
        if bytes.len() < KEY_BYTES_MIN {
            return Err(KeyError);
        }
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(bytes).map_err(|_| KeyError)?;
        Ok(Self(mac))
    }

    fn mac(&self, side: Side, transcript: &HandshakeTranscript) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(side.label());
        for part in [&transcript.client_nonce, &transcript.server_nonce] {
            mac.update(part);
        }
        for id in [&transcript.client, &transcript.server] {
            mac.update(&id.incarnation.value().to_be_bytes());
            mac.update(&(id.vm.as_str().len() as u64).to_be_bytes());
            mac.update(id.vm.as_str().as_bytes());
        }
        mac
    }

    pub(crate) fn proof(&self, side: Side, transcript: &HandshakeTranscript) -> Vec<u8> {
        self.mac(side, transcript).finalize().into_bytes().to_vec()
    }

    /// Checks a proof in constant time.
    pub(crate) fn is_valid_proof(
        &self,
        side: Side,
        transcript: &HandshakeTranscript,
        proof: &[u8],
    ) -> bool {
        self.mac(side, transcript).verify_slice(proof).is_ok()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Error for a key that is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer key must have at least {KEY_BYTES_MIN} bytes")
    }
}

impl Error for KeyError {}

/// Side of a connection that creates a proof. Proofs of the two sides differ, so a proof cannot be
/// reflected to the side that sent it.
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

/// Handshake data of one connection that the proofs of both sides authenticate.
#[derive(Debug)]
pub(crate) struct HandshakeTranscript {
    pub(crate) client: PeerId,
    pub(crate) server: PeerId,
    pub(crate) client_nonce: [u8; NONCE_BYTES],
    pub(crate) server_nonce: [u8; NONCE_BYTES],
}

pub(crate) fn generate_nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}
