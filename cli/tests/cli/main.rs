//! Tests of the operator client: the binary against a scripted admin server, and its reports.

mod change;
mod docs;
mod explain;
mod inventory;
mod keys;
mod status;
mod support;
