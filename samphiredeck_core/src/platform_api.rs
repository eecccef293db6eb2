//! Messages exchanged with the platform: table service, object store and cloud API.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DomainName, MachineClass, RowVersion, ServiceName, UpstreamId},
    upstream::{PurchaseOption, UpstreamKind, UpstreamListing},
};

/// Precondition of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have. Zero means that it must not exist.
    pub version: RowVersion,
}

/// Write to one row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Atomic transaction: all writes are applied if all conditions hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions that must all hold.
    pub conditions: Vec<RowCondition>,
    /// Writes to apply.
    pub writes: Vec<RowWrite>,
}

/// Row as read, with its version.
///
/// Versions of a key never repeat, even if the row is deleted and created again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Key of the row.
    pub key: String,
    /// Version, or zero if the row does not exist.
    pub version: RowVersion,
    /// Value, or `None` if the row does not exist.
    pub value: Option<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionOutcome {
    /// The transaction was committed.
    Committed {
        /// New version of all written rows.
        version: RowVersion,
    },
    /// The transaction was not applied, since conditions failed.
    Conflict {
        /// Current state of the rows whose conditions failed.
        rows: Vec<VersionedRow>,
    },
}

/// Consistent read of rows by key and by key prefix: all rows are read at the same point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRead {
    /// Keys of single rows.
    pub keys: Vec<String>,
    /// Prefixes of keys.
    pub prefixes: Vec<String>,
}

/// Rows that a read found. Rows that do not exist are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReadResult {
    /// Sorted by key.
    pub rows: Vec<VersionedRow>,
}

impl TableReadResult {
    /// Returns the row of `key`.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&VersionedRow> {
        self.rows.iter().find(|row| row.key == key)
    }
}

/// State of an instance in the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Starting and not serving yet.
    Starting,
    /// Serving.
    Live,
    /// Being reclaimed or stopped.
    Leaving,
}

/// Role of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// A model engine.
    Engine,
    /// An HTTP service other than a model engine.
    Service,
    /// A samphiredeck node.
    Node,
}

/// One instance of the platform's instance list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Id of the instance's incarnation.
    pub id: UpstreamId,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Name of the service, if the role is a service.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Host and port.
    pub address: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// Purchase option of the instance.
    #[serde(rename = "market")]
    pub purchase_option: PurchaseOption,
    /// Price per hour, in millionths of the platform's currency.
    pub price: u64,
    /// State of the instance.
    pub state: InstanceState,
}

impl InstanceRow {
    /// Converts the row to an upstream listing. Returns `None` for nodes and starting instances.
    #[must_use]
    pub fn to_upstream_listing(&self) -> Option<UpstreamListing> {
        let kind = match self.role {
            InstanceRole::Node => return None,
            InstanceRole::Engine => UpstreamKind::Engine,
            InstanceRole::Service => UpstreamKind::Service(self.service.clone()?),
        };
        if self.state == InstanceState::Starting {
            return None;
        }
        Some(UpstreamListing {
            id: self.id.clone(),
            kind,
            address: self.address.clone(),
            domain: self.domain.clone(),
            class: self.class.clone(),
            purchase_option: self.purchase_option,
            price: self.price,
            leaving: self.state == InstanceState::Leaving,
        })
    }
}

/// Notice that an instance is about to be reclaimed. Unlike the instance list, it does not lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Instance to be reclaimed.
    pub id: UpstreamId,
    /// Milliseconds until the instance is reclaimed.
    pub left_ms: u64,
}

/// Response of the cloud API with its instances and reclaim notices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudSnapshot {
    /// Instances. May be out of date.
    pub instances: Vec<InstanceRow>,
    /// Reclaim notices in effect.
    pub notices: Vec<ReclaimNotice>,
}

/// Request to start a new instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Idempotency token: the same token never starts a second instance.
    pub token: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// Purchase option.
    #[serde(rename = "market")]
    pub purchase_option: PurchaseOption,
}

/// Outcome of a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartOutcome {
    /// The instance is starting.
    Started {
        /// Id of the instance.
        id: UpstreamId,
    },
    /// The platform has no capacity for the instance.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
}

/// Price of a machine class in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriceRow {
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// Purchase option.
    #[serde(rename = "market")]
    pub purchase_option: PurchaseOption,
    /// Price per hour, in millionths of the platform's currency.
    pub price: u64,
}
