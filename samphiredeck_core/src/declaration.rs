//! Validated declarations, the configuration that operators keep in version control.

mod raw;

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{IdError, KeyHash, ModelName, ServiceName, UpstreamId, WorkspaceName},
    units::{Millis, TokenCount},
};

pub use self::raw::{
    FencingMode, OptimizationGoal, RawDeclaration, RawModel, RawService, RawTarget, RawWorkspace,
};

/// Maximum number of workspaces in one declaration.
pub const WORKSPACES_MAX: usize = 4_096;
/// Maximum weight of a workspace.
const WEIGHT_MAX: u32 = 1_000;
/// Maximum retry budget, in percent of first attempts.
const RETRY_PERCENT_MAX: u32 = 100;
/// Maximum latency target.
const LATENCY_TARGET_MAX: Millis = Millis(600_000);

/// Priority class of a request. Earlier variants have higher priority.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Interactive: a person waits for the first token.
    Urgent,
    /// A program waits for the complete response.
    #[default]
    Prompt,
    /// Background work that must complete. Recorded durably before it is accepted.
    Patient,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Prompt, Self::Patient];

    /// Index of the class in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Prompt => 1,
            Self::Patient => 2,
        }
    }

    /// Name as written in declarations and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Prompt => "prompt",
            Self::Patient => "patient",
        }
    }
}

impl Display for PriorityClass {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PriorityClass {
    type Err = DeclarationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|class| class.as_str() == text).ok_or_else(|| {
            DeclarationError::new("class", format!("{text:?} is not urgent, prompt or patient"))
        })
    }
}

/// Reason why a declaration or one of its fields is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct DeclarationError {
    field: String,
    reason: String,
}

impl DeclarationError {
    fn new(field: impl Into<String>, reason: impl Display) -> Self {
        Self { field: field.into(), reason: reason.to_string() }
    }
}

/// Validated declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declaration {
    /// Sorted by name, without duplicates.
    workspaces: Vec<Workspace>,
    /// Sorted by name, without duplicates.
    models: Vec<Model>,
    /// Sorted by path prefix, without duplicates.
    services: Vec<Service>,
    /// Key hash and index into `workspaces`. Sorted by hash, without duplicates.
    keys: Vec<(KeyHash, usize)>,
    fencing: FencingMode,
    /// Sorted, without duplicates.
    drained: Vec<UpstreamId>,
}

/// Validated workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Weight for sharing capacity among workspaces, at least 1.
    pub weight: u32,
    /// Maximum number of requests in flight on one node, at least 1.
    pub max_in_flight: u32,
    /// Retry budget, in percent of first attempts.
    pub retry_percent: u32,
    /// Sorted, without duplicates. Each is declared.
    pub models: Vec<ModelName>,
    /// Sorted, without duplicates. Each is declared.
    pub services: Vec<ServiceName>,
    /// Latency target of each class, indexed by [`PriorityClass::index`].
    pub targets: [LatencyTarget; 3],
    /// What routing optimizes for.
    pub optimization_goal: OptimizationGoal,
    /// Sorted hashes of the bearer keys.
    pub keys: Vec<KeyHash>,
}

/// Latency target of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTarget {
    /// Maximum time to the first token.
    pub first_token: Duration,
    /// Maximum time between tokens.
    pub between_tokens: Duration,
    /// Share of responses that must meet the target, in tenths of a percent.
    pub share_permille: u32,
}

impl LatencyTarget {
    /// Default target of a class that the declaration does not list.
    #[must_use]
    pub fn default_for(class: PriorityClass) -> Self {
        let (first, between) = match class {
            PriorityClass::Urgent => (370, 28),
            PriorityClass::Prompt => (2_000, 60),
            PriorityClass::Patient => (120_000, 1_000),
        };
        Self {
            first_token: Duration::from_millis(first),
            between_tokens: Duration::from_millis(between),
            share_permille: 950,
        }
    }
}

/// Validated model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Version to serve.
    pub version: String,
    /// Adapter applied to the model.
    pub adapter: Option<String>,
    /// Maximum number of tokens in one response, at least 1.
    pub max_output: TokenCount,
    /// Minimum number of engines that have the model loaded.
    pub min_runners: u32,
}

/// Validated service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Starts and ends with `/`.
    pub path_prefix: String,
    /// Whether a call may safely be sent more than once.
    pub repeatable: bool,
}

impl Declaration {
    /// Returns the workspace that the bearer key with hash `key` belongs to.
    #[must_use]
    pub fn authenticate(&self, key: KeyHash) -> Option<&Workspace> {
        let at = self.keys.binary_search_by_key(&key, |(hash, _)| *hash).ok()?;
        Some(&self.workspaces[self.keys[at].1])
    }

