//! Configuration as returned by the admin port of control.

use primrosepin_core::inventory::Inventory;
use serde::Deserialize;
use serde_json::Value;

use crate::Result;
use crate::report::{Exit, Failure};

/// The configuration in force.
#[derive(Debug, Clone, Deserialize)]
pub struct Document {
    /// Configuration version.
    pub version: u64,
    /// Inventory and rules.
    #[serde(default)]
    pub inventory: Inventory,
    /// Zones taken out of service.
    #[serde(default)]
    pub zones_out: Vec<String>,
    /// Targets taken out of service.
    #[serde(default)]
    pub targets_out: Vec<String>,
}

impl Document {
    /// Parses the body of `GET /v1/config` or of a conflict response.
    pub fn new(body: &Value) -> Result<Self> {
        Self::deserialize(body).map_err(|error| {
            Failure::message(
                Exit::Refused,
                format!("cannot parse the configuration sent by control: {error}"),
            )
        })
    }
}
