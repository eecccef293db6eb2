//! Tells a stopping node which requests can't end before it does, by how long those of the same route took.
//!
//! The timeout of a route is no measure: most are far longer than the grace period, and few requests take so long.

use std::time::Duration;

/// Number of requests of a route that are remembered.
const SAMPLES_MAX: usize = 32;
/// Share of them that took no longer than what is expected of the next one.
const QUANTILE: f64 = 0.9;

/// Last requests of one route.
#[derive(Clone, Debug)]
struct RouteSamples {
    route: String,
    /// Times from arrival to the end, in milliseconds, in the order of the ends.
    millis: Vec<u32>,
    /// Position at which the next one is written once there are [`SAMPLES_MAX`].
    next: usize,
}

/// Times that the requests of each route took at this node.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    /// Sorted by route, without duplicates.
    rows: Vec<RouteSamples>,
}

impl RouteDurations {
    /// Records that a request of `route` took `elapsed`.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        let at = match self.rows.binary_search_by(|row| row.route.as_str().cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                let row = RouteSamples { route: route.to_owned(), millis: Vec::new(), next: 0 };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        if row.millis.len() < SAMPLES_MAX {
            row.millis.push(millis);
        } else {
            row.millis[row.next] = millis;
            row.next = (row.next + 1) % SAMPLES_MAX;
        }
    }

    /// Time that the next request of `route` is expected to take. `None` if none has ended yet.
    #[must_use]
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let at = self.rows.binary_search_by(|row| row.route.as_str().cmp(route)).ok()?;
        let mut sorted = self.rows[at].millis.clone();
        sorted.sort_unstable();
        let last = sorted.len().checked_sub(1)?;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index into a short list"
        )]
        let index = (last as f64 * QUANTILE) as usize;
        Some(Duration::from_millis(sorted[index].into()))
    }

    /// Removes the routes that `is_declared` does not name.
    pub fn retain(&mut self, is_declared: impl Fn(&str) -> bool) {
        self.rows.retain(|row| is_declared(&row.route));
    }
}
