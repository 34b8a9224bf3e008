//! Configuration whose versions the operators choose.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The published configuration. Only a version higher than the current one replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Increases by one with each change of the document or zones; zero before the first change.
    pub revision: u64,
    /// Version given by the operators.
    pub version: u64,
    /// Document, exactly as it is to be read back; empty before the first one.
    pub document: Arc<[u8]>,
    /// Zones that are out, so that their targets get no new work; sorted.
    pub zones_out: Vec<Arc<str>>,
}

impl Published {
    /// Publishes a document if its version is higher, and returns the revision in force.
    pub(super) fn publish(&mut self, version: u64, document: &Arc<[u8]>) -> u64 {
        if version > self.version || self.document.is_empty() {
            self.revision += 1;
            self.version = version;
            self.document = Arc::clone(document);
        }
        self.revision
    }

    /// Takes a zone out of service or brings it back, and returns the revision in force.
    pub(super) fn evacuate(&mut self, zone: &Arc<str>, out: bool) -> u64 {
        if self.zones_out.contains(zone) != out {
            self.revision += 1;
            if out {
                self.zones_out.push(Arc::clone(zone));
                self.zones_out.sort_unstable();
            } else {
                self.zones_out.retain(|other| other != zone);
            }
        }
        self.revision
    }
}
