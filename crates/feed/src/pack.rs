//! Compressed contents of large items, for the way to other entries.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use shallotfork_types::{Bytes, Revision};

use crate::check::PullError;
use crate::feed::RawItem;

/// Smaller contents are not packed one by one.
pub const PACK_MIN_BYTES: usize = 4 * 1024;
/// The largest content that is unpacked; several times what any platform holds under one key.
const UNPACKED_MAX: Bytes = Bytes::from_mib(8);

/// Packs contents, each once for all entries that ask for it.
#[derive(Debug, Default)]
pub struct Packer {
    by_key: BTreeMap<String, Packed>,
}

#[derive(Debug)]
struct Packed {
    revision: Revision,
    content: Vec<u8>,
}

impl Packer {
    /// Nothing is packed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The packed content; `None` if the item is small, removed, or gets no smaller.
    pub fn pack(&mut self, item: &RawItem) -> Option<&[u8]> {
        let content = item.content.as_deref().filter(|content| content.len() >= PACK_MIN_BYTES);
        let Some(content) = content else {
            self.by_key.remove(&item.key);
            return None;
        };
        let is_packed = self.by_key.get(&item.key).is_some_and(|it| it.revision == item.revision);
        if !is_packed {
            let packed = Packed { revision: item.revision, content: deflate(content) };
            self.by_key.insert(item.key.clone(), packed);
        }
        let packed = &self.by_key[&item.key].content;
        (packed.len() < content.len()).then_some(packed)
    }
}

/// Packs one content; `None` if it is small or gets no smaller.
pub fn pack(content: &[u8]) -> Option<Vec<u8>> {
    let packed = (content.len() >= PACK_MIN_BYTES).then(|| deflate(content))?;
    (packed.len() < content.len()).then_some(packed)
}

/// Undoes [`Packer::pack`] and [`pack`].
///
/// # Errors
/// When the content is not a packed one of that size, or the size is larger than any content.
pub fn unpack(packed: &[u8], size: Bytes) -> Result<Vec<u8>, PullError> {
    if size > UNPACKED_MAX {
        return Err(PullError::BadPacked(size));
    }
    let mut content = Vec::new();
    // One byte more than allowed, so that a longer content shows.
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
