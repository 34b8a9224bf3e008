//! Synced log, snapshots and recovery
