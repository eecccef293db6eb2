//! Settings of a node that forwards requests: raw sections, checked into typed ones.

use std::{fmt, fs, net::SocketAddr, path::Path};

use samphiredeck_core::{
    forward::{quota::QuotaSlack, retry_budget::RetryLimit},
    ids::{DomainName, NodeName},
    units::Millis,
};
use serde::Deserialize;
use thiserror::Error;

/// Reasons why settings are refused, one for each field.
#[derive(Debug, Error)]
pub struct FieldErrors(Vec<(String, String)>);

impl fmt::Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> =
            self.0.iter().map(|(field, reason)| format!("{field}: {reason}")).collect();
        f.write_str(&lines.join("; "))
    }
}

/// Settings as read from the file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawForward {
    node: RawNode,
    listen: RawListen,
    platform: RawPlatform,
    bounds: RawBounds,
    #[serde(default)]
    log: RawLog,
}

/// Section `node`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNode {
    name: String,
    domain: String,
}

/// Section `listen`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    caller: String,
    ready: String,
    metrics: String,
    peer: String,
}

/// Section `platform`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    store: String,
    orders: Option<String>,
}

/// Section `bounds`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBounds {
    revoke: Option<Millis>,
    grace: Millis,
    lease: Millis,
    usage_window: Millis,
    usage_due: Millis,
    repeat_window: Millis,
    repeat_ratio: f64,
    repeat_extra: f64,
    quota_overage: f64,
    quota_slack: f64,
    quota_window: Millis,
}

/// Section `log`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLog {
    lines_per_second: u32,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { lines_per_second: 100 }
    }
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// Callers.
    pub caller: SocketAddr,
    /// Questions of the balancer whether the node is ready.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Datagrams of other nodes.
    pub peer: SocketAddr,
}

/// Addresses of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Store of rows.
    pub store: SocketAddr,
    /// API for reports and orders, if the node may have that duty.
    pub orders: Option<SocketAddr>,
}

/// Bounds that the operator promises to callers and to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundSettings {
    /// Longest time for which a revoked key may be used. Nothing if keys may go on while the
    /// configuration can't be read.
    pub revoke: Option<Millis>,
    /// Time from the signal to stop to the kill.
    pub grace: Millis,
    /// Time for which the node that acts for all keeps that duty after a renewal.
    pub lease: Millis,
    /// Length of a window for which usage is reported.
    pub usage_window: Millis,
    /// Time after the end of a window at which its report is due.
    pub usage_due: Millis,
    /// Bound on repeated sends.
    pub repeat: RetryLimit,
    /// How far quotas may be exceeded.
    pub quota: QuotaSlack,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform.
    pub platform: PlatformSettings,
    /// Bounds that it keeps.
    pub bounds: BoundSettings,
    /// Most log lines of one kind in a second. At least 1.
    pub log_rate: u32,
}

/// Collects the fields that are refused.
#[derive(Default)]
struct FieldCheck {
    errors: Vec<(String, String)>,
}

impl FieldCheck {
    fn refuse(&mut self, field: &str, reason: impl fmt::Display) {
        self.errors.push((field.to_owned(), reason.to_string()));
    }

    fn parse<T: std::str::FromStr>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let parsed = text.parse().map_err(|error| format!("{text:?}: {error}"));
        parsed.map_err(|reason| self.refuse(field, reason)).ok()
    }

    fn positive(&mut self, field: &str, value: Millis) {
        if value.0 == 0 {
            self.refuse(field, "must be at least 1ms");
        }
    }

    fn share(&mut self, field: &str, value: f64) {
        if !value.is_finite() || value < 0.0 {
            self.refuse(field, format!("{value} is not a number from 0 on"));
        }
    }
}

impl TryFrom<RawForward> for ForwardSettings {
    type Error = FieldErrors;

    fn try_from(raw: RawForward) -> Result<Self, Self::Error> {
        let mut check = FieldCheck::default();
        let name = check.parse("node.name", &raw.node.name);
        let domain = check.parse("node.domain", &raw.node.domain);
        let caller = check.parse("listen.caller", &raw.listen.caller);
        let ready = check.parse("listen.ready", &raw.listen.ready);
        let metrics = check.parse("listen.metrics", &raw.listen.metrics);
        let peer = check.parse("listen.peer", &raw.listen.peer);
        let store = check.parse("platform.store", &raw.platform.store);
        let orders = raw.platform.orders.as_deref().filter(|text| !text.is_empty());
        let orders = orders.map(|text| check.parse("platform.orders", text));
        let bounds = raw.bounds;
        check.positive("bounds.grace", bounds.grace);
        check.positive("bounds.lease", bounds.lease);
        check.positive("bounds.usage_window", bounds.usage_window);
        check.positive("bounds.usage_due", bounds.usage_due);
        check.positive("bounds.repeat_window", bounds.repeat_window);
        check.positive("bounds.quota_window", bounds.quota_window);
        if let Some(revoke) = bounds.revoke {
            check.positive("bounds.revoke", revoke);
        }
        check.share("bounds.repeat_ratio", bounds.repeat_ratio);
        check.share("bounds.repeat_extra", bounds.repeat_extra);
        check.share("bounds.quota_overage", bounds.quota_overage);
        check.share("bounds.quota_slack", bounds.quota_slack);
        if raw.log.lines_per_second == 0 {
            check.refuse("log.lines_per_second", "must be at least 1");
        }
        let parsed = (|| {
            Some(Self {
                name: name?,
                domain: domain?,
                listen: ListenSettings {
                    caller: caller?,
                    ready: ready?,
                    metrics: metrics?,
                    peer: peer?,
                },
                platform: PlatformSettings { store: store?, orders: orders.flatten() },
                bounds: BoundSettings {
                    revoke: bounds.revoke,
                    grace: bounds.grace,
                    lease: bounds.lease,
                    usage_window: bounds.usage_window,
                    usage_due: bounds.usage_due,
                    repeat: RetryLimit {
                        ratio: bounds.repeat_ratio,
                        extra: bounds.repeat_extra,
                        window: bounds.repeat_window.to_duration(),
                    },
                    quota: QuotaSlack {
                        overage: bounds.quota_overage,
                        tokens: bounds.quota_slack,
                        window: bounds.quota_window.to_duration(),
                    },
                },
                log_rate: raw.log.lines_per_second,
            })
        })();
        match parsed {
            Some(settings) if check.errors.is_empty() => Ok(settings),
            _ => Err(FieldErrors(check.errors)),
        }
    }
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns all fields that are refused and why, or where the text is no settings at all.
pub fn parse_forward(text: &str) -> Result<ForwardSettings, FieldErrors> {
    let raw: RawForward = serde_json::from_str(text)
        .map_err(|error| FieldErrors(vec![("settings".to_owned(), error.to_string())]))?;
    ForwardSettings::try_from(raw)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns the file, or all fields that are refused and why.
pub fn load_forward(path: &Path) -> Result<ForwardSettings, FieldErrors> {
    let text = fs::read_to_string(path)
        .map_err(|error| FieldErrors(vec![(path.display().to_string(), error.to_string())]))?;
    parse_forward(&text)
}
