//! Tests of recovery after crashes, damage and full disks.

use std::fs::{self, OpenOptions};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use primrosepin_store::{Error, Recovered, Settings, Snapshot, Store};
use tempfile::{TempDir, tempdir};

fn settings(folder: &Path) -> Settings {
    Settings {
        folder: folder.to_owned(),
        segment_bytes: 300,
    }
}

fn open(folder: &Path) -> (Store, Recovered) {
    Store::open(&settings(folder)).unwrap()
}

fn body(index: u64) -> Vec<u8> {
    // Contains the magic number of a record, to check that recovery does not take it for the start of
    // one.
    [&[0xf1, b'p', b'r', 0x9e], &index.to_le_bytes()[..]].concat()
}

fn append(store: &mut Store, indices: impl IntoIterator<Item = u64>) {
    let entries: Vec<_> = indices.into_iter().map(|i| (i, body(i))).collect();
    let entries = entries.iter().map(|(index, body)| (*index, &body[..]));
    store.append(None, entries).unwrap();
}

fn indices(recovered: &Recovered) -> Vec<u64> {
    let entries = recovered.entries.iter();
    entries.map(|(index, _)| *index).collect()
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let matches = |path: &PathBuf| {
        let name = path.file_name().unwrap().to_str().unwrap();
        name.starts_with(prefix)
    };
    let mut files: Vec<_> = entries.filter(matches).collect();
    files.sort();
    files
}

/// Copies a store's folder, so that a test can damage it in many ways.
fn copy_folder(from: &Path) -> TempDir {
    let to = tempdir().unwrap();
    for file in files(from, "") {
        fs::copy(&file, to.path().join(file.file_name().unwrap())).unwrap();
    }
    to
}

/// Guards against entries, hard state or snapshots that are synced and not recovered.
#[test]
fn synced_content_is_recovered() {
    let folder = tempdir().unwrap();
    let (mut store, recovered) = open(folder.path());
    assert_eq!(recovered, Recovered::default());
    store.append(Some(b"state"), []).unwrap();
    for index in 1..=20 {
        append(&mut store, [index]);
    }
    store.save_snapshot(12, b"snapshot").unwrap();
    // Entry 18 is replaced, with all after it.
    append(&mut store, [18]);
    drop(store);
    let (_, recovered) = open(folder.path());
    assert_eq!(recovered.hard_state.as_deref(), Some(&b"state"[..]));
    let snapshot = Snapshot {
        index: 12,
        body: b"snapshot".to_vec(),
    };
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(indices(&recovered), (13..=18).collect::<Vec<_>>());
    assert_eq!(recovered.entries[0].1, body(13));
}

/// Guards against old entries that are recovered after an installed snapshot has replaced the whole log.
#[test]
fn an_installed_snapshot_replaces_the_log() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    append(&mut store, 1..=20);
    store.install_snapshot(b"new", 10, b"snapshot").unwrap();
    append(&mut store, [11]);
    drop(store);
    let (_, recovered) = open(folder.path());
    assert_eq!(recovered.hard_state.as_deref(), Some(&b"new"[..]));
    assert_eq!(indices(&recovered), [11]);
    assert_eq!(files(folder.path(), "log-").len(), 1);
}

/// Guards against an incomplete last write that makes the store unreadable, loses entries synced before,
/// or is taken for an entry, and against a store that cannot be written after the truncation.
#[test]
fn an_incomplete_write_is_truncated_at_every_length() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    append(&mut store, 1..=3);
    let path = files(folder.path(), "log-")[0].clone();
    let synced = fs::metadata(&path).unwrap().len();
    append(&mut store, 4..=6);
    drop(store);
    let end = fs::metadata(&path).unwrap().len();
    let record = (end - synced) / 3;
    for length in synced..end {
        let truncated = copy_folder(folder.path());
        let path = truncated.path().join(path.file_name().unwrap());
        let file = OpenOptions::new().write(true).open(&path).unwrap();
        file.set_len(length).unwrap();
        let (mut store, recovered) = open(truncated.path());
        let complete = 3 + (length - synced) / record;
        assert_eq!(
            indices(&recovered),
            (1..=complete).collect::<Vec<_>>(),
            "length {length}"
        );
        assert_eq!(recovered.truncated_bytes, (length - synced) % record);
        append(&mut store, [complete + 1]);
        drop(store);
        let (_, recovered) = open(truncated.path());
        assert_eq!(indices(&recovered), (1..=complete + 1).collect::<Vec<_>>());
    }
}

