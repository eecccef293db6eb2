//! Settings of a node: deserialized into raw structs, then validated into [`NodeSettings`].

use std::{fs, net::SocketAddr, path::Path};

use samphiredeck_core::{
    ids::{DomainName, KeyHash, NodeName},
    route::RoutePolicy,
    units::{ByteSize, Millis},
};
use samphiredeck_wire::auth::PeerKey;
use serde::Deserialize;
use thiserror::Error;

/// Minimum length of the secret shared by all nodes, in bytes.
const PEER_SECRET_MIN_BYTES: usize = 16;
/// Maximum number of HTTP worker threads.
const WORKERS_MAX: usize = 64;

/// Invalid field of a settings file and the reason.
#[derive(Debug, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    field: String,
    reason: String,
}

impl SettingsError {
    fn new(field: &str, reason: impl std::fmt::Display) -> Self {
        Self { field: field.to_owned(), reason: reason.to_string() }
    }
}

/// Settings as deserialized, before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    node: RawNode,
    listen: RawListen,
    platform: RawPlatform,
    keys: RawKeys,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    routing: RawRouting,
    #[serde(default)]
    stop: RawStop,
    #[serde(default)]
    log: RawLog,
    #[serde(default)]
    metrics: RawMetrics,
}

/// Section `node`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNode {
    name: String,
    domain: String,
    #[serde(default)]
    instance: Option<String>,
    #[serde(default)]
    seeds: Vec<RawSeedNode>,
}

/// Seed node, which allows a start while the table service is unavailable.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSeedNode {
    name: String,
    address: String,
}

/// Section `listen`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    caller: String,
    peer: String,
    #[serde(default)]
    advertise_caller: Option<String>,
    #[serde(default)]
    advertise_peer: Option<String>,
}

/// Section `platform`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    address: String,
    #[serde(default = "default_platform_timeout")]
    timeout: Millis,
}

fn default_platform_timeout() -> Millis {
    Millis(1_500)
}

/// Section `keys`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKeys {
    peer_secret: String,
    operator_key_hash: String,
}

/// Section `limits`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    body: ByteSize,
    workers: usize,
    caller_idle: Millis,
    stream_idle: Millis,
    kept_answers: ByteSize,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            body: ByteSize(1_048_576),
            workers: 2,
            caller_idle: Millis(10_000),
            stream_idle: Millis(1_000),
            kept_answers: ByteSize(16_777_216),
        }
    }
}

/// Section `routing`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawRouting {
    policy: RoutePolicy,
    placement: bool,
}

/// Section `stop`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawStop {
    balancer_notice: Millis,
    bound: Millis,
}

impl Default for RawStop {
    fn default() -> Self {
        Self { balancer_notice: Millis(1_000), bound: Millis(20_000) }
    }
}

/// Section `log`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLog {
    level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

/// Section `metrics`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawMetrics {
    statsd: Option<String>,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Platform id of the instance that runs this node, to recognize its own reclaim notice.
    pub instance: Option<String>,
    /// Nodes to fetch the state from until a configuration is in force, so that the node can start
    /// while the table service is unavailable.
    pub seeds: Vec<SeedNode>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Caller address advertised to other nodes, if it differs from the listen address.
    pub advertise_caller: Option<SocketAddr>,
    /// Peer address advertised to other nodes, if it differs from the listen address.
    pub advertise_peer: Option<SocketAddr>,
    /// Address of the platform API.
    pub platform_address: SocketAddr,
    /// Timeout of one platform call.
    pub platform_timeout: Millis,
    /// Key that authenticates messages between nodes.
    pub peer_key: PeerKey,
    /// Hash of the operator API key.
    pub operator_key: KeyHash,
    /// Maximum size of a request body.
    pub body_limit: ByteSize,
    /// HTTP worker threads, at least 1.
    pub workers: usize,
    /// Time without a reader after which a run without a work record is cancelled.
    pub caller_idle: Millis,
    /// Maximum time between two events of an upstream's stream. After it, the connection is treated
    /// as dead.
    pub stream_idle: Millis,
    /// Maximum total size of completed responses retained for callers that reconnect.
    pub kept_answers: ByteSize,
    /// Routing policy.
    pub policy: RoutePolicy,
    /// Whether this node may assign models to upstreams and request instances.
    pub placement: bool,
    /// Time for which a stopping node still accepts requests, so that the load balancer can notice.
    pub balancer_notice: Millis,
    /// Timeout of the graceful shutdown.
    pub stop_timeout: Millis,
    /// Minimum log level.
    pub log_level: log::LevelFilter,
    /// Address of the statsd server, if metrics are enabled.
    pub statsd: Option<SocketAddr>,
}

