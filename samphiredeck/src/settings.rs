//! Settings of a node: a tree of small raw structs, checked into typed ones.

use std::{fs, net::SocketAddr, path::Path};

use samphiredeck_core::{
    ids::{DomainName, KeyHash, NodeName},
    route::RoutePolicy,
    units::{ByteSize, Millis},
};
use samphiredeck_wire::auth::PeerKey;
use serde::Deserialize;
use thiserror::Error;

/// Fewest characters of the secret that nodes share.
const PEER_SECRET_MIN_BYTES: usize = 16;
/// Most threads for traffic.
const WORKERS_MAX: usize = 64;

/// Reason why settings are refused.
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

/// Settings as read from the file.
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

/// Node known from the settings, for a start while the table service is down.
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

/// Checked settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// The platform's id of this node's instance, to find its own reclaim notice.
    pub instance: Option<String>,
    /// Nodes to ask while the table service is down.
    pub seeds: Vec<SeedNode>,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address for callers as other nodes should use it.
    pub advertise_caller: Option<SocketAddr>,
    /// Address for nodes as other nodes should use it.
    pub advertise_peer: Option<SocketAddr>,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// Bound on one call to the platform.
    pub platform_timeout: Millis,
    /// Key for traffic between nodes.
    pub peer_key: PeerKey,
    /// Hash of the operators' key.
    pub operator_key: KeyHash,
    /// Largest request body.
    pub body_limit: ByteSize,
    /// Threads for traffic, at least 1.
    pub workers: usize,
    /// Time without a reader after which an answer that nobody recorded is cancelled.
    pub caller_idle: Millis,
    /// Time between two events of an upstream's stream after which the connection counts as dead.
    pub stream_idle: Millis,
    /// Most bytes of finished answers kept for callers that come back.
    pub kept_answers: ByteSize,
    /// How upstreams are chosen.
    pub policy: RoutePolicy,
    /// Whether this node may place models and ask for instances.
    pub placement: bool,
    /// Time for which a stopping node still accepts, until the balancer has noticed.
    pub balancer_notice: Millis,
    /// Bound on the whole stop.
    pub stop_timeout: Millis,
    /// Least level that is logged.
    pub log_level: log::LevelFilter,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
}

/// Node known from the settings.
#[derive(Clone, Debug)]
pub struct SeedNode {
    /// Name of the node.
    pub name: NodeName,
    /// Address for nodes.
    pub address: SocketAddr,
}

/// Parses an IP number with a port.
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

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns the first field that is refused and why.
pub fn parse_settings(text: &str) -> Result<NodeSettings, SettingsError> {
    let raw: RawSettings =
        serde_json::from_str(text).map_err(|error| SettingsError::new("settings", error))?;
    NodeSettings::try_from(raw)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns the file or the first field that is refused and why.
pub fn load_settings(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::new(&path.display().to_string(), error))?;
    parse_settings(&text)
}
