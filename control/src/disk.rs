//! Encoding and recovery of a replica's data folder.
//!
//! Hard state, entries and headers of snapshots are one byte for the format version and a `postcard`
//! encoding. `postcard` copies byte arrays one byte at a time, so the state of a snapshot follows its
//! header unencoded.

use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{WrapErr, bail, ensure};
use primrosepin_core::consensus::{Entry, HardState, Id, Snapshot};
use primrosepin_core::registry::State;
use primrosepin_store::{Error, Recovered, Settings, Store};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the format on disk.
const FORMAT_VERSION: u8 = 2;

/// Prefix of the names of subfolders that hold files that were set aside.
const DAMAGED_PREFIX: &str = "damaged-";

/// Number of subfolders with files that were set aside that are kept. A replica that is replaced again and again
/// must not fill its disk.
const MAX_SET_ASIDE: usize = 4;

/// An opened data folder with its decoded content.
#[derive(Debug)]
pub(crate) struct Disk {
    pub(crate) store: Store,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
    /// Whether the replica had data that was set aside. It must then not bootstrap a new deployment.
    pub(crate) damaged: bool,
}

/// Encodes a value with the format version.
pub(crate) fn encode<T>(value: &T) -> eyre::Result<Vec<u8>>
where
    T: Serialize,
{
    Ok(postcard::to_extend(value, vec![FORMAT_VERSION])?)
}

/// Decodes a value; fails if it has another format version.
pub(crate) fn decode<T>(bytes: &[u8]) -> eyre::Result<T>
where
    T: DeserializeOwned,
{
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((version, _)) => bail!("unknown format version {version}; expected {FORMAT_VERSION}"),
        None => bail!("empty value"),
    }
}

/// Decodes the state machine of a snapshot, also of one that an earlier version wrote.
pub(crate) fn decode_state(bytes: &[u8]) -> eyre::Result<State> {
    decode(bytes).or_else(|error: eyre::Report| {
        let extended = [bytes, &State::EARLIER_END].concat();
        decode(&extended).map_err(|_error| error)
    })
}

/// Encodes a snapshot: the length of the header, the header, then the state unencoded.
pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> eyre::Result<Vec<u8>> {
    let header = encode(&(snapshot.index, snapshot.term, &snapshot.members))?;
    let mut bytes = (header.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&header);
    bytes.extend_from_slice(&snapshot.state);
    Ok(bytes)
}

/// Decodes a snapshot.
fn decode_snapshot(bytes: &[u8]) -> eyre::Result<Snapshot> {
    let split = bytes
        .split_first_chunk::<4>()
        .and_then(|(length, rest)| rest.split_at_checked(u32::from_le_bytes(*length) as usize));
    let Some((header, state)) = split else {
        bail!("the snapshot is shorter than its header");
    };
    let (index, term, members) = decode(header)?;
    Ok(Snapshot {
        index,
        term,
        members,
        state: state.into(),
    })
}

impl Disk {
    /// Opens the data folder. If it is damaged and there are other replicas, which have a copy of the
    /// data, the files are set aside, and the replica joins under a new id.
    pub(crate) fn open(folder: &Path, replicas: usize) -> eyre::Result<Self> {
        match Self::read(folder) {
            Err(error) if is_corruption(&error) && replicas > 1 => {
                log::error!("{error}; the data is set aside and restored from the other replicas");
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
            log::warn!(
                "truncated an incomplete write of {truncated_bytes} bytes at the end of the log"
            );
        }
        let snapshot = snapshot.map(|snapshot| decode_snapshot(&snapshot.body));
        let entries = entries.iter().map(|(_, body)| decode::<Entry>(body));
        let hard_state = if let Some(bytes) = hard_state.filter(|bytes| !bytes.is_empty()) {
            decode(&bytes)?
        } else {
            let hard_state = HardState {
                id: Id(rand::random::<u64>() | 1),
                ..HardState::default()
            };
            store.append(Some(&encode(&hard_state)?), [])?;
            hard_state
        };
        let disk = Self {
            store,
            hard_state,
            snapshot: snapshot.transpose()?,
            entries: entries.collect::<eyre::Result<_>>()?,
            damaged: has_damaged_folder(folder)?,
        };
        if disk.hard_state.initialized && disk.snapshot.is_none() {
            return Err(Error::Corrupt {
                path: folder.to_owned(),
                offset: 0,
                reason: "the snapshot is missing",
            }
            .into());
        }
        ensure!(
            disk.hard_state.initialized || disk.snapshot.is_none(),
            "{} has a snapshot but no initialised hard state",
            folder.display()
        );
        Ok(disk)
    }
}

fn is_corruption(error: &eyre::Report) -> bool {
    matches!(error.downcast_ref::<Error>(), Some(Error::Corrupt { .. }))
}

fn has_damaged_folder(folder: &Path) -> eyre::Result<bool> {
    for entry in fs::read_dir(folder)? {
        if entry?
            .file_name()
            .to_string_lossy()
            .starts_with(DAMAGED_PREFIX)
        {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Sets aside all data of a replica that was replaced, so that it joins again without data.
pub(crate) fn reset(folder: &Path) -> eyre::Result<()> {
    set_aside(folder)
}

/// Moves all files into a new subfolder, for analysis. The subfolder is synced before the first file is
/// moved, since its existence keeps the replica from bootstrapping a new deployment.
fn set_aside(folder: &Path) -> eyre::Result<()> {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let subfolder = folder.join(format!("{DAMAGED_PREFIX}{at_ms}"));
    fs::create_dir(&subfolder)
        .wrap_err_with(|| format!("cannot create {}", subfolder.display()))?;
    fs::File::open(folder)?.sync_all()?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_file() && entry.file_name() != "lock" {
            fs::rename(entry.path(), subfolder.join(entry.file_name()))?;
        }
    }
    fs::File::open(folder)?.sync_all()?;
    remove_old_subfolders(folder)
}

/// Removes all but the latest subfolders with files that were set aside.
fn remove_old_subfolders(folder: &Path) -> eyre::Result<()> {
    let mut subfolders = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let at_ms = name.strip_prefix(DAMAGED_PREFIX).map(str::parse::<u128>);
        if let Some(Ok(at_ms)) = at_ms {
            subfolders.push((at_ms, entry.path()));
        }
    }
    subfolders.sort_unstable();
    let excess = subfolders.len().saturating_sub(MAX_SET_ASIDE);
    for (_, path) in &subfolders[..excess] {
        fs::remove_dir_all(path).wrap_err_with(|| format!("cannot remove {}", path.display()))?;
    }
    Ok(())
}
