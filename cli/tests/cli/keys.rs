//! Tests of the `keys` commands: creation, rotation of the authority, and API keys.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use serde_json::json;
use sha2::{Digest, Sha256};

use crate::support::{run, run_json};

/// Returns the number of trusted authorities and, for each certificate, whether the first authority issued
/// it.
fn show(dir: &str) -> (usize, Vec<bool>) {
    let (code, json) = run_json(&["keys", "show", "--dir", dir]);
    assert_eq!(code, 0);
    let authorities = json["authorities"].as_array().expect("authorities");
    let certificates = json["certificates"].as_array().expect("certificates");
    let first = certificates
        .iter()
        .map(|certificate| certificate["authority"] == authorities[0]);
    (authorities.len(), first.collect())
}

/// Guards against a rotation during which some process does not trust the certificate of another, and
/// against private keys that other users can read.
#[test]
fn rotation() {
    let folder = tempfile::tempdir().expect("folder");
    let dir = folder.path().to_str().expect("path");
    for (vm, role) in [("entry-1", "entry"), ("control-1", "control")] {
        let args = ["keys", "new", "--dir", dir, "--vm", vm, "--role", role];
        assert_eq!(run(&args).status.code(), Some(0));
        assert_eq!(
            run(&args).status.code(),
            Some(2),
            "an existing key must not be overwritten"
        );
    }
    assert_eq!(show(dir), (1, vec![true, true]));
    for name in [
        "authority.key",
        "entry-1.entry.key",
        "control-1.control.key",
    ] {
        let mode = fs::metadata(folder.path().join(name))
            .expect(name)
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
    let rotate = || {
        let output = run(&["keys", "rotate", "--dir", dir]);
        assert_eq!(output.status.code(), Some(0));
    };
    rotate();
    assert_eq!(show(dir), (2, vec![true, true]));
    // A VM added between the steps gets a certificate of the old authority, which processes that still have
    // the old authority file trust as well.
    run(&[
        "keys", "new", "--dir", dir, "--vm", "entry-2", "--role", "entry",
    ]);
    assert_eq!(show(dir), (2, vec![true, true, true]));
    rotate();
    assert_eq!(show(dir), (2, vec![true, true, true]));
    let before = fs::read(folder.path().join("entry-1.entry.pem")).expect("read");
    rotate();
    assert_eq!(show(dir), (1, vec![true, true, true]));
    assert_eq!(
        run(&["keys", "rotate", "--dir", dir, "--vm", "entry-1"])
            .status
            .code(),
        Some(0)
    );
    assert_ne!(
        before,
        fs::read(folder.path().join("entry-1.entry.pem")).expect("read")
    );
    assert_eq!(show(dir), (1, vec![true, true, true]));
    assert!(!Path::new(dir).join("next-authority.key").exists());
}

/// Guards against treating an interrupted first step as complete and continuing with the next step.
#[test]
fn interrupted_first_step() {
    let folder = tempfile::tempdir().expect("folder");
    let dir = folder.path().to_str().expect("path");
    run(&[
        "keys", "new", "--dir", dir, "--vm", "entry-1", "--role", "entry",
    ]);
    run(&["keys", "rotate", "--dir", dir]);
    fs::remove_file(folder.path().join("next-authority.pem")).expect("remove");
    run(&["keys", "rotate", "--dir", dir]);
    assert_eq!(show(dir), (2, vec![true]));
    let (_, json) = run_json(&["keys", "show", "--dir", dir]);
    assert_eq!(json["step"], "rotation: step 1 of 3 is done");
}

/// Guards against VM names that escape the folder, and against a wrong hash of an API key.
#[test]
fn names_and_api_keys() {
    let folder = tempfile::tempdir().expect("folder");
    let dir = folder.path().to_str().expect("path");
    for vm in ["", "../x", "a b"] {
        let args = ["keys", "new", "--dir", dir, "--vm", vm, "--role", "entry"];
        assert_eq!(run(&args).status.code(), Some(2), "{vm:?}");
    }
    let (code, json) = run_json(&["keys", "api"]);
    let key = json["key"].as_str().expect("key");
    let digest = format!("{:x}", Sha256::digest(key));
    assert_eq!((code, &json["sha256"]), (0, &json!(digest)));
    assert_ne!(run_json(&["keys", "api"]).1["key"], json["key"]);
}
