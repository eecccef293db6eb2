//! Decisions about requests that are forwarded to upstreams as they are.
//!
//! One file a decision. Each takes the time and what is known as arguments and returns what to do.

pub mod capacity;
pub mod catalog;
pub mod clock;
pub mod deadline;
pub mod demand;
pub mod events;
pub mod freshness;
pub mod leader;
pub mod members;
pub mod outcome;
pub mod placement;
pub mod quota;
pub mod retry_budget;
pub mod store_readers;
pub mod upstreams;
pub mod usage;
