//! The store of a replica.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;

use crate::folder::{Folder, at, remove};
use crate::record::Record;
use crate::recovery::{Recovered, recover};
use crate::{Error, snapshot};

/// Settings of a store.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Folder of the store.
    pub folder: PathBuf,
    /// Length after which a new segment is started, bytes.
    pub segment_bytes: u64,
}

impl Settings {
    /// Creates settings with segments of 4 MiB, which take a few milliseconds to copy at recovery.
    pub fn new(folder: PathBuf) -> Self {
        Self {
            folder,
            segment_bytes: 4 * 1024 * 1024,
        }
    }
}

/// The store of a replica.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    segment_bytes: u64,
    file: File,
    path: PathBuf,
    number: u64,
    length: u64,
    state: Vec<u8>,
    /// Highest entry index in each segment.
    segments: BTreeMap<u64, u64>,
    failed: bool,
}

impl Store {
    /// Opens a store and returns its content.
    pub fn open(settings: &Settings) -> Result<(Self, Recovered), Error> {
        let folder = Folder::open(&settings.folder)?;
        let (recovered, mut position) = recover(&folder)?;
        let number = position.segments.last_key_value().map_or(1, |(n, _)| *n);
        position.segments.entry(number).or_insert(0);
        let path = folder.segment(number);
        folder.write(&path, &[&position.last])?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(at("open", &path))?;
        let store = Self {
            folder,
            segment_bytes: settings.segment_bytes,
            file,
            path,
            number,
            length: position.last.len() as u64,
            state: recovered.hard_state.clone().unwrap_or_default(),
            segments: position.segments,
            failed: false,
        };
        Ok((store, recovered))
    }

    /// Appends a state record, if given, and entries, and syncs them. An entry with an index that exists
    /// replaces that entry and all after it.
    pub fn append<'e, I>(&mut self, state: Option<&[u8]>, entries: I) -> Result<(), Error>
    where
        I: IntoIterator<Item = (u64, &'e [u8])>,
    {
        self.guarded(|store| {
            if store.length >= store.segment_bytes {
                store.roll()?;
            }
            let mut bytes = Vec::new();
            if let Some(state) = state {
                Record::State(state).encode(store.number, store.length, &mut bytes);
                state.clone_into(&mut store.state);
            }
            for (index, body) in entries {
                Record::Entry(index, body).encode(store.number, store.length, &mut bytes);
                let highest = store.segments.entry(store.number).or_default();
                *highest = index.max(*highest);
            }
            store.write(&bytes)
        })
    }

    /// Saves a snapshot of the state machine at `index` and drops segments without later entries.
    pub fn save_snapshot(&mut self, index: u64, body: &[u8]) -> Result<(), Error> {
        self.guarded(|store| {
            store.roll()?;
            let first = store
                .segments
                .iter()
                .find(|(_, highest)| **highest > index)
                .map_or(store.number, |(number, _)| *number);
            store.replace(index, first, body)
        })
    }

    /// Replaces the whole content by a snapshot and a state record.
    pub fn install_snapshot(&mut self, state: &[u8], index: u64, body: &[u8]) -> Result<(), Error> {
        self.guarded(|store| {
            state.clone_into(&mut store.state);
            store.roll()?;
            store.replace(index, store.number, body)
        })
    }

    /// Runs a write, and refuses all later ones if it fails.
    fn guarded<F>(&mut self, write: F) -> Result<(), Error>
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

    fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.file
            .write_all(bytes)
            .map_err(at("write", &self.path))?;
        self.file.sync_data().map_err(at("sync", &self.path))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment with the current state record.
    fn roll(&mut self) -> Result<(), Error> {
        self.number += 1;
        self.path = self.folder.segment(self.number);
        self.file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.path)
            .map_err(at("create", &self.path))?;
        self.length = 0;
        self.segments.insert(self.number, 0);
        let mut bytes = Vec::new();
        Record::State(&self.state).encode(self.number, 0, &mut bytes);
        self.write(&bytes)?;
        self.folder.sync()
    }

    /// Writes a snapshot, then drops what it replaces.
    fn replace(&mut self, index: u64, first_segment: u64, body: &[u8]) -> Result<(), Error> {
        let header = snapshot::header(index, first_segment, body);
        let path = self.folder.snapshot(self.number);
        self.folder.write(&path, &[&header, body])?;
        let (_, snapshots) = self.folder.list()?;
        for number in snapshots {
            if number < self.number {
                remove(&self.folder.snapshot(number))?;
            }
        }
        while let Some((number, _)) = self.segments.first_key_value()
            && *number < first_segment
        {
            remove(&self.folder.segment(*number))?;
            self.segments.pop_first();
        }
        Ok(())
    }
}
