//! The reducer of an entry VM.

pub mod effect;
pub mod event;
