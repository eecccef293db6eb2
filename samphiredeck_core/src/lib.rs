//! Decisions of samphiredeck as tables and systems.
//!
//! Nothing here reads a clock, opens a socket or starts a thread. Time and inputs are arguments,
//! and what has to be done is returned.

pub mod account;
pub mod admission;
pub mod backoff;
pub mod boot_time;
pub mod burn;
pub mod claim;
pub mod config_change;
pub mod declaration;
pub mod engine_api;
pub mod flight;
pub mod forward;
pub mod freshness;
pub mod group_commit;
pub mod hint;
pub mod ids;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod patient;
pub mod placement;
pub mod platform_api;
pub mod prefix;
pub mod reclaim;
pub mod response;
pub mod retry;
pub mod route;
pub mod rows;
pub mod units;
pub mod upstream;
pub mod verdict;
