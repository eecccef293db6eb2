//! Decision logic of samphiredeck: data tables and the functions that operate on them.
//!
//! This crate performs no I/O: it reads no clock, opens no socket and starts no thread. Time and
//! other inputs are passed as arguments, and the required actions are returned as values.

pub mod account;
pub mod admission;
pub mod backoff;
pub mod boot_time;
pub mod burn_rate;
pub mod claim;
pub mod concurrency_limit;
pub mod config_change;
pub mod declaration;
pub mod engine_api;
pub mod forward;
pub mod freshness;
pub mod group_commit;
pub mod hint;
pub mod ids;
pub mod in_flight;
pub mod lease;
pub mod membership;
pub mod name_text;
pub mod patient;
pub mod placement;
pub mod platform_api;
pub mod prefix;
pub mod reclaim;
pub mod response;
pub mod retry_budget;
pub mod route;
pub mod rows;
pub mod units;
pub mod upstream;
pub mod verdict;
