//! Compression of large items for transfer between entries.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use shallotfork_types::{Bytes, Position};

use crate::check::PullError;
use crate::feed::RawItem;

/// Contents smaller than this many bytes are not packed individually.
pub const PACK_MIN_BYTES: usize = 4 * 1024;
/// Maximum size of an unpacked content; several times the largest value that any platform stores under
/// one key.
const UNPACKED_SIZE_MAX: Bytes = Bytes::from_mib(8);

/// Packs the contents of items and caches the result, so that each version is packed only once for all
/// entries that pull it.
#[derive(Debug, Default)]
pub struct Packer {
    by_key: BTreeMap<String, Packed>,
}

#[derive(Debug)]
struct Packed {
    position: Position,
    content: Vec<u8>,
}

impl Packer {
    /// Creates a packer with an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the packed content; `None` if the item is small or removed, or if packing does not make
    /// it smaller.
    pub fn pack(&mut self, item: &RawItem) -> Option<&[u8]> {
        let content = item.content.as_deref().filter(|content| content.len() >= PACK_MIN_BYTES);
        let Some(content) = content else {
            self.by_key.remove(&item.key);
            return None;
        };
        let is_packed = self.by_key.get(&item.key).is_some_and(|it| it.position == item.position);
        if !is_packed {
            let packed = Packed { position: item.position, content: deflate(content) };
            self.by_key.insert(item.key.clone(), packed);
        }
        let packed = &self.by_key[&item.key].content;
        (packed.len() < content.len()).then_some(packed)
    }
}

/// Packs one content; `None` if it is small or packing does not make it smaller.
pub fn pack(content: &[u8]) -> Option<Vec<u8>> {
    let packed = (content.len() >= PACK_MIN_BYTES).then(|| deflate(content))?;
    (packed.len() < content.len()).then_some(packed)
}

/// Unpacks a content packed by [`Packer::pack`] or [`pack`].
///
/// # Errors
/// Returns an error if the data does not unpack to exactly `size` bytes, or if `size` exceeds the
/// maximum.
pub fn unpack(packed: &[u8], size: Bytes) -> Result<Vec<u8>, PullError> {
    if size > UNPACKED_SIZE_MAX {
        return Err(PullError::BadPacked(size));
    }
    let mut content = Vec::new();
    // Reads one byte more than `size`, so that a longer content is detected.
    let mut decoder = DeflateDecoder::new(packed).take(size.value() + 1);
    let read = decoder.read_to_end(&mut content);
    if read.is_err() || content.len() as u64 != size.value() {
        return Err(PullError::BadPacked(size));
    }
    Ok(content)
}

fn deflate(content: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(content).and_then(|()| encoder.finish());
    written.expect("writing to memory does not fail")
}
