//! Divides the file descriptors of a node.
//!
//! Answers callers and other nodes that open more connections than a small instance has descriptors for: without shares they
//! take all of them, and the node reaches neither upstreams nor the store.

/// Part of the descriptors that connections of callers may take.
const CALLER_PARTS: u64 = 2;
/// Maximum number of connections of callers, as each takes memory too.
const CALLERS_MAX: u64 = 1_800;
/// Divisor of the descriptors that gives the number of tunnels. Each takes two.
const TUNNEL_PARTS: u64 = 8;
/// Maximum number of tunnels.
const TUNNELS_MAX: u64 = 500;
/// Divisor of the descriptors that gives the number of connections of probes and operators to one listener.
const PROBE_PARTS: u64 = 32;
/// Bounds of that number. The balancer and some operators connect at a time.
const PROBES_MIN: usize = 4;
const PROBES_MAX: u64 = 64;

/// Numbers of connections that others may open to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Connections of callers. At least 1.
    pub callers: usize,
    /// Tunnels of other nodes. At least 1.
    pub tunnels: usize,
    /// Connections to each listener for probes and operators.
    pub probes: usize,
}

impl DescriptorShares {
    /// Shares of a process that may open `descriptors`. `None` if there is no limit.
    #[must_use]
    pub fn of(descriptors: Option<u64>) -> Self {
        let limit = descriptors.unwrap_or(u64::MAX);
        let share = |parts: u64, max: u64| {
            usize::try_from((limit / parts).clamp(1, max)).unwrap_or(usize::MAX)
        };
        Self {
            callers: share(CALLER_PARTS, CALLERS_MAX),
            tunnels: share(TUNNEL_PARTS, TUNNELS_MAX),
            probes: share(PROBE_PARTS, PROBES_MAX).max(PROBES_MIN),
        }
    }
}