    /// Lists the workspaces, sorted by name.
    #[must_use]
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Lists the models, sorted by name.
    #[must_use]
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// Lists the services, sorted by path prefix.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Whether engines check fencing tokens.
    #[must_use]
    pub fn fencing(&self) -> FencingMode {
        self.fencing
    }

    /// Lists the upstreams that receive no new requests.
    #[must_use]
    pub fn drained(&self) -> &[UpstreamId] {
        &self.drained
    }

    /// Returns the workspace `name`.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let at = self.workspaces.binary_search_by_key(&name, |row| &row.name).ok()?;
        Some(&self.workspaces[at])
    }

    /// Returns the model `name`.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        let at = self.models.binary_search_by_key(&name, |row| &row.name).ok()?;
        Some(&self.models[at])
    }

    /// Returns the service that `path` is routed to. The longest matching prefix wins.
    #[must_use]
    pub fn service_for_path(&self, path: &str) -> Option<&Service> {
        self.services
            .iter()
            .filter(|row| path.starts_with(&row.path_prefix))
            .max_by_key(|row| row.path_prefix.len())
    }

    /// Whether both declarations treat requests of `workspace` in the same way.
    #[must_use]
    pub fn is_equivalent_for(&self, other: &Self, workspace: &WorkspaceName) -> bool {
        let (Some(own), Some(others)) = (self.workspace(workspace), other.workspace(workspace))
        else {
            return false;
        };
        let models = own.models.iter().all(|name| self.model(name) == other.model(name));
        let rest = self.services == other.services && self.drained == other.drained;
        own == others && models && rest
    }
}

impl Workspace {
    /// Whether the workspace may call `model`.
    #[must_use]
    pub fn may_call_model(&self, model: &ModelName) -> bool {
        self.models.binary_search(model).is_ok()
    }

    /// Whether the workspace may call `service`.
    #[must_use]
    pub fn may_call_service(&self, service: &ServiceName) -> bool {
        self.services.binary_search(service).is_ok()
    }
}

impl TryFrom<RawDeclaration> for Declaration {
    type Error = DeclarationError;

    fn try_from(raw: RawDeclaration) -> Result<Self, Self::Error> {
        if raw.workspaces.len() > WORKSPACES_MAX {
            let reason = format!("more than {WORKSPACES_MAX}");
            return Err(DeclarationError::new("workspaces", reason));
        }
        let models = check_models(raw.models)?;
        let services = check_services(raw.services)?;
        let mut workspaces = Vec::with_capacity(raw.workspaces.len());
        for (index, row) in raw.workspaces.iter().enumerate() {
            workspaces.push(check_workspace(index, row, &models, &services)?);
        }
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        reject_duplicates("workspaces", workspaces.iter().map(|row| row.name.as_str()))?;
        let keys = collect_keys(&workspaces)?;
        let drained = check_drained(raw.drained)?;
        Ok(Self { workspaces, models, services, keys, fencing: raw.fencing, drained })
    }
}

/// Parses and validates a JSON declaration.
///
/// # Errors
///
/// Returns the first invalid field and the reason.
pub fn parse_declaration(text: &str) -> Result<Declaration, DeclarationError> {
    let raw: RawDeclaration =
        serde_json::from_str(text).map_err(|error| DeclarationError::new("declaration", error))?;
    Declaration::try_from(raw)
}

/// Returns an error if two adjacent names of a sorted list are equal.
fn reject_duplicates<'a>(
    field: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), DeclarationError> {
    let mut last = None;
    for name in names {
        if last == Some(name) {
            return Err(DeclarationError::new(field, format!("{name:?} is declared twice")));
        }
        last = Some(name);
    }
    Ok(())
}

fn check_models(raw: Vec<RawModel>) -> Result<Vec<Model>, DeclarationError> {
    let mut models = Vec::with_capacity(raw.len());
    for (index, row) in raw.into_iter().enumerate() {
        let at = |field: &str| format!("models[{index}].{field}");
        let name = row.name.parse().map_err(|error| DeclarationError::new(at("name"), error))?;
        if row.max_output.0 == 0 {
            return Err(DeclarationError::new(at("max_output"), "must be at least 1"));
        }
        if row.version.is_empty() {
            return Err(DeclarationError::new(at("version"), "must not be empty"));
        }
        models.push(Model {
            name,
            version: row.version,
            adapter: row.adapter,
            max_output: row.max_output,
            min_runners: row.min_runners,
        });
    }
    models.sort_by(|a, b| a.name.cmp(&b.name));
    reject_duplicates("models", models.iter().map(|row| row.name.as_str()))?;
    Ok(models)
}

