//! Decisions about requests that are forwarded to upstreams as they are.
//!
//! One file a decision. Each takes the time and what is known as arguments and returns what to do.

pub mod capacity;
pub mod catalog;
pub mod clock;
pub mod duty;
pub mod events;
pub mod freshness;
pub mod ledger;
pub mod members;
pub mod outcome;
pub mod placing;
pub mod quota;
pub mod readers;
pub mod repeat;
pub mod roster;
pub mod waiting;
pub mod work;
