//! Command `inventory new`.

use crate::report::{Exit, Report};

/// Commented example inventory. A test checks that it is valid.
pub const EXAMPLE: &str = include_str!("inventory.example.json");

/// Returns the example as the output of the command.
pub fn new() -> Report {
    Report::new(
        Exit::Done,
        EXAMPLE.trim_end(),
        serde_json::json!({ "inventory": EXAMPLE }),
    )
}