fn check_services(raw: Vec<RawService>) -> Result<Vec<Service>, DeclarationError> {
    let mut services = Vec::with_capacity(raw.len());
    for (index, row) in raw.into_iter().enumerate() {
        let at = |field: &str| format!("services[{index}].{field}");
        let name = row.name.parse().map_err(|error| DeclarationError::new(at("name"), error))?;
        let prefix = row.path_prefix;
        if !(prefix.starts_with('/') && prefix.ends_with('/') && prefix.len() > 2) {
            let reason = format!("{prefix:?} must start and end with '/' and name a path");
            return Err(DeclarationError::new(at("path_prefix"), reason));
        }
        if prefix.starts_with("/v1/") || prefix.starts_with("/admin/") {
            let reason = format!("{prefix:?} belongs to the system itself");
            return Err(DeclarationError::new(at("path_prefix"), reason));
        }
        services.push(Service { name, path_prefix: prefix, repeatable: row.repeatable });
    }
    services.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
    reject_duplicates("services", services.iter().map(|row| row.path_prefix.as_str()))?;
    Ok(services)
}

fn check_workspace(
    index: usize,
    raw: &RawWorkspace,
    models: &[Model],
    services: &[Service],
) -> Result<Workspace, DeclarationError> {
    let at = |field: &str| format!("workspaces[{index}].{field}");
    let name = raw.name.parse().map_err(|error| DeclarationError::new(at("name"), error))?;
    check_range(at("weight"), raw.weight, 1, WEIGHT_MAX)?;
    check_range(at("max_in_flight"), raw.max_in_flight, 1, u32::MAX)?;
    check_range(at("retry_percent"), raw.retry_percent, 0, RETRY_PERCENT_MAX)?;
    let mut allowed = Vec::new();
    for model in &raw.models {
        let known = models.binary_search_by(|row| row.name.as_str().cmp(model));
        let row = known.map_err(|_absent| {
            DeclarationError::new(at("models"), format!("{model:?} is not declared"))
        })?;
        allowed.push(models[row].name.clone());
    }
    allowed.sort();
    allowed.dedup();
    let mut usable = Vec::new();
    for service in &raw.services {
        let row = services.iter().find(|row| row.name.as_str() == service).ok_or_else(|| {
            DeclarationError::new(at("services"), format!("{service:?} is not declared"))
        })?;
        usable.push(row.name.clone());
    }
    usable.sort();
    usable.dedup();
    let mut keys = Vec::new();
    for key in &raw.keys {
        keys.push(key.parse().map_err(|error| DeclarationError::new(at("keys"), error))?);
    }
    keys.sort();
    keys.dedup();
    let targets = check_targets(&at("targets"), &raw.targets)?;
    Ok(Workspace {
        name,
        weight: raw.weight,
        max_in_flight: raw.max_in_flight,
        retry_percent: raw.retry_percent,
        models: allowed,
        services: usable,
        targets,
        optimization_goal: raw.optimization_goal,
        keys,
    })
}

fn check_drained(raw: Vec<String>) -> Result<Vec<UpstreamId>, DeclarationError> {
    let mut drained = Vec::with_capacity(raw.len());
    for (index, id) in raw.into_iter().enumerate() {
        let at = format!("drained[{index}]");
        drained.push(id.try_into().map_err(|error: IdError| DeclarationError::new(at, error))?);
    }
    drained.sort();
    drained.dedup();
    Ok(drained)
}

fn check_range(field: String, value: u32, low: u32, high: u32) -> Result<(), DeclarationError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(DeclarationError::new(field, format!("{value} is not within {low} to {high}")))
}

fn check_targets(field: &str, raw: &[RawTarget]) -> Result<[LatencyTarget; 3], DeclarationError> {
    let mut targets = PriorityClass::ALL.map(LatencyTarget::default_for);
    for row in raw {
        let within = |value: Millis| value.0 >= 1 && value <= LATENCY_TARGET_MAX;
        if !within(row.first_token) || !within(row.between_tokens) {
            let reason = format!("{}: must be 1ms to {LATENCY_TARGET_MAX}", row.class);
            return Err(DeclarationError::new(field, reason));
        }
        if row.share_permille == 0 || row.share_permille >= 1_000 {
            let reason = format!("{}: share_permille must be 1 to 999", row.class);
            return Err(DeclarationError::new(field, reason));
        }
        targets[row.class.index()] = LatencyTarget {
            first_token: row.first_token.to_duration(),
            between_tokens: row.between_tokens.to_duration(),
            share_permille: row.share_permille,
        };
    }
    Ok(targets)
}

fn collect_keys(workspaces: &[Workspace]) -> Result<Vec<(KeyHash, usize)>, DeclarationError> {
    let mut keys: Vec<(KeyHash, usize)> = Vec::new();
    for (index, row) in workspaces.iter().enumerate() {
        keys.extend(row.keys.iter().map(|key| (*key, index)));
    }
    keys.sort_unstable();
    if let Some(pair) = keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let name = &workspaces[pair[1].1].name;
        let reason = format!("a key of {name} belongs to another workspace too");
        return Err(DeclarationError::new("workspaces", reason));
    }
    Ok(keys)
}
