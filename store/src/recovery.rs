//! Recovery of a store's content from its files.

use std::collections::BTreeMap;
use std::fs;

use crate::folder::{Folder, io_error, remove};
use crate::record::Record;
use crate::{Error, Snapshot, snapshot};

/// Content that was recovered when a store was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last hard state that was written.
    pub hard_state: Option<Vec<u8>>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Index and body of the entries after the snapshot; the indices are consecutive.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Length of the incomplete write at the end of the log that was truncated, bytes.
    pub truncated_bytes: u64,
}

/// Segments of the log, from which the store continues to write.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    /// Highest entry index in each segment.
    pub(crate) highest_indices: BTreeMap<u64, u64>,
    /// Valid content of the last segment.
    pub(crate) last_content: Vec<u8>,
}

/// Recovers the content from all files. Removes obsolete files and otherwise writes nothing.
pub(crate) fn recover(folder: &Folder) -> Result<(Recovered, Segments), Error> {
    let (numbers, snapshots) = folder.list()?;
    let mut recovered = Recovered::default();
    let mut segments = Segments::default();
    let corrupt = |reason| Error::Corrupt {
        path: folder.path().to_owned(),
        offset: 0,
        reason,
    };
    let mut first_segment = 1;
    if let Some(number) = snapshots.last() {
        let (snapshot, first) = snapshot::read(&folder.snapshot(*number))?;
        recovered.snapshot = Some(snapshot);
        first_segment = first;
        for number in &snapshots[..snapshots.len() - 1] {
            remove(&folder.snapshot(*number))?;
        }
    } else if numbers.is_empty() {
        return Ok((recovered, segments));
    }
    let base = recovered
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let (obsolete, numbers): (Vec<_>, Vec<_>) = numbers
        .into_iter()
        .partition(|number| *number < first_segment);
    for number in obsolete {
        remove(&folder.segment(number))?;
    }
    let expected = (first_segment..).zip(&numbers);
    if numbers.is_empty() || expected.into_iter().any(|(number, found)| number != *found) {
        return Err(corrupt("a segment of the log is missing"));
    }
    let last = numbers.last().copied();
    for number in numbers {
        let path = folder.segment(number);
        let bytes = fs::read(&path).map_err(io_error("read", &path))?;
        let mut offset = 0;
        let mut highest = 0;
        while let Some(decoded) = Record::decode(number, &bytes[offset..]) {
            match decoded.record {
                Record::HardState(state) => recovered.hard_state = Some(state.to_vec()),
                Record::Entry(index, body) => {
                    highest = highest.max(index);
                    push_entry(&mut recovered.entries, base, index, body).map_err(|reason| {
                        Error::Corrupt {
                            path: path.clone(),
                            offset: offset as u64,
                            reason,
                        }
                    })?;
                }
            }
            offset += decoded.length;
        }
        if offset < bytes.len() {
            let was_synced = Record::proves_synced(number, &bytes[offset..], offset as u64);
            if Some(number) != last || was_synced {
                return Err(Error::Corrupt {
                    path,
                    offset: offset as u64,
                    reason: "a synced record is not valid",
                });
            }
            recovered.truncated_bytes = (bytes.len() - offset) as u64;
        }
        segments.highest_indices.insert(number, highest);
        if Some(number) == last {
            segments.last_content = bytes;
            segments.last_content.truncate(offset);
        }
    }
    Ok((recovered, segments))
}

/// Adds an entry. An entry with an existing index replaces that entry and all after it. Entries up to
/// `base`, the index of the snapshot, are skipped.
fn push_entry(
    entries: &mut Vec<(u64, Vec<u8>)>,
    base: u64,
    index: u64,
    body: &[u8],
) -> Result<(), &'static str> {
    while entries.last().is_some_and(|(last, _)| *last >= index) {
        entries.pop();
    }
    if index <= base {
        return Ok(());
    }
    let next = entries.last().map_or(base, |(last, _)| *last) + 1;
    if index != next {
        return Err("an entry of the log is missing");
    }
    entries.push((index, body.to_vec()));
    Ok(())
}
