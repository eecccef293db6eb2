//! Metrics over statsd datagrams.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::warn;

use crate::{control::ControlState, logging::NODE, view::NodeCounters};

/// Prefix of all names.
const PREFIX: &str = "samphiredeck";
/// Time between two rounds.
const PERIOD: Duration = Duration::from_secs(1);

/// Sends what the control state counts.
pub struct MetricsSink {
    client: StatsdClient,
    last: NodeCounters,
    sent_at: Option<Instant>,
}

impl MetricsSink {
    /// Sends to `statsd`, or nowhere.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client, last: NodeCounters::default(), sent_at: None }
    }

    /// Sends the changes since the last round, once a period.
    pub fn emit(&mut self, state: &ControlState, now: Instant) {
        let due = self.sent_at.is_none_or(|at| now.saturating_duration_since(at) >= PERIOD);
        if !due {
            return;
        }
        self.sent_at = Some(now);
        let (counters, gauges) = state.metrics(now);
        for ((name, value), (_, before)) in
            counters.named_values().into_iter().zip(self.last.named_values())
        {
            let grown = i64::try_from(value - before).unwrap_or(i64::MAX);
            if grown > 0 {
                // Metrics may be lost without harm.
                drop(self.client.count(name, grown));
            }
        }
        for (name, value) in gauges {
            drop(self.client.gauge(name, value));
        }
        self.last = counters;
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
        warn!(target: NODE, "Metrics can't be sent to {address}.");
    }
    Some(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink?)))
}
