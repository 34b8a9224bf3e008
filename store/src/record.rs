//! Encoding of the records of a segment.

use crc32fast::Hasher;

/// Start of each record, by which recovery finds records after a damaged one.
const MAGIC: [u8; 4] = [0xf1, b'p', b'r', 0x9e];

/// Length of the header: magic number, length of the content, checksum, synced length.
const HEADER_BYTES: usize = 20;

/// Largest content (kind and body), bytes. A header with a larger length is invalid.
const MAX_CONTENT_BYTES: usize = 64 * 1024 * 1024;

const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;

/// A record of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Record<'b> {
    /// The replica's hard state.
    HardState(&'b [u8]),
    /// Index and body of a log entry.
    Entry(u64, &'b [u8]),
}

/// A record that was decoded and is valid.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Decoded<'b> {
    pub(crate) record: Record<'b>,
    /// Length of the segment that was synced when the record was written, bytes.
    pub(crate) synced: u64,
    /// Length of the record with its header, bytes.
    pub(crate) length: usize,
}

fn checksum(segment: u64, synced: [u8; 8], content: &[&[u8]]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&synced);
    for part in content {
        hasher.update(part);
    }
    hasher.finalize()
}

impl<'b> Record<'b> {
    /// Appends the encoded record. `synced` is the length of the segment that is synced so far, bytes.
    pub(crate) fn encode(self, segment: u64, synced: u64, buffer: &mut Vec<u8>) {
        let index;
        let (kind, index, body): (u8, &[u8], &[u8]) = match self {
            Self::HardState(body) => (KIND_HARD_STATE, &[], body),
            Self::Entry(number, body) => {
                index = number.to_le_bytes();
                (KIND_ENTRY, &index, body)
            }
        };
        let synced = synced.to_le_bytes();
        let length = (1 + index.len() + body.len()) as u32;
        buffer.extend_from_slice(&MAGIC);
        buffer.extend_from_slice(&length.to_le_bytes());
        let sum = checksum(segment, synced, &[&[kind], index, body]);
        buffer.extend_from_slice(&sum.to_le_bytes());
        buffer.extend_from_slice(&synced);
        buffer.push(kind);
        buffer.extend_from_slice(index);
        buffer.extend_from_slice(body);
    }

    /// Decodes the record at the start of `bytes`; none if it is incomplete or invalid.
    pub(crate) fn decode(segment: u64, bytes: &'b [u8]) -> Option<Decoded<'b>> {
        let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        if header[..4] != MAGIC {
            return None;
        }
        let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
        let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
        let synced: [u8; 8] = header[12..20].try_into().ok()?;
        if length > MAX_CONTENT_BYTES {
            return None;
        }
        let content = rest.get(..length)?;
        if checksum(segment, synced, &[content]) != sum {
            return None;
        }
        let (kind, body) = content.split_first()?;
        let record = match *kind {
            KIND_HARD_STATE => Self::HardState(body),
            KIND_ENTRY => {
                let (index, body) = body.split_first_chunk::<8>()?;
                Self::Entry(u64::from_le_bytes(*index), body)
            }
            _ => return None,
        };
        Some(Decoded {
            record,
            synced: u64::from_le_bytes(synced),
            length: HEADER_BYTES + length,
        })
    }

    /// Returns whether a valid record in `bytes`, at any offset, was written when more than the first
    /// `length` bytes of the segment were synced.
    pub(crate) fn proves_synced(segment: u64, bytes: &[u8], length: u64) -> bool {
        bytes
            .windows(MAGIC.len())
            .enumerate()
            .filter(|(_, window)| **window == MAGIC)
            .filter_map(|(offset, _)| Record::decode(segment, &bytes[offset..]))
            .any(|decoded| decoded.synced > length)
    }
}
