//! `inventory new`.

use crate::report::{Exit, Report};

/// Commented example; a test parses it.
pub const EXAMPLE: &str = include_str!("inventory.example.json");

/// Prints the example.
pub fn new() -> Report {
    Report::new(
        Exit::Done,
        EXAMPLE.trim_end(),
        serde_json::json!({ "inventory": EXAMPLE }),
    )
}
