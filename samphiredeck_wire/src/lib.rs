//! Messages between nodes and their authentication.
//!
//! Datagrams and frames are encoded with `postcard` and sealed with a keyed hash over sender, run,
//! counter and body, so that forged, altered and replayed ones are refused.

pub mod message;
pub mod record;
pub mod seal;
pub mod talk;