/// Guards against an unsynced write whose blocks reached the disk out of order: recovery must neither
/// take a record after the missing block as an entry nor report damage.
#[test]
fn a_hole_in_the_last_write_is_truncated() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    append(&mut store, 1..=3);
    let path = files(folder.path(), "log-")[0].clone();
    let synced = fs::metadata(&path).unwrap().len() as usize;
    append(&mut store, 4..=6);
    drop(store);
    let mut bytes = fs::read(&path).unwrap();
    bytes[synced..synced + 20].fill(0);
    fs::write(&path, bytes).unwrap();
    let (_, recovered) = open(folder.path());
    assert_eq!(indices(&recovered), [1, 2, 3]);
}

/// Guards against damage to synced data that is taken for an incomplete write, which would silently drop
/// acknowledged entries.
#[test]
fn damage_of_synced_data_is_reported_at_every_byte() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    store.append(Some(b"state"), []).unwrap();
    for index in 1..=8 {
        append(&mut store, [index]);
    }
    store.save_snapshot(2, b"snapshot").unwrap();
    append(&mut store, [9]);
    let last = files(folder.path(), "log-").last().unwrap().clone();
    let synced = fs::metadata(&last).unwrap().len() as usize;
    append(&mut store, [10]);
    drop(store);
    for file in [
        files(folder.path(), "log-"),
        files(folder.path(), "snapshot-"),
    ]
    .concat()
    {
        let bytes = fs::read(&file).unwrap();
        // Damage to the last record of the last segment cannot be told from an incomplete write.
        let end = if file == last { synced } else { bytes.len() };
        for offset in 0..end {
            let mut damaged = bytes.clone();
            damaged[offset] ^= 0x40;
            let copy = copy_folder(folder.path());
            fs::write(copy.path().join(file.file_name().unwrap()), damaged).unwrap();
            let result = Store::open(&settings(copy.path()));
            assert!(
                matches!(result, Err(Error::Corrupt { .. })),
                "{} at {offset}: {result:?}",
                file.display()
            );
        }
    }
}

/// Guards against missing segments that recovery does not report.
#[test]
fn missing_files_are_reported() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    for index in 1..=30 {
        append(&mut store, [index]);
    }
    drop(store);
    let segments = files(folder.path(), "log-");
    assert!(segments.len() > 2);
    for segment in &segments[..segments.len() - 1] {
        let copy = copy_folder(folder.path());
        fs::remove_file(copy.path().join(segment.file_name().unwrap())).unwrap();
        let result = Store::open(&settings(copy.path()));
        assert!(matches!(result, Err(Error::Corrupt { .. })), "{result:?}");
    }
}

/// Guards against a crash while a snapshot is written, which leaves a temporary file, and against one
/// before the obsolete segments are deleted.
#[test]
fn leftovers_of_a_crash_are_harmless() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    append(&mut store, 1..=20);
    let before = copy_folder(folder.path());
    store.save_snapshot(20, b"snapshot").unwrap();
    append(&mut store, [21]);
    drop(store);
    for file in files(before.path(), "log-") {
        fs::copy(&file, folder.path().join(file.file_name().unwrap())).unwrap();
    }
    fs::write(folder.path().join("temporary"), b"part of a snapshot").unwrap();
    let (_, recovered) = open(folder.path());
    assert_eq!(indices(&recovered), [21]);
    assert_eq!(recovered.snapshot.unwrap().index, 20);
}

/// Guards against two processes that open one store at the same time.
#[test]
fn a_second_process_is_refused() {
    let folder = tempdir().unwrap();
    let (store, _) = open(folder.path());
    let second = Store::open(&settings(folder.path()));
    assert!(matches!(second, Err(Error::Locked { .. })));
    drop(store);
    open(folder.path());
}

/// Guards against writes that are acknowledged after one has failed because the disk was full.
#[test]
fn a_full_disk_stops_all_writes() {
    let folder = tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    append(&mut store, 1..=3);
    // The path of the next segment leads to a device without space.
    symlink("/dev/full", folder.path().join("log-0000000000000002")).unwrap();
    let error = store.save_snapshot(3, b"snapshot").unwrap_err();
    assert!(matches!(error, Error::Io { .. }), "{error}");
    let error = store.append(None, [(4, &b"x"[..])]).unwrap_err();
    assert!(matches!(error, Error::Failed), "{error}");
    drop(store);
    fs::remove_file(folder.path().join("log-0000000000000002")).unwrap();
    let (mut store, recovered) = open(folder.path());
    assert_eq!(indices(&recovered), [1, 2, 3]);
    append(&mut store, [4]);
}
