//! Messages of the platform: table service, object store and cloud API.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DomainName, MachineClass, RowVersion, ServiceName, UpstreamId},
    upstream::{MarketKind, UpstreamKind, UpstreamListing},
};

/// Condition of a transaction on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have. Zero means that it must not exist.
    pub version: RowVersion,
}

/// Write of a transaction to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Transaction: all writes take effect at once if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions.
    pub conditions: Vec<RowCondition>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

/// Row as read. Versions of a key never repeat, also when it is deleted in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Key of the row.
    pub key: String,
    /// Version, zero where the row does not exist.
    pub version: RowVersion,
    /// Value, `None` where the row does not exist.
    pub value: Option<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionOutcome {
    /// It took effect, and all written rows have this version.
    Committed {
        /// New version of the written rows.
        version: RowVersion,
    },
    /// It did not take effect. Holds the rows whose conditions failed, as they are.
    Conflict {
        /// Rows whose conditions failed.
        rows: Vec<VersionedRow>,
    },
}

/// Read of rows by key and by prefix of the key. All rows are of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRead {
    /// Keys.
    pub keys: Vec<String>,
    /// Prefixes.
    pub prefixes: Vec<String>,
}

/// Rows that a read found. Absent rows are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReadResult {
    /// Sorted by key.
    pub rows: Vec<VersionedRow>,
}

impl TableReadResult {
    /// Finds the row of `key`.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&VersionedRow> {
        self.rows.iter().find(|row| row.key == key)
    }
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Starting, not yet serving.
    Starting,
    /// Serving.
    Live,
    /// Under a reclaim notice or a stop.
    Leaving,
}

/// What runs on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A node of the system.
    Node,
}

/// One instance of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Incarnation of the instance.
    pub id: UpstreamId,
    /// What runs there.
    pub role: InstanceRole,
    /// Name of the service, for services.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Host and port.
    pub address: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// How it is sold.
    pub market: MarketKind,
    /// Price in millionths an hour.
    pub price: u64,
    /// State.
    pub state: InstanceState,
}

impl InstanceRow {
    /// Converts the row of an upstream. Nodes and starting instances are none.
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
            market: self.market,
            price: self.price,
            leaving: self.state == InstanceState::Leaving,
        })
    }
}

/// Reclaim notice, which does not lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Instance that is reclaimed.
    pub id: UpstreamId,
    /// Milliseconds until it is gone.
    pub left_ms: u64,
}

/// Answer to a look at the cloud API.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudSnapshot {
    /// Instances, as of some time ago.
    pub instances: Vec<InstanceRow>,
    /// Notices that run.
    pub notices: Vec<ReclaimNotice>,
}

/// Order for a new instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Token of the order: the same token never starts a second instance.
    pub token: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// How it is bought.
    pub market: MarketKind,
}

/// Answer to a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartOutcome {
    /// The instance starts.
    Started {
        /// Its id.
        id: UpstreamId,
    },
    /// There is no capacity.
    Refused {
        /// Why.
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
    /// How it is bought.
    pub market: MarketKind,
    /// Price in millionths an hour.
    pub price: u64,
}
