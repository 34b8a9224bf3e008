//! Deliberate defects between the reducer and the world, which show that each check can fail.

/// A defect of the entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Requests that cannot be served get no response.
    NoRefusal,
    /// Cancel calls are not sent.
    NoCancel,
    /// Cold targets are taken as warm.
    ColdAsWarm,
    /// Orders to take zones out are ignored.
    ZoneOrderIgnored,
    /// Orders to take targets out are ignored.
    TargetOrderIgnored,
    /// A token is passed on twice.
    TokenTwice,
    /// Each end without an answer is reported as `not_run`.
    AlwaysNotRun,
    /// Attempts are sent to two engines.
    DispatchTwice,
    /// A shutdown cuts running streams.
    ShutdownCuts,
    /// An older configuration is put in force again.
    ConfigReverts,
}

impl Defect {
    /// All defects, in the order of the promises that they break.
    pub const ALL: [Self; 10] = [
        Self::NoRefusal,
        Self::NoCancel,
        Self::ColdAsWarm,
        Self::ZoneOrderIgnored,
        Self::TokenTwice,
        Self::AlwaysNotRun,
        Self::DispatchTwice,
        Self::TargetOrderIgnored,
        Self::ShutdownCuts,
        Self::ConfigReverts,
    ];
}
