//! Export of metrics to statsd over UDP.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::warn;

use crate::{control::ControlState, logging::NODE, view::NodeCounters};

/// Prefix of all metric names.
const PREFIX: &str = "samphiredeck";
/// Interval between reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Reports the counters and gauges of the control state to statsd.
pub struct MetricsReporter {
    client: StatsdClient,
    previous: NodeCounters,
    reported_at: Option<Instant>,
}

impl MetricsReporter {
    /// Creates a reporter that sends to `statsd`, or discards all metrics without an address.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client, previous: NodeCounters::default(), reported_at: None }
    }

    /// Sends gauges and counter increments, at most once per [`REPORT_PERIOD`].
    pub fn report(&mut self, state: &ControlState, now: Instant) {
        let due =
            self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_PERIOD);
        if !due {
            return;
        }
        self.reported_at = Some(now);
        let (counters, gauges) = state.metrics(now);
        for ((name, value), (_, previous)) in
            counters.named_values().into_iter().zip(self.previous.named_values())
        {
            let increase = i64::try_from(value - previous).unwrap_or(i64::MAX);
            if increase > 0 {
                // Send errors are ignored, since losing metrics is harmless.
                drop(self.client.count(name, increase));
            }
        }
        for (name, value) in gauges {
            drop(self.client.gauge(name, value));
        }
        self.previous = counters;
    }
}

fn connect(address: SocketAddr) -> Option<StatsdClient> {
    let bind = SocketAddr::new(address.ip(), 0);
    let local = if bind.ip().is_loopback() { bind } else { SocketAddr::from(([0, 0, 0, 0], 0)) };
    let sink = UdpSocket::bind(local).ok().and_then(|socket| {
        socket.set_nonblocking(true).ok()?;
        UdpMetricSink::from(address, socket).ok()
    });
    if sink.is_none() {
        warn!(target: NODE, "Failed to open a statsd socket for {address}.");
    }
    Some(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink?)))
}
