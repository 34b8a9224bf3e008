//! Services, groups of targets that serve the same requests.

/// Dense id of a service within one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u16);
