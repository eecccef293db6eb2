//! The node's command line over the real binary.
