//! Errors of the store.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Error of the store.
#[derive(Debug)]
pub enum Error {
    /// A file operation failed.
    Io {
        /// Operation, as a verb for the message "cannot ACTION PATH".
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Data that had been synced is damaged or missing.
    Corrupt {
        /// File or folder.
        path: PathBuf,
        /// Byte offset in the file; zero if a whole file is damaged or missing.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// Another process has the store open.
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// An earlier write failed; the store must be opened again.
    Failed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                action,
                path,
                source,
            } => write!(f, "cannot {action} {}: {source}", path.display()),
            Self::Corrupt {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{} is damaged at byte {offset}: {reason}",
                path.display()
            ),
            Self::Locked { path } => {
                write!(f, "{} is locked by another process", path.display())
            }
            Self::Failed => write!(f, "an earlier write to the store failed"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            Self::Corrupt { .. } | Self::Locked { .. } | Self::Failed => None,
        }
    }
}
