//! Records of a segment.

use crc32fast::Hasher;

/// Marks the start of a record, so that records after a damaged one can be found.
const MAGIC: [u8; 4] = [0xf1, b'p', b'r', 0x9e];

/// Magic number, length of kind and body, checksum, synced length.
const HEADER_BYTES: usize = 20;

/// Largest body, bytes. A larger length in a header is damage.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

const KIND_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;

/// Content of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Record<'b> {
    /// The replica's state.
    State(&'b [u8]),
    /// An entry of the log with its index.
    Entry(u64, &'b [u8]),
}

/// A valid record at the start of some bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Found<'b> {
    pub(crate) record: Record<'b>,
    /// Length of the segment that was synced when the record was written.
    pub(crate) synced: u64,
    /// Length of the whole record.
    pub(crate) bytes: usize,
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
    /// Appends the record's bytes.
    pub(crate) fn encode(self, segment: u64, synced: u64, to: &mut Vec<u8>) {
        let index;
        let (kind, index, body): (u8, &[u8], &[u8]) = match self {
            Self::State(body) => (KIND_STATE, &[], body),
            Self::Entry(number, body) => {
                index = number.to_le_bytes();
                (KIND_ENTRY, &index, body)
            }
        };
        let synced = synced.to_le_bytes();
        let length = (1 + index.len() + body.len()) as u32;
        to.extend_from_slice(&MAGIC);
        to.extend_from_slice(&length.to_le_bytes());
        let sum = checksum(segment, synced, &[&[kind], index, body]);
        to.extend_from_slice(&sum.to_le_bytes());
        to.extend_from_slice(&synced);
        to.push(kind);
        to.extend_from_slice(index);
        to.extend_from_slice(body);
    }

    /// Reads the record at the start of `bytes`; none if it is not whole and valid.
    pub(crate) fn decode(segment: u64, bytes: &'b [u8]) -> Option<Found<'b>> {
        let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        if header[..4] != MAGIC {
            return None;
        }
        let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
        let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
        let synced: [u8; 8] = header[12..20].try_into().ok()?;
        if length > MAX_BODY_BYTES {
            return None;
        }
        let content = rest.get(..length)?;
        if checksum(segment, synced, &[content]) != sum {
            return None;
        }
        let (kind, body) = content.split_first()?;
        let record = match *kind {
            KIND_STATE => Self::State(body),
            KIND_ENTRY => {
                let (index, body) = body.split_first_chunk::<8>()?;
                Self::Entry(u64::from_le_bytes(*index), body)
            }
            _ => return None,
        };
        Some(Found {
            record,
            synced: u64::from_le_bytes(synced),
            bytes: HEADER_BYTES + length,
        })
    }

    /// Returns whether a valid record in `bytes` says that the first `length` bytes were synced.
    pub(crate) fn proves_synced(segment: u64, bytes: &[u8], length: u64) -> bool {
        bytes
            .windows(MAGIC.len())
            .enumerate()
            .filter(|(_, window)| **window == MAGIC)
            .filter_map(|(offset, _)| Record::decode(segment, &bytes[offset..]))
            .any(|found| found.synced > length)
    }
}
