//! Organisations, the tenants that callers belong to.

/// Dense id of an organisation within one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u16);