/// Seed node.
#[derive(Clone, Debug)]
pub struct SeedNode {
    /// Name of the node.
    pub name: NodeName,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// Parses an IP address with a port.
fn parse_address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_parse| {
        SettingsError::new(field, format!("{text:?} is not an IP number with a port"))
    })
}

fn parse_optional_address(
    field: &str,
    text: Option<String>,
) -> Result<Option<SocketAddr>, SettingsError> {
    text.map(|text| parse_address(field, &text)).transpose()
}

fn parse_field<T: std::str::FromStr>(field: &str, text: &str) -> Result<T, SettingsError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| SettingsError::new(field, error))
}

fn check_workers(workers: usize) -> Result<usize, SettingsError> {
    if (1..=WORKERS_MAX).contains(&workers) {
        return Ok(workers);
    }
    let reason = format!("{workers} is not within 1 to {WORKERS_MAX}");
    Err(SettingsError::new("limits.workers", reason))
}

fn check_positive(field: &str, value: Millis) -> Result<Millis, SettingsError> {
    if value.0 > 0 { Ok(value) } else { Err(SettingsError::new(field, "must be at least 1ms")) }
}

fn parse_seeds(raw: Vec<RawSeedNode>) -> Result<Vec<SeedNode>, SettingsError> {
    let mut seeds = Vec::with_capacity(raw.len());
    for (index, seed) in raw.into_iter().enumerate() {
        seeds.push(SeedNode {
            name: parse_field(&format!("node.seeds[{index}].name"), &seed.name)?,
            address: parse_address(&format!("node.seeds[{index}].address"), &seed.address)?,
        });
    }
    Ok(seeds)
}

fn derive_peer_key(secret: &str) -> Result<PeerKey, SettingsError> {
    if secret.len() < PEER_SECRET_MIN_BYTES {
        let reason = format!("must have at least {PEER_SECRET_MIN_BYTES} characters");
        return Err(SettingsError::new("keys.peer_secret", reason));
    }
    Ok(PeerKey::derive(secret))
}

impl TryFrom<RawSettings> for NodeSettings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let listen = raw.listen;
        let level = raw.log.level;
        let log_level = level.parse().map_err(|_parse| {
            let reason = format!("{level:?} is not off, error, warn, info, debug or trace");
            SettingsError::new("log.level", reason)
        })?;
        Ok(Self {
            name: parse_field("node.name", &raw.node.name)?,
            domain: parse_field("node.domain", &raw.node.domain)?,
            instance: raw.node.instance,
            seeds: parse_seeds(raw.node.seeds)?,
            caller_address: parse_address("listen.caller", &listen.caller)?,
            peer_address: parse_address("listen.peer", &listen.peer)?,
            advertise_caller: parse_optional_address(
                "listen.advertise_caller",
                listen.advertise_caller,
            )?,
            advertise_peer: parse_optional_address("listen.advertise_peer", listen.advertise_peer)?,
            platform_address: parse_address("platform.address", &raw.platform.address)?,
            platform_timeout: check_positive("platform.timeout", raw.platform.timeout)?,
            peer_key: derive_peer_key(&raw.keys.peer_secret)?,
            operator_key: parse_field("keys.operator_key_hash", &raw.keys.operator_key_hash)?,
            body_limit: raw.limits.body,
            workers: check_workers(raw.limits.workers)?,
            caller_idle: check_positive("limits.caller_idle", raw.limits.caller_idle)?,
            stream_idle: check_positive("limits.stream_idle", raw.limits.stream_idle)?,
            kept_answers: raw.limits.kept_answers,
            policy: raw.routing.policy,
            placement: raw.routing.placement,
            balancer_notice: raw.stop.balancer_notice,
            stop_timeout: check_positive("stop.bound", raw.stop.bound)?,
            log_level,
            statsd: parse_optional_address("metrics.statsd", raw.metrics.statsd)?,
        })
    }
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns the first invalid field and the reason.
pub fn parse_settings(text: &str) -> Result<NodeSettings, SettingsError> {
    let raw: RawSettings =
        serde_json::from_str(text).map_err(|error| SettingsError::new("settings", error))?;
    NodeSettings::try_from(raw)
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns the path of a file that can't be read, or the first invalid field, and the reason.
pub fn load_settings(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::new(&path.display().to_string(), error))?;
    parse_settings(&text)
}
