//! Messages between nodes, their authentication, and the rows that nodes share in the store.
//!
//! Messages are encoded with `postcard` and carry a keyed hash over sender, incarnation, counter,
//! receiver and body, so that forged, altered and replayed messages are refused. They are not
//! encrypted.

pub mod auth;
pub mod forward;
pub mod message;
pub mod record;
pub mod tunnel;
