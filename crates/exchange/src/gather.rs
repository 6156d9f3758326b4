//! Collects the pieces of a body within its limits.

use bytes::{Bytes, BytesMut};

use crate::body_budget::BodyPermit;

/// Why a piece of a body was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GatherError {
    TooLarge,
    BudgetFull,
}

/// A body in the making.
///
/// The common body of one piece is kept as it came, without a copy.
#[derive(Debug)]
pub(crate) struct Gather {
    limit_bytes: u64,
    permit: BodyPermit,
    pieces: Pieces,
}

#[derive(Debug)]
enum Pieces {
    None,
    One(Bytes),
    Many(BytesMut),
}

impl Gather {
    pub(crate) fn new(limit_bytes: u64, permit: BodyPermit) -> Self {
        Self { limit_bytes, permit, pieces: Pieces::None }
    }

    fn size_bytes(&self) -> u64 {
        let size = match &self.pieces {
            Pieces::None => 0,
            Pieces::One(piece) => piece.len(),
            Pieces::Many(joined) => joined.len(),
        };
        size as u64
    }

    pub(crate) fn push(&mut self, piece: Bytes) -> Result<(), GatherError> {
        let piece_bytes = piece.len() as u64;
        if self.size_bytes() + piece_bytes > self.limit_bytes {
            return Err(GatherError::TooLarge);
        }
        if !self.permit.grow(piece_bytes) {
            return Err(GatherError::BudgetFull);
        }
        self.pieces = match std::mem::replace(&mut self.pieces, Pieces::None) {
            Pieces::None => Pieces::One(piece),
            Pieces::One(first) => join(first, &piece),
            Pieces::Many(mut joined) => {
                joined.extend_from_slice(&piece);
                Pieces::Many(joined)
            }
        };
        Ok(())
    }

    /// The body; its share of the budget is given back when the last clone is dropped.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = match self.pieces {
            Pieces::None => return Bytes::new(),
            Pieces::One(piece) => piece,
            Pieces::Many(joined) => joined.freeze(),
        };
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _permit: self.permit })
    }
}

fn join(first: Bytes, second: &Bytes) -> Pieces {
    let mut joined = BytesMut::with_capacity(2 * (first.len() + second.len()));
    joined.extend_from_slice(&first);
    joined.extend_from_slice(second);
    Pieces::Many(joined)
}

struct Held {
    bytes: Bytes,
    _permit: BodyPermit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
