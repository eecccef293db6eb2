//! Identifier types, validated when they are parsed.

use std::{
    borrow::Cow,
    convert::Infallible,
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

use crate::name_text::{decode_name, encode_name};

/// Maximum length of a name in bytes.
pub(crate) const NAME_MAX_BYTES: usize = 64;

/// Reason why a text is not a valid identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty or longer than the limit.
    #[error("must have 1 to {NAME_MAX_BYTES} bytes, has {0}")]
    Length(usize),
    /// The text contains a character outside `a-z 0-9 - _ .`.
    #[error("holds {0:?}; only a-z, 0-9, '-', '_' and '.' are allowed")]
    Character(char),
    /// The text is not a number of the expected form.
    #[error("{0:?} is not a number of the expected form")]
    Number(String),
}

pub(crate) fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(IdError::Length(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(bad) => Err(IdError::Character(bad)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Identifier of a name of any alphabet and length.
            ///
            /// # Errors
            ///
            /// Fails if no header can carry the name, see [`encode_name`].
            pub fn of_text(text: &str) -> Result<Self, IdError> {
                encode_name(text).map(Self)
            }

            /// Name that this identifier stands for. `None` if it is a hash.
            #[must_use]
            pub fn to_text(&self) -> Option<Cow<'_, str>> {
                decode_name(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_parse| IdError::Number(text.to_owned()))
            }
        }
    };
}

name_type!(
    /// Name of a node. Stays the same across restarts.
    NodeName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a workspace.
    WorkspaceName
);
name_type!(
    /// Name of a model, as callers request it.
    ModelName
);
name_type!(
    /// Name of a declared HTTP service that is not a model engine.
    ServiceName
);
name_type!(
    /// Name of a pool of upstreams that serve the same requests.
    PoolName
);
name_type!(
    /// Id of one incarnation of an upstream, as listed by the platform.
    UpstreamId
);
name_type!(
    /// Name of a machine class of the platform.
    MachineClass
);
name_type!(
    /// Name of an operator.
    OperatorName
);

number_type!(
    /// Number that distinguishes the restarts of a node. Higher is newer.
    Incarnation
);
number_type!(
    /// Version of an accepted declaration. Increases monotonically.
    ConfigVersion
);
number_type!(
    /// Version of a row at the table service. Zero means that the row does not exist.
    RowVersion
);
number_type!(
    /// Fencing token of a lease: each new holder gets a higher one. Upstreams that check it refuse
    /// an older token.
    FencingToken
);

/// Id of a request, which contains the name of the node that first accepted it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    node: NodeName,
    number: u64,
}

impl RequestId {
    /// Creates the id of request `number` of `node`.
    #[must_use]
    pub fn new(node: NodeName, number: u64) -> Self {
        Self { node, number }
    }

    /// Name of the node that first accepted the request.
    #[must_use]
    pub fn accepting_node(&self) -> &NodeName {
        &self.node
    }
}

impl Display for RequestId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}", self.node, self.number)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || IdError::Number(text.chars().take(NAME_MAX_BYTES).collect());
        let (node, number) = text.split_once(':').ok_or_else(bad)?;
        let hex = number.len() == 16
            && number.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if !hex {
            return Err(bad());
        }
        let number = u64::from_str_radix(number, 16).map_err(|_parse| bad())?;
        Ok(Self { node: node.parse()?, number })
    }
}

impl TryFrom<String> for RequestId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

/// Label of the software that an upstream runs. Labels have no order; two upstreams run the same
/// software if and only if their labels are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Label as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for SoftwareVersion {
    /// Keeps labels of up to [`NAME_MAX_BYTES`] and replaces longer ones by their hash, so that
    /// labels of any length can be relayed in datagrams.
    fn from(label: String) -> Self {
        if label.len() <= NAME_MAX_BYTES {
            return Self(label);
        }
        Self(blake3::hash(label.as_bytes()).to_hex().to_string())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(label: &str) -> Result<Self, Self::Err> {
        Ok(Self::from(label.to_owned()))
    }
}

/// Hash of the identifier of a caller's attempt. Identifiers are chosen by callers and may have any
/// length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptKey(u128);

impl AttemptKey {
    /// Hashes the attempt identifier `id`.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_128(id.as_bytes()))
    }

    /// Bytes of the hash.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }
}

impl Display for AttemptKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for AttemptKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let key = u128::from_str_radix(text, 16);
        key.map(Self).map_err(|_parse| IdError::Number(text.chars().take(NAME_MAX_BYTES).collect()))
    }
}

macro_rules! hash_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Bytes of the hash.
            #[must_use]
            pub fn to_bytes(self) -> [u8; 8] {
                self.0.to_le_bytes()
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let hash = u64::from_str_radix(text, 16);
                hash.map(Self)
                    .map_err(|_parse| IdError::Number(text.chars().take(NAME_MAX_BYTES).collect()))
            }
        }
    };
}

hash_type!(
    /// Hash of something that may crash upstreams: of the identifier of a prompt part, which callers
    /// choose, or of a whole request.
    SuspectKey
);

hash_type!(
    /// Hash of an upstream and its start, which names one run of its process.
    RunKey
);

impl SuspectKey {
    /// Bit that tells keys of whole requests from those of prompt parts.
    const REQUEST_BIT: u64 = 1;

    /// Hashes the part identifier `id`.
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) & !Self::REQUEST_BIT)
    }

    /// Hashes a whole request: the texts that tell where it goes and whose it is, and its `body`.
    #[must_use]
    pub fn of_request(texts: &[&str], body: &[u8]) -> Self {
        let seed = texts.iter().fold(0, |seed, text| xxh3_64_with_seed(text.as_bytes(), seed));
        Self(xxh3_64_with_seed(body, seed) | Self::REQUEST_BIT)
    }

    /// Whether this is the key of a whole request.
    #[must_use]
    pub fn is_request(self) -> bool {
        self.0 & Self::REQUEST_BIT != 0
    }
}

impl RunKey {
    /// Hashes the run of `upstream` that started at `started_ms`.
    #[must_use]
    pub fn of(upstream: &UpstreamId, started_ms: Option<u64>) -> Self {
        Self(xxh3_64_with_seed(upstream.as_str().as_bytes(), started_ms.unwrap_or(0)))
    }
}

/// Hash of a bearer key. The key itself is never stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl Display for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_parse| IdError::Number(text.chars().take(NAME_MAX_BYTES).collect()))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
