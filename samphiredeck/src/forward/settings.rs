//! Settings of a forwarding node: raw sections that are validated into typed ones.

use std::{fmt, fs, net::SocketAddr, path::Path};

use samphiredeck_core::{
    forward::{quota::QuotaSlack, retry_budget::RetryLimit, rollout::ExposureBounds},
    ids::{DomainName, IdError, NodeName},
    units::Millis,
};
use serde::Deserialize;
use thiserror::Error;

/// Validation errors, as pairs of a field and a reason.
#[derive(Debug, Error)]
pub struct FieldErrors(Vec<(String, String)>);

impl fmt::Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> =
            self.0.iter().map(|(field, reason)| format!("{field}: {reason}")).collect();
        f.write_str(&lines.join("; "))
    }
}

/// Settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawForward {
    node: RawNode,
    listen: RawListen,
    platform: RawPlatform,
    bounds: RawBounds,
    #[serde(default)]
    limits: RawMemory,
    #[serde(default)]
    log: RawLog,
}

/// Section `limits`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawMemory {
    memory_mb: usize,
}

impl Default for RawMemory {
    fn default() -> Self {
        Self { memory_mb: 256 }
    }
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
    exposure_share: Option<f64>,
    exposure_slack: Option<f64>,
    rollback: Option<Millis>,
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

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenSettings {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Readiness probes of the load balancer.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Datagrams of other nodes.
    pub peer: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Store.
    pub store: SocketAddr,
    /// API for reports and orders. `None` if the node must not send any.
    pub orders: Option<SocketAddr>,
}

/// Bounds that the operator guarantees to callers and to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundSettings {
    /// Maximum time for which a revoked key may be used. `None` if keys stay valid while the
    /// configuration can't be read.
    pub revoke: Option<Millis>,
    /// Time between the termination signal and the kill.
    pub grace: Millis,
    /// Duration of the leader lease after a renewal.
    pub lease: Millis,
    /// Length of a usage window.
    pub usage_window: Millis,
    /// Time after the end of a window at which its usage report is due.
    pub usage_due: Millis,
    /// Limit on retries over all nodes.
    pub retry_limit: RetryLimit,
    /// Amount by which quotas may be exceeded.
    pub quota_slack: QuotaSlack,
    /// What a bad software version may get. `None` if versions are not rolled out by this system.
    pub exposure: Option<ExposureBounds>,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardSettings {
    /// Name of the node.
    pub name: NodeName,
    /// The name as the platform writes it.
    pub name_text: String,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Bounds that the node must keep.
    pub bounds: BoundSettings,
    /// Memory of the instance in bytes.
    pub memory: usize,
    /// Maximum number of log lines per kind and second. At least 1. Kinds that are not about a request share a tenth.
    pub log_rate: u32,
}

/// Collects validation errors.
#[derive(Default)]
struct SettingsValidator {
    errors: Vec<(String, String)>,
}

impl SettingsValidator {
    fn reject(&mut self, field: &str, reason: impl fmt::Display) {
        self.errors.push((field.to_owned(), reason.to_string()));
    }

    fn parse<T: std::str::FromStr>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let parsed = text.parse().map_err(|error| format!("{text:?}: {error}"));
        parsed.map_err(|reason| self.reject(field, reason)).ok()
    }

    fn name<T>(
        &mut self,
        field: &str,
        text: &str,
        parse: fn(&str) -> Result<T, IdError>,
    ) -> Option<T> {
        let parsed = parse(text).map_err(|error| format!("{text:?}: {error}"));
        parsed.map_err(|reason| self.reject(field, reason)).ok()
    }

    fn require_positive(&mut self, field: &str, value: Millis) {
        if value.0 == 0 {
            self.reject(field, "must be at least 1ms");
        }
    }

    fn require_non_negative(&mut self, field: &str, value: f64) {
        if !value.is_finite() || value < 0.0 {
            self.reject(field, format!("must be a non-negative number, got {value}"));
        }
    }
}

