//! The operators' command line over the real binary.
