//! Files of a store's folder.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::Error;

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_NAME: &str = "temporary";

/// The locked folder of a store.
#[derive(Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    /// Keeps the folder locked until the store is dropped.
    _lock: File,
}

/// Returns a function that converts an I/O error to [`Error::Io`] with an action and a path.
pub(crate) fn io_error<'p>(
    action: &'static str,
    path: &'p Path,
) -> impl FnOnce(io::Error) -> Error + use<'p> {
    move |source| Error::Io {
        action,
        path: path.to_owned(),
        source,
    }
}

impl Folder {
    /// Opens and locks the folder; creates it if it does not exist.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        if let Some(parent) = path.parent().filter(|parent| parent.exists()) {
            sync_folder(parent)?;
        }
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(io_error("open", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::Locked { path: lock_path }),
            Err(TryLockError::Error(source)) => return Err(io_error("lock", &lock_path)(source)),
        }
        Ok(Self {
            path: path.to_owned(),
            _lock: lock,
        })
    }

    /// Returns the folder's path.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of a segment.
    pub(crate) fn segment(&self, number: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT_PREFIX}{number:016x}"))
    }

    /// Returns the path of a snapshot.
    pub(crate) fn snapshot(&self, number: u64) -> PathBuf {
        self.path.join(format!("{SNAPSHOT_PREFIX}{number:016x}"))
    }

    /// Returns the numbers of all segments and of all snapshots, each ascending.
    pub(crate) fn list(&self) -> Result<(Vec<u64>, Vec<u64>), Error> {
        let mut segments = Vec::new();
        let mut snapshots = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(io_error("list", &self.path))? {
            let entry = entry.map_err(io_error("list", &self.path))?;
            let kind = entry.file_type().map_err(io_error("list", &self.path))?;
            let name = entry.file_name();
            let Some(name) = name.to_str().filter(|_| kind.is_file()) else {
                continue;
            };
            let number = |prefix| u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok();
            if let Some(number) = number(SEGMENT_PREFIX) {
                segments.push(number);
            } else if let Some(number) = number(SNAPSHOT_PREFIX) {
                snapshots.push(number);
            }
        }
        segments.sort_unstable();
        snapshots.sort_unstable();
        Ok((segments, snapshots))
    }

    /// Writes a file atomically: writes and syncs it under a temporary name, then renames it.
    pub(crate) fn write_atomically(&self, path: &Path, parts: &[&[u8]]) -> Result<(), Error> {
        let temporary = self.path.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary).map_err(io_error("create", &temporary))?;
        for part in parts {
            file.write_all(part)
                .map_err(io_error("write", &temporary))?;
        }
        file.sync_all().map_err(io_error("sync", &temporary))?;
        fs::rename(&temporary, path).map_err(io_error("rename to", path))?;
        self.sync()
    }

    /// Syncs the folder, which makes created, renamed and removed names durable.
    pub(crate) fn sync(&self) -> Result<(), Error> {
        sync_folder(&self.path)
    }
}

/// Removes a file if it exists. The folder is not synced, so the file may reappear after a crash.
pub(crate) fn remove(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(io_error("remove", path)(error))
        }
        _ => Ok(()),
    }
}

fn sync_folder(path: &Path) -> Result<(), Error> {
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .map_err(io_error("sync", path))
}
