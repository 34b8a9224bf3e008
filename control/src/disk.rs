//! Content of the data folder.
//!
//! State, entries and heads of snapshots are encoded with `postcard` after one byte for the version of
//! the format. `postcard` takes bytes one by one, so the state of a snapshot follows its head as it is.

use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{WrapErr, bail, ensure};
use primrosepin_core::consensus::{Entry, HardState, Id, Snapshot};
use primrosepin_store::{Error, Recovered, Settings, Store};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the format on the disk.
const FORMAT: u8 = 2;

/// Prefix of folders that keep damaged files.
const DAMAGED: &str = "damaged-";

/// An opened data folder.
#[derive(Debug)]
pub(crate) struct Disk {
    pub(crate) store: Store,
    pub(crate) durable: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
    /// Whether the replica had data that was damaged, so that it must not found a deployment.
    pub(crate) damaged: bool,
}

/// Encodes a value.
pub(crate) fn encode<T>(value: &T) -> eyre::Result<Vec<u8>>
where
    T: Serialize,
{
    Ok(postcard::to_extend(value, vec![FORMAT])?)
}

/// Decodes a value.
pub(crate) fn decode<T>(bytes: &[u8]) -> eyre::Result<T>
where
    T: DeserializeOwned,
{
    match bytes.split_first() {
        Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((format, _)) => bail!("format {format} is not known, expected {FORMAT}"),
        None => bail!("empty value"),
    }
}

/// Encodes a snapshot: the length of its head, the head, then the state as it is.
pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> eyre::Result<Vec<u8>> {
    let head = encode(&(snapshot.index, snapshot.term, &snapshot.members))?;
    let mut bytes = (head.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&snapshot.state);
    Ok(bytes)
}

/// Decodes a snapshot.
fn decode_snapshot(bytes: &[u8]) -> eyre::Result<Snapshot> {
    let split = bytes
        .split_first_chunk::<4>()
        .and_then(|(length, rest)| rest.split_at_checked(u32::from_le_bytes(*length) as usize));
    let Some((head, state)) = split else {
        bail!("the snapshot is too short");
    };
    let (index, term, members) = decode(head)?;
    Ok(Snapshot {
        index,
        term,
        members,
        state: state.into(),
    })
}

impl Disk {
    /// Opens the data folder. Damaged files are set aside if other replicas have the data; the replica
    /// then joins under a new id.
    pub(crate) fn open(folder: &Path, replicas: usize) -> eyre::Result<Self> {
        match Self::read(folder) {
            Err(error) if is_damage(&error) && replicas > 1 => {
                log::error!("{error}; the replica joins again without data");
                set_aside(folder)?;
                Self::read(folder)
            }
            result => result,
        }
    }

    fn read(folder: &Path) -> eyre::Result<Self> {
        let (mut store, recovered) = Store::open(&Settings::new(folder.to_owned()))?;
        let Recovered {
            hard_state,
            snapshot,
            entries,
            truncated_bytes,
        } = recovered;
        if truncated_bytes > 0 {
            log::warn!("a torn write of {truncated_bytes} bytes at the end of the log was cut off");
        }
        let snapshot = snapshot.map(|snapshot| decode_snapshot(&snapshot.body));
        let entries = entries.iter().map(|(_, body)| decode::<Entry>(body));
        let durable = if let Some(state) = hard_state.filter(|state| !state.is_empty()) {
            decode(&state)?
        } else {
            let durable = HardState {
                id: Id(rand::random::<u64>() | 1),
                ..HardState::default()
            };
            store.append(Some(&encode(&durable)?), [])?;
            durable
        };
        let disk = Self {
            store,
            durable,
            snapshot: snapshot.transpose()?,
            entries: entries.collect::<eyre::Result<_>>()?,
            damaged: has_damaged(folder)?,
        };
        if disk.durable.initialized && disk.snapshot.is_none() {
            return Err(Error::Corrupt {
                path: folder.to_owned(),
                offset: 0,
                reason: "the snapshot is missing",
            }
            .into());
        }
        ensure!(
            disk.durable.initialized || disk.snapshot.is_none(),
            "{} has a snapshot but no identity",
            folder.display()
        );
        Ok(disk)
    }
}

fn is_damage(error: &eyre::Report) -> bool {
    matches!(error.downcast_ref::<Error>(), Some(Error::Corrupt { .. }))
}

fn has_damaged(folder: &Path) -> eyre::Result<bool> {
    for entry in fs::read_dir(folder)? {
        if entry?.file_name().to_string_lossy().starts_with(DAMAGED) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Sets the data of a replica that was replaced aside, so that it joins again without.
pub(crate) fn retire(folder: &Path) -> eyre::Result<()> {
    set_aside(folder)
}

/// Moves all files into a folder of their own, for analysis. The folder comes first: while it exists the
/// replica founds no deployment.
fn set_aside(folder: &Path) -> eyre::Result<()> {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let damaged = folder.join(format!("{DAMAGED}{at_ms}"));
    fs::create_dir(&damaged).wrap_err_with(|| format!("cannot create {}", damaged.display()))?;
    fs::File::open(folder)?.sync_all()?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_file() && entry.file_name() != "lock" {
            fs::rename(entry.path(), damaged.join(entry.file_name()))?;
        }
    }
    fs::File::open(folder)?.sync_all()?;
    Ok(())
}
