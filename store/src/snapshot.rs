//! Encoding of snapshot files.

use std::fs;
use std::path::Path;

use crate::Error;
use crate::folder::io_error;

const MAGIC: [u8; 8] = *b"PPSNAP\0\x01";

/// Length of the header: magic number, index, first segment, checksum.
const HEADER_BYTES: usize = 28;

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last log entry that the snapshot covers.
    pub index: u64,
    /// Encoded snapshot.
    pub body: Vec<u8>,
}

fn checksum(index: [u8; 8], first_segment: [u8; 8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&index);
    hasher.update(&first_segment);
    hasher.update(body);
    hasher.finalize()
}

/// Returns the header of a snapshot file.
pub(crate) fn header(index: u64, first_segment: u64, body: &[u8]) -> Vec<u8> {
    let index = index.to_le_bytes();
    let first_segment = first_segment.to_le_bytes();
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&index);
    header.extend_from_slice(&first_segment);
    header.extend_from_slice(&checksum(index, first_segment, body).to_le_bytes());
    header
}

/// Reads a snapshot file; returns the snapshot and the number of the first segment to replay after it.
pub(crate) fn read(path: &Path) -> Result<(Snapshot, u64), Error> {
    let mut bytes = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |reason| Error::Corrupt {
        path: path.to_owned(),
        offset: 0,
        reason,
    };
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>().copied() else {
        return Err(corrupt("the snapshot is shorter than its header"));
    };
    if header[..8] != MAGIC {
        return Err(corrupt("not a snapshot of this format"));
    }
    let field = |from: usize| -> [u8; 8] {
        let mut field = [0; 8];
        field.copy_from_slice(&header[from..from + 8]);
        field
    };
    let (index, first_segment) = (field(8), field(16));
    bytes.drain(..HEADER_BYTES);
    let sum = [header[24], header[25], header[26], header[27]];
    if checksum(index, first_segment, &bytes) != u32::from_le_bytes(sum) {
        return Err(corrupt("the snapshot's checksum differs"));
    }
    let snapshot = Snapshot {
        index: u64::from_le_bytes(index),
        body: bytes,
    };
    Ok((snapshot, u64::from_le_bytes(first_segment)))
}
