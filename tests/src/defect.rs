//! Deliberate defects, injected between the reducer and the simulated world to show that each check can fail.

/// A simulated bug of the entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Requests that end without an answer get no response.
    NoRefusal,
    /// Calls that cancel attempts at engines are not sent.
    NoCancel,
    /// Cold targets are treated as warm.
    ColdAsWarm,
    /// Operators' orders to take zones out of service are ignored.
    ZoneOrderIgnored,
    /// Operators' orders to take targets out of service are ignored.
    TargetOrderIgnored,
    /// Each token is delivered twice.
    TokenTwice,
    /// Every request that ends without an answer is reported as `not_run`.
    AlwaysNotRun,
    /// Each attempt is sent to two engines.
    DispatchTwice,
    /// A graceful shutdown cuts the open streams.
    ShutdownCuts,
    /// The entry process reports that it has gone back to version 1 of the configuration.
    ConfigReverts,
}

impl Defect {
    /// All defects, in the order of the promises in [`Promise::ALL`](crate::Promise::ALL) that they break.
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
