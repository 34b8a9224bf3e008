//! Settings and inventory: parsing, checks and errors with line and column.
//!
//! [`settings`] has the types of the processes' settings files; the inventory's types are in
//! `primrosepin_core::inventory`. A file is JSON with comments and trailing commas. [`parse`] works in
//! two steps: it first deserializes the value, which checks syntax, keys and types, then runs the type's
//! [`Check`], which validates the values. The first step ends at the first error; the second step reports
//! all invalid values together.
//!
//! Invariants: every error in a parsed text has a position, and no error contains the value of a string,
//! since the operator may have put a secret in the wrong place.

pub mod check;
pub mod error;
pub mod inventory;
pub mod settings;
mod settings_check;
mod value;

use std::path::Path;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

pub use check::Check;
pub use error::{Error, Position, Problem};

/// Result of parsing and checking a file.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest accepted file, bytes. An inventory of 1,200 organisations takes about 400 KB.
pub const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Reads, parses and checks a file.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: DeserializeOwned + Check,
{
    let file = path.display().to_string();
    let text = read(path).map_err(|error| {
        Error::new(file.clone(), None, format!("cannot read the file: {error}"))
    })?;
    parse(&text, &file)
}

fn read(path: &Path) -> std::io::Result<String> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES {
        return Err(std::io::Error::other(format!(
            "it is larger than {MAX_FILE_BYTES} bytes"
        )));
    }
    std::fs::read_to_string(path)
}

/// Parses and checks a text; `file` is the file name shown in errors.
pub fn parse<T>(text: &str, file: &str) -> Result<T>
where
    T: DeserializeOwned + Check,
{
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let at = |offset: usize| Some(Position::of(text, offset));
    let tree = parse_to_ast(text, &CollectOptions::default(), &options).map_err(|error| {
        Error::new(
            file,
            at(error.range().start),
            format!("not valid JSON: {}", error.kind()),
        )
    })?;
    let Some(root) = tree.value else {
        let message = "the file is empty; expected an object";
        return Err(Error::new(file, at(0), message));
    };
    let value = T::deserialize(value::Deserializer(&root))
        .map_err(|error| Error::new(file, at(error.offset.unwrap_or(0)), error.message))?;
    let mut problems = check::Problems::default();
    value.check(&mut problems);
    if problems.is_empty() {
        Ok(value)
    } else {
        Err(Error::with_problems(
            file,
            problems.with_positions(text, &root),
        ))
    }
}
