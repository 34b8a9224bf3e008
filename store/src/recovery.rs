//! Recovery of a store's content.

use std::collections::BTreeMap;
use std::fs;

use crate::folder::{Folder, at, remove};
use crate::record::Record;
use crate::{Error, Snapshot, snapshot};

/// Content of a store when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last state record.
    pub hard_state: Option<Vec<u8>>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, with ascending indices and no gap.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Length of the torn tail that was cut off, bytes.
    pub truncated_bytes: u64,
}

/// What the store goes on with.
#[derive(Debug, Default)]
pub(crate) struct Position {
    /// Highest entry index in each segment.
    pub(crate) segments: BTreeMap<u64, u64>,
    /// Valid content of the last segment.
    pub(crate) last: Vec<u8>,
}

/// Reads all files. Writes nothing but removes files that no longer count.
pub(crate) fn recover(folder: &Folder) -> Result<(Recovered, Position), Error> {
    let (segments, snapshots) = folder.list()?;
    let mut recovered = Recovered::default();
    let mut position = Position::default();
    let missing = |reason| Error::Corrupt {
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
    } else if segments.is_empty() {
        return Ok((recovered, position));
    }
    let base = recovered
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let (before, segments): (Vec<_>, Vec<_>) = segments
        .into_iter()
        .partition(|number| *number < first_segment);
    for number in before {
        remove(&folder.segment(number))?;
    }
    let expected = (first_segment..).zip(&segments);
    if segments.is_empty() || expected.into_iter().any(|(number, found)| number != *found) {
        return Err(missing("a segment of the log is missing"));
    }
    let last = segments.last().copied();
    for number in segments {
        let path = folder.segment(number);
        let bytes = fs::read(&path).map_err(at("read", &path))?;
        let mut offset = 0;
        let mut highest = 0;
        while let Some(found) = Record::decode(number, &bytes[offset..]) {
            match found.record {
                Record::State(state) => recovered.hard_state = Some(state.to_vec()),
                Record::Entry(index, body) => {
                    highest = highest.max(index);
                    push(&mut recovered.entries, base, index, body).map_err(|reason| {
                        Error::Corrupt {
                            path: path.clone(),
                            offset: offset as u64,
                            reason,
                        }
                    })?;
                }
            }
            offset += found.bytes;
        }
        if offset < bytes.len() {
            let synced_later = Record::proves_synced(number, &bytes[offset..], offset as u64);
            if Some(number) != last || synced_later {
                return Err(Error::Corrupt {
                    path,
                    offset: offset as u64,
                    reason: "a synced record is not valid",
                });
            }
            recovered.truncated_bytes = (bytes.len() - offset) as u64;
        }
        position.segments.insert(number, highest);
        if Some(number) == last {
            position.last = bytes;
            position.last.truncate(offset);
        }
    }
    Ok((recovered, position))
}

/// Adds an entry; one with an index that exists replaces that entry and all after it.
fn push(
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
