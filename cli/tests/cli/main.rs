//! Tests of the operators' client: the binary against a small admin server, and its reports.

mod change;
mod docs;
mod explain;
mod inventory;
mod keys;
mod status;
mod support;
