//! Decisions of entry VMs whose targets serve the whole region.

mod contention;
mod fetch;
mod limits;
mod load;
mod planner;
mod policy;
mod quarantine;
mod reach;
mod rules;
mod scale;
mod support;
mod targets;
