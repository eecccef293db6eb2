//! Metrics over statsd datagrams.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::warn;

use crate::{control::ControlState, logging::NODE, view::CounterView};

/// Prefix of all names.
const PREFIX: &str = "samphiredeck";
/// Time between two rounds.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Sends what the control state counts.
pub struct MetricsReporter {
    client: StatsdClient,
    previous: CounterView,
    reported_at: Option<Instant>,
}

impl MetricsReporter {
    /// Sends to `statsd`, or nowhere.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client, previous: CounterView::default(), reported_at: None }
    }

    /// Sends the changes since the previous round, once a period.
    pub fn report(&mut self, state: &ControlState, now: Instant) {
        let due =
            self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_PERIOD);
        if !due {
            return;
        }
        self.reported_at = Some(now);
        let (counters, gauges) = state.measures(now);
        for ((name, value), (_, previous)) in
            counters.pairs().into_iter().zip(self.previous.pairs())
        {
            let increase = i64::try_from(value - previous).unwrap_or(i64::MAX);
            if increase > 0 {
                // Metrics may be lost without harm.
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
        warn!(target: NODE, "Metrics can't be sent to {address}.");
    }
    Some(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink?)))
}
