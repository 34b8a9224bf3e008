//! Property tests with damaged settings and inventories.

use std::sync::LazyLock;

use primrosepin_config::{Error, inventory, parse, settings};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

/// Type and text of a valid file for each type.
static FILES: LazyLock<Vec<(String, String)>> = LazyLock::new(|| {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases");
    let names = ["entry", "control", "inventory"];
    let read = |name: &str| std::fs::read_to_string(format!("{folder}/{name}-accepted.json"));
    names
        .into_iter()
        .map(|name| (name.to_owned(), read(name).expect(name)))
        .collect()
});

/// Random change of a text, at a byte index.
#[derive(Debug, Clone)]
enum Edit {
    Replace(Index, u8),
    Remove(Index, usize),
    Repeat(Index, usize),
    Insert(Index, &'static str),
}

fn edit() -> impl Strategy<Value = Edit> {
    let index = any::<Index>;
    // Parts of the JSON syntax exercise more of the parser than random bytes.
    const PARTS: [&str; 20] = [
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"",
        "//",
        "/*",
        "\\u12",
        "null",
        "-1",
        "1e400",
        "é",
        "\0",
        "{\"name\":",
        "99999999999999999999999",
        "true",
        "\u{feff}",
        "\r",
    ];
    prop_oneof![
        (index(), any::<u8>()).prop_map(|(at, byte)| Edit::Replace(at, byte)),
        (index(), 1..40_usize).prop_map(|(at, length)| Edit::Remove(at, length)),
        (index(), 1..40_usize).prop_map(|(at, length)| Edit::Repeat(at, length)),
        (index(), prop::sample::select(&PARTS[..])).prop_map(|(at, part)| Edit::Insert(at, part)),
    ]
}

fn damage(text: &str, edits: &[Edit]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for edit in edits {
        if bytes.is_empty() {
            break;
        }
        match edit {
            Edit::Replace(at, byte) => {
                let at = at.index(bytes.len());
                bytes[at] = *byte;
            }
            Edit::Remove(at, length) => {
                let at = at.index(bytes.len());
                bytes.drain(at..(at + length).min(bytes.len()));
            }
            Edit::Repeat(at, length) => {
                let at = at.index(bytes.len());
                let part = bytes[at..(at + length).min(bytes.len())].to_vec();
                bytes.splice(at..at, part);
            }
            Edit::Insert(at, part) => {
                let at = at.index(bytes.len());
                bytes.splice(at..at, part.bytes());
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn check(kind: &str, text: &str) -> Result<(), Error> {
    match kind {
        "entry" => parse::<settings::Entry>(text, "file").map(drop),
        "control" => parse::<settings::Control>(text, "file").map(drop),
        _ => inventory::parse(text, "file").map(drop),
    }
}

/// Asserts that every problem has a position within the text, and a message.
fn assert_positions(text: &str, error: &Error) {
    assert!(!error.problems().is_empty());
    let lines: Vec<&str> = text.split('\n').collect();
    for problem in error.problems() {
        let position = problem.position.expect("position");
        assert!((1..=lines.len()).contains(&position.line), "{error}");
        let columns = lines[position.line - 1].chars().count() + 1;
        assert!((1..=columns).contains(&position.column), "{error}");
        assert!(!problem.message.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics on damaged files and against errors without a position.
    #[test]
    fn damaged_files(file: Index, edits in prop::collection::vec(edit(), 1..6)) {
        let (kind, text) = file.get(&FILES);
        let text = damage(text, &edits);
        if let Err(error) = check(kind, &text) {
            assert_positions(&text, &error);
        }
    }

    /// Guards against panics on random texts and against errors without a position.
    #[test]
    fn random_texts(file: Index, text in "[\\PC\\s\"{}:,/*]{0,80}") {
        let (kind, _) = file.get(&FILES);
        if let Err(error) = check(kind, &text) {
            assert_positions(&text, &error);
        }
    }
}

/// Guards against a stack overflow on deeply nested files.
#[test]
fn deep_nesting() {
    for open in ["[", "{\"zones\":"] {
        let text = open.repeat(100_000);
        let error = check("inventory", &text).expect_err("not an inventory");
        assert_positions(&text, &error);
    }
}
