//! Decisions of entry VMs whose targets serve the whole region.

mod contention;
mod division;
mod fetch;
mod limits;
mod load;
mod pace;
mod planner;
mod policy;
mod quarantine;
mod reach;
mod resend;
mod retained;
mod rules;
mod scale;
mod support;
mod targets;
