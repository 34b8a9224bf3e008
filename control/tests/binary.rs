//! Tests of the binary of the control process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use primrosepin_transport::Role;
use primrosepin_transport::keys::Authority;

fn binary(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosepin-control"));
    command.arg("--settings").arg(settings);
    command
}

/// Writes certificates and settings.
fn prepare(folder: &Path) -> std::path::PathBuf {
    let authority = Authority::new().unwrap();
    let identity = authority.issue("control-0", Role::Control).unwrap();
    fs::write(folder.join("authority.pem"), &identity.authority).unwrap();
    fs::write(folder.join("certificate.pem"), &identity.certificate).unwrap();
    fs::write(folder.join("key.pem"), &identity.key).unwrap();
    let path = folder.join("control.json");
    let in_folder = |name| folder.join(name).display().to_string();
    let text = format!(
        r#"{{
  // A deployment of one replica.
  "vm": "control-0", "zone": "trnava-a",
  "listen": {{"admin": "127.0.0.1:0", "peers": "127.0.0.1:0"}},
  "replicas": [{{"vm": "control-0", "peers": "127.0.0.1:7400"}}],
  "data": "{}", "bootstrap": true,
  "tls": {{"authority": "{}", "certificate": "{}", "key": "{}"}},
  "operator_keys_sha256": ["{}"],
}}"#,
        in_folder("data"),
        in_folder("authority.pem"),
        in_folder("certificate.pem"),
        in_folder("key.pem"),
        "0".repeat(64),
    );
    fs::write(&path, text).unwrap();
    path
}

/// Guards against invalid settings that are found only after the process has started, and against errors
/// without file and line.
#[test]
fn settings_are_checked() {
    let folder = tempfile::tempdir().unwrap();
    let path = prepare(folder.path());
    let valid = binary(&path).arg("--check").output().unwrap();
    assert!(valid.status.success(), "{valid:?}");
    // The name of a field is misspelled in line 6.
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, text.replace("\"bootstrap\"", "\"boostrap\"")).unwrap();
    for check in [true, false] {
        let mut command = binary(&path);
        if check {
            command.arg("--check");
        }
        let invalid = command.output().unwrap();
        assert_eq!(invalid.status.code(), Some(2));
        let error = String::from_utf8(invalid.stderr).unwrap();
        assert!(error.contains("control.json:6:"), "{error}");
    }
}

/// Guards against a signal that ends the process without a graceful shutdown, and against a data folder
/// that then prevents the next start.
#[test]
fn sigterm_and_sigint_shut_down_gracefully() {
    let folder = tempfile::tempdir().unwrap();
    let path = prepare(folder.path());
    for signal in ["TERM", "INT"] {
        let mut process = binary(&path).stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let mut lines = log.lines().map(Result::unwrap);
        assert!(
            lines.any(|line| line.contains("listening at")),
            "process ended before it listened"
        );
        let kill = Command::new("kill")
            .args([&format!("-{signal}"), &process.id().to_string()])
            .status();
        assert!(kill.unwrap().success());
        assert!(lines.any(|line| line.contains("shutdown: done")));
        assert!(process.wait().unwrap().success());
    }
}
