//! Snapshot tests of the result for each file in `cases`, most of which are invalid.
//!
//! The file name of a case starts with the type that it is parsed as.

use primrosepin_config::{Error, inventory, parse, settings};

/// Guards against errors that lack the file, line, column or expected value, and against messages that
/// contain a value that may be a secret.
#[test]
fn messages() {
    insta::glob!("cases/*.json", |path| {
        let file = path.file_name().unwrap().to_str().unwrap();
        let text = std::fs::read_to_string(path).unwrap();
        let result: Result<String, Error> = match file.split_once('-').unwrap().0 {
            "entry" => parse::<settings::Entry>(&text, file).map(|value| format!("{value:#?}")),
            "control" => parse::<settings::Control>(&text, file).map(|value| format!("{value:#?}")),
            "inventory" => inventory::parse(&text, file).map(|value| format!("{value:#?}")),
            other => panic!("unknown type {other}"),
        };
        let shown = match result {
            Ok(value) => format!("accepted: {value}"),
            Err(error) => error.to_string(),
        };
        assert!(!shown.contains("sk-secret"), "{shown}");
        insta::assert_snapshot!(shown);
    });
}

/// Guards against an error for a missing file without the file's name.
#[test]
fn missing_file() {
    let path = std::path::Path::new("no-such-folder/entry.json");
    let error = primrosepin_config::load::<settings::Entry>(path).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("no-such-folder/entry.json: cannot read the file:")
    );
}
