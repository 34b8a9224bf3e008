//! The configuration as control returns it.

use primrosepin_core::inventory::Inventory;
use serde::Deserialize;
use serde_json::Value;

use crate::Result;
use crate::report::{Exit, Stop};

/// Configuration in force.
#[derive(Debug, Clone, Deserialize)]
pub struct Document {
    /// Version.
    pub version: u64,
    /// Inventory and rules.
    #[serde(default)]
    pub inventory: Inventory,
    /// Zones that are out.
    #[serde(default)]
    pub zones_out: Vec<String>,
    /// Targets that are out.
    #[serde(default)]
    pub targets_out: Vec<String>,
}

impl Document {
    /// Reads a body of `GET /v1/config`, or of a conflict.
    pub fn new(body: &Value) -> Result<Self> {
        Self::deserialize(body).map_err(|error| {
            Stop::message(
                Exit::Refused,
                format!("control sent a configuration that this version cannot read: {error}"),
            )
        })
    }
}
