//! Sessions: namespaces for the idempotency keys of a caller.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use shallotfork_types::{Incarnation, Mono, ParseError, VmId};

use crate::Secret;
use crate::secret::TAG_BYTES;

/// Longer texts are rejected before they are parsed.
const MAX_TEXT_BYTES: usize = 256;

/// Separates the fields of a session; no field can contain this character.
const SEPARATOR: char = '~';

const EXPECTED: &str = "a session as given by /v1/entries";

/// Namespace for the operations of a caller, signed by its issuer and valid until it expires.
///
/// Its text form is the value of the header `Shallotfork-Session`. Parsing checks only the format; the
/// signature can be verified by the issuer and by holders of its sealed ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    issuer: VmId,
    incarnation: Incarnation,
    serial: u64,
    issued_at: Mono,
    lifetime: Duration,
    tag: [u8; TAG_BYTES],
}

impl Session {
    /// Creates and signs a session. `issued_at` is on the issuer's own clock.
    pub(crate) fn new(
        issuer: &VmId,
        incarnation: Incarnation,
        serial: u64,
        issued_at: Mono,
        lifetime: Duration,
        secret: &Secret,
    ) -> Self {
        let mut session = Self {
            issuer: issuer.clone(),
            incarnation,
            serial,
            issued_at,
            lifetime: whole_millis(lifetime),
            tag: [0; TAG_BYTES],
        };
        session.tag = secret.tag(&session.signed_text());
        session
    }

    /// Returns the VM that issued the session.
    pub fn issuer(&self) -> &VmId {
        &self.issuer
    }

    /// Returns the incarnation of the issuing process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of the session within its incarnation, counted from 1.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the time from issue to expiry.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns the end of the session on the issuer's clock; not comparable with any other clock.
    pub(crate) fn ends_at(&self) -> Mono {
        self.issued_at.plus(self.lifetime)
    }

    pub(crate) fn is_signed_by(&self, secret: &Secret) -> bool {
        secret.verifies(&self.signed_text(), &self.tag)
    }

    fn signed_text(&self) -> String {
        format!(
            "1{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}",
            self.issuer,
            self.incarnation,
            self.serial,
            self.issued_at.as_micros(),
            self.lifetime.as_millis(),
        )
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.signed_text(), URL_SAFE_NO_PAD.encode(self.tag))
    }
}

impl FromStr for Session {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new(EXPECTED, text);
        if text.len() > MAX_TEXT_BYTES {
            return Err(error());
        }
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let ["1", issuer, incarnation, serial, issued_at, lifetime, tag] = fields[..] else {
            return Err(error());
        };
        let session = Self {
            issuer: issuer.parse()?,
            incarnation: incarnation.parse()?,
            serial: serial.parse().map_err(|_| error())?,
            issued_at: Mono::from_micros(issued_at.parse().map_err(|_| error())?),
            lifetime: Duration::from_millis(lifetime.parse().map_err(|_| error())?),
            tag: parse_tag(tag).ok_or_else(error)?,
        };
        if session.to_string() != text {
            return Err(error());
        }
        Ok(session)
    }
}

fn parse_tag(text: &str) -> Option<[u8; TAG_BYTES]> {
    let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
    bytes.try_into().ok()
}

/// Truncates a lifetime to whole milliseconds, the resolution of the text form.
fn whole_millis(lifetime: Duration) -> Duration {
    Duration::from_millis(u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX))
}