impl RawBounds {
    /// Bounds of rollouts, which are set together.
    fn exposure(&self, validator: &mut SettingsValidator) -> Option<ExposureBounds> {
        let (share, slack, rollback) = (self.exposure_share, self.exposure_slack, self.rollback);
        if share.is_none() && slack.is_none() && rollback.is_none() {
            return None;
        }
        let mut require = |is_set: bool, field: &str| {
            if !is_set {
                validator.reject(field, "must be set, as other bounds of rollouts are");
            }
        };
        require(share.is_some(), "bounds.exposure_share");
        require(slack.is_some(), "bounds.exposure_slack");
        require(rollback.is_some(), "bounds.rollback");
        let (share, slack, rollback) = (share?, slack?, rollback?);
        if !(share > 0.0 && share <= 1.0) {
            validator.reject("bounds.exposure_share", format!("must be in 0 to 1, got {share}"));
        }
        validator.require_non_negative("bounds.exposure_slack", slack);
        validator.require_positive("bounds.rollback", rollback);
        Some(ExposureBounds { share, slack, rollback: rollback.to_duration() })
    }
}

impl TryFrom<RawForward> for ForwardSettings {
    type Error = FieldErrors;

    fn try_from(raw: RawForward) -> Result<Self, Self::Error> {
        let mut validator = SettingsValidator::default();
        let name = validator.name("node.name", &raw.node.name, NodeName::of_text);
        let domain = validator.name("node.domain", &raw.node.domain, DomainName::of_text);
        let caller = validator.parse("listen.caller", &raw.listen.caller);
        let ready = validator.parse("listen.ready", &raw.listen.ready);
        let metrics = validator.parse("listen.metrics", &raw.listen.metrics);
        let peer = validator.parse("listen.peer", &raw.listen.peer);
        let store = validator.parse("platform.store", &raw.platform.store);
        let orders = raw.platform.orders.as_deref().filter(|text| !text.is_empty());
        let orders = orders.map(|text| validator.parse("platform.orders", text));
        let bounds = raw.bounds;
        validator.require_positive("bounds.grace", bounds.grace);
        validator.require_positive("bounds.lease", bounds.lease);
        validator.require_positive("bounds.usage_window", bounds.usage_window);
        validator.require_positive("bounds.usage_due", bounds.usage_due);
        validator.require_positive("bounds.repeat_window", bounds.repeat_window);
        validator.require_positive("bounds.quota_window", bounds.quota_window);
        if let Some(revoke) = bounds.revoke {
            validator.require_positive("bounds.revoke", revoke);
        }
        validator.require_non_negative("bounds.repeat_ratio", bounds.repeat_ratio);
        validator.require_non_negative("bounds.repeat_extra", bounds.repeat_extra);
        validator.require_non_negative("bounds.quota_overage", bounds.quota_overage);
        validator.require_non_negative("bounds.quota_slack", bounds.quota_slack);
        let exposure = bounds.exposure(&mut validator);
        if raw.log.lines_per_second == 0 {
            validator.reject("log.lines_per_second", "must be at least 1");
        }
        if raw.limits.memory_mb == 0 {
            validator.reject("limits.memory_mb", "must be at least 1");
        }
        let parsed = (|| {
            Some(Self {
                name: name?,
                name_text: raw.node.name.clone(),
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
                    retry_limit: RetryLimit {
                        ratio: bounds.repeat_ratio,
                        extra: bounds.repeat_extra,
                        window: bounds.repeat_window.to_duration(),
                    },
                    quota_slack: QuotaSlack {
                        overage: bounds.quota_overage,
                        tokens: bounds.quota_slack,
                        window: bounds.quota_window.to_duration(),
                    },
                    exposure,
                },
                memory: raw.limits.memory_mb.saturating_mul(1_024 * 1_024),
                log_rate: raw.log.lines_per_second,
            })
        })();
        match parsed {
            Some(settings) if validator.errors.is_empty() => Ok(settings),
            _ => Err(FieldErrors(validator.errors)),
        }
    }
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns all invalid fields with the reason for each, or where the JSON text can't be parsed.
pub fn parse_forward_settings(text: &str) -> Result<ForwardSettings, FieldErrors> {
    let raw: RawForward = serde_json::from_str(text)
        .map_err(|error| FieldErrors(vec![("settings".to_owned(), error.to_string())]))?;
    ForwardSettings::try_from(raw)
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or as [`parse_forward_settings`] does.
pub fn load_forward_settings(path: &Path) -> Result<ForwardSettings, FieldErrors> {
    let text = fs::read_to_string(path)
        .map_err(|error| FieldErrors(vec![(path.display().to_string(), error.to_string())]))?;
    parse_forward_settings(&text)
}
