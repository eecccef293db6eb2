//! Small stand-ins for what surrounds samphiredeck, and tools to start and measure it.
//!
//! Nothing here ships. The stand-ins are examples of this package, so that tests, the demo and the
//! experiments run them as processes of their own.

pub mod engine;
pub mod launch;
pub mod platform;
pub mod probe;
pub mod process;
pub mod proxy;
pub mod scene;
pub mod service;
pub mod tokens;
pub mod workload;
