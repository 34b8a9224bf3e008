//! Writes to a store.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use crate::folder::{Folder, io_error, remove};
use crate::record::Record;
use crate::recovery::{Recovered, recover};
use crate::{Error, snapshot};

/// Settings of a store.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Folder of the store.
    pub folder: PathBuf,
    /// Length of a segment after which the next append starts a new one, bytes.
    pub segment_bytes: u64,
}

impl Settings {
    /// Creates settings with segments of 4 MiB, which are copied within a few milliseconds at recovery.
    pub fn new(folder: PathBuf) -> Self {
        Self {
            folder,
            segment_bytes: 4 * 1024 * 1024,
        }
    }
}

/// An open store. After a failed write it refuses all others.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    segment_bytes: u64,
    /// The last segment.
    file: File,
    path: PathBuf,
    number: u64,
    /// Synced length of the last segment, bytes.
    length: u64,
    /// Current hard state, which starts each segment.
    hard_state: Vec<u8>,
    /// Highest entry index in each segment.
    highest_indices: BTreeMap<u64, u64>,
    failed: bool,
}

impl Store {
    /// Opens a store and recovers its content; creates an empty one if there is none.
    pub fn open(settings: &Settings) -> Result<(Self, Recovered), Error> {
        let folder = Folder::open(&settings.folder)?;
        let (recovered, mut segments) = recover(&folder)?;
        let number = segments
            .highest_indices
            .last_key_value()
            .map_or(1, |(n, _)| *n);
        segments.highest_indices.entry(number).or_insert(0);
        let path = folder.segment(number);
        folder.write_atomically(&path, &[&segments.last_content])?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error("open", &path))?;
        let store = Self {
            folder,
            segment_bytes: settings.segment_bytes,
            file,
            path,
            number,
            length: segments.last_content.len() as u64,
            hard_state: recovered.hard_state.clone().unwrap_or_default(),
            highest_indices: segments.highest_indices,
            failed: false,
        };
        Ok((store, recovered))
    }

    /// Appends the hard state, if given, and entries, and syncs them. An entry with an existing index
    /// replaces that entry and all after it.
    pub fn append<'e, I>(&mut self, hard_state: Option<&[u8]>, entries: I) -> Result<(), Error>
    where
        I: IntoIterator<Item = (u64, &'e [u8])>,
    {
        self.run_write(|store| {
            if store.length >= store.segment_bytes {
                store.start_segment()?;
            }
            let mut bytes = Vec::new();
            if let Some(hard_state) = hard_state {
                Record::HardState(hard_state).encode(store.number, store.length, &mut bytes);
                hard_state.clone_into(&mut store.hard_state);
            }
            for (index, body) in entries {
                Record::Entry(index, body).encode(store.number, store.length, &mut bytes);
                let highest = store.highest_indices.entry(store.number).or_default();
                *highest = index.max(*highest);
            }
            store.write(&bytes)
        })
    }

    /// Writes a snapshot of the state machine at `index`. Deletes all segments before the first one that
    /// contains an entry after `index`.
    pub fn save_snapshot(&mut self, index: u64, body: &[u8]) -> Result<(), Error> {
        self.run_write(|store| {
            store.start_segment()?;
            let first = store
                .highest_indices
                .iter()
                .find(|(_, highest)| **highest > index)
                .map_or(store.number, |(number, _)| *number);
            store.write_snapshot(index, first, body)
        })
    }

    /// Replaces the whole content by a hard state and a snapshot.
    pub fn install_snapshot(
        &mut self,
        hard_state: &[u8],
        index: u64,
        body: &[u8],
    ) -> Result<(), Error> {
        self.run_write(|store| {
            hard_state.clone_into(&mut store.hard_state);
            store.start_segment()?;
            store.write_snapshot(index, store.number, body)
        })
    }

    /// Runs a write. If it fails, all later ones are refused.
    fn run_write<F>(&mut self, write: F) -> Result<(), Error>
    where
        F: FnOnce(&mut Self) -> Result<(), Error>,
    {
        if self.failed {
            return Err(Error::Failed);
        }
        self.failed = true;
        write(self)?;
        self.failed = false;
        Ok(())
    }

    /// Appends bytes to the last segment and syncs it.
    fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.file
            .write_all(bytes)
            .map_err(io_error("write", &self.path))?;
        self.file
            .sync_data()
            .map_err(io_error("sync", &self.path))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment with the current hard state.
    fn start_segment(&mut self) -> Result<(), Error> {
        self.number += 1;
        self.path = self.folder.segment(self.number);
        self.file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.path)
            .map_err(io_error("create", &self.path))?;
        self.length = 0;
        self.highest_indices.insert(self.number, 0);
        let mut bytes = Vec::new();
        Record::HardState(&self.hard_state).encode(self.number, 0, &mut bytes);
        self.write(&bytes)?;
        self.folder.sync()
    }

    /// Writes a snapshot, then deletes older snapshots and the segments before `first_segment`.
    fn write_snapshot(&mut self, index: u64, first_segment: u64, body: &[u8]) -> Result<(), Error> {
        let header = snapshot::header(index, first_segment, body);
        let path = self.folder.snapshot(self.number);
        self.folder.write_atomically(&path, &[&header, body])?;
        let (_, snapshots) = self.folder.list()?;
        for number in snapshots {
            if number < self.number {
                remove(&self.folder.snapshot(number))?;
            }
        }
        while let Some((number, _)) = self.highest_indices.first_key_value()
            && *number < first_segment
        {
            remove(&self.folder.segment(*number))?;
            self.highest_indices.pop_first();
        }
        Ok(())
    }
}
