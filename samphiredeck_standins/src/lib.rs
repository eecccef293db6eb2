//! Stand-ins that simulate the platform, model engines and services, with tools to start and
//! measure a local system.
//!
//! This package is used for testing only and is not released. The stand-ins are built as examples
//! of this package, so that tests, the demo and the experiments run them as separate processes.

pub mod client;
pub mod engine;
pub mod fixture;
pub mod launch;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod service;
pub mod tokens;
pub mod workload;
