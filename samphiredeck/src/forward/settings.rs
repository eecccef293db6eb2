//! Settings of a forwarding node: raw sections that are validated into typed ones.

use std::{fmt, fs, net::SocketAddr, path::Path};

use samphiredeck_core::{
    forward::{quota::QuotaSlack, retry_budget::RetryLimit, rollout::ExposureBounds},
    ids::{DomainName, IdError, NodeName},
    units::Span,
};
use serde::Deserialize;
use serde_json::Value;
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
    memory_mb: Value,
}

impl Default for RawMemory {
    fn default() -> Self {
        Self { memory_mb: 256.into() }
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

/// Section `bounds`. The fields are checked one by one, so that an error names all that are wrong.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBounds {
    revoke: Option<Value>,
    grace: Value,
    lease: Value,
    usage_window: Value,
    usage_due: Value,
    repeat_window: Value,
    repeat_ratio: Value,
    repeat_extra: Value,
    quota_overage: Value,
    quota_slack: Value,
    quota_window: Value,
    exposure_share: Option<Value>,
    exposure_slack: Option<Value>,
    rollback: Option<Value>,
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
    pub revoke: Option<Span>,
    /// Time between the termination signal and the kill.
    pub grace: Span,
    /// Duration of the leader lease after a renewal.
    pub lease: Span,
    /// Length of a usage window.
    pub usage_window: Span,
    /// Time after the end of a window at which its usage report is due.
    pub usage_due: Span,
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

    /// Length of time that is longer than nothing.
    fn span(&mut self, field: &str, value: &Value) -> Option<Span> {
        let Some(text) = value.as_str() else {
            self.reject(field, format!("must be a text with a number and a unit, got {value}"));
            return None;
        };
        let span: Span = self.parse(field, text)?;
        if span.to_duration().is_zero() {
            self.reject(field, "must be more than 0");
            return None;
        }
        Some(span)
    }

    /// Number that is not negative.
    fn number(&mut self, field: &str, value: &Value) -> Option<f64> {
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            self.reject(field, format!("must be a non-negative number, got {value}"));
        }
        number
    }
}

/// Bytes of `mebibytes`, rounded down.
fn whole_bytes(mebibytes: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and casts saturate"
    )]
    let bytes = (mebibytes * 1_024.0 * 1_024.0) as usize;
    bytes
}

impl RawBounds {
    /// Bounds of rollouts, which are set together.
    fn exposure(&self, validator: &mut SettingsValidator) -> Option<ExposureBounds> {
        let fields = [&self.exposure_share, &self.exposure_slack, &self.rollback];
        if fields.iter().all(|field| field.is_none()) {
            return None;
        }
        let names = ["bounds.exposure_share", "bounds.exposure_slack", "bounds.rollback"];
        for (name, _) in names.iter().zip(fields).filter(|(_, field)| field.is_none()) {
            validator.reject(name, "must be set, as other bounds of rollouts are");
        }
        let [share, slack, rollback] = fields;
        let share = validator.number(names[0], share.as_ref()?);
        let slack = validator.number(names[1], slack.as_ref()?);
        let rollback = validator.span(names[2], rollback.as_ref()?);
        let (share, slack, rollback) = (share?, slack?, rollback?);
        if !(share > 0.0 && share <= 1.0) {
            validator.reject(names[0], format!("must be in 0 to 1, got {share}"));
        }
        Some(ExposureBounds { share, slack, rollback: rollback.to_duration() })
    }

    fn check(&self, validator: &mut SettingsValidator) -> Option<BoundSettings> {
        let revoke = self.revoke.as_ref().map(|value| validator.span("bounds.revoke", value));
        let grace = validator.span("bounds.grace", &self.grace);
        let lease = validator.span("bounds.lease", &self.lease);
        let usage_window = validator.span("bounds.usage_window", &self.usage_window);
        let usage_due = validator.span("bounds.usage_due", &self.usage_due);
        let repeat_window = validator.span("bounds.repeat_window", &self.repeat_window);
        let repeat_ratio = validator.number("bounds.repeat_ratio", &self.repeat_ratio);
        let repeat_extra = validator.number("bounds.repeat_extra", &self.repeat_extra);
        let quota_overage = validator.number("bounds.quota_overage", &self.quota_overage);
        let quota_slack = validator.number("bounds.quota_slack", &self.quota_slack);
        let quota_window = validator.span("bounds.quota_window", &self.quota_window);
        let exposure = self.exposure(validator);
        Some(BoundSettings {
            revoke: revoke.map_or(Some(None), |revoke| revoke.map(Some))?,
            grace: grace?,
            lease: lease?,
            usage_window: usage_window?,
            usage_due: usage_due?,
            retry_limit: RetryLimit {
                ratio: repeat_ratio?,
                extra: repeat_extra?,
                window: repeat_window?.to_duration(),
            },
            quota_slack: QuotaSlack {
                overage: quota_overage?,
                tokens: quota_slack?,
                window: quota_window?.to_duration(),
            },
            exposure,
        })
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
        let bounds = raw.bounds.check(&mut validator);
        if raw.log.lines_per_second == 0 {
            validator.reject("log.lines_per_second", "must be at least 1");
        }
        let memory = validator.number("limits.memory_mb", &raw.limits.memory_mb);
        if memory.is_some_and(|mebibytes| mebibytes < 1.0) {
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
                bounds: bounds?,
                memory: whole_bytes(memory?),
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
