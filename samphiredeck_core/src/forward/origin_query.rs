//! Decides where a stream began from what this node and the nodes that keep origins know.
//!
//! Answers the fault of a node that is out of step while upstreams of another version join: its list shows one
//! version, and streams that began at the other one are taken up there. What a list shows proves nothing about
//! streams that began after the store returned it, so an inference also needs nodes to which the origin would
//! have been announced, or a list that was queried after the request had arrived.

use crate::{
    forward::stream_origins::{KEEPERS, StreamOrigin},
    ids::SoftwareVersion,
};

/// What a node knows of the versions that may have begun the streams of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionView {
    /// The only version, if the node is certain that there is just one.
    pub only: Option<SoftwareVersion>,
    /// All versions that the node knows of, whether or not it is certain that there are no others.
    pub known: Vec<SoftwareVersion>,
    /// Whether the list was queried after the request had arrived: `known` holds every version that joined
    /// before the stream began and still serves.
    pub is_later: bool,
}

/// What the nodes that keep the origin of a stream replied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeeperReplies {
    /// Number of nodes that were queried.
    pub queried: usize,
    /// Origin that was announced, if any node knows it.
    pub announced: Option<StreamOrigin>,
    /// Versions that nodes inferred, one for each of them.
    pub inferred: Vec<SoftwareVersion>,
    /// Number of nodes that replied and know neither.
    pub unknown: usize,
}

/// Where a stream began, as far as it is certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginDecision {
    /// It began there.
    Known(StreamOrigin),
    /// A list that is queried after the request had arrived may decide.
    NeedsList,
    /// It is not known.
    Unknown,
}

impl KeeperReplies {
    /// Adds the reply of a node.
    pub fn add(&mut self, origin: Option<StreamOrigin>) {
        match origin {
            Some(announced) if announced.pool.is_some() => self.announced = Some(announced),
            Some(inferred) => self.inferred.push(inferred.software),
            None => self.unknown += 1,
        }
    }

    /// Number of nodes that replied.
    #[must_use]
    pub fn count(&self) -> usize {
        usize::from(self.announced.is_some()) + self.inferred.len() + self.unknown
    }

    /// Whether most nodes infer a version, and among them must be one to which an origin would have been
    /// announced.
    fn has_quorum(&self) -> bool {
        let quorum = self.queried.saturating_sub(KEEPERS) + 1;
        self.inferred.len() >= quorum && self.inferred.len() > self.unknown
    }
}

/// Decides where a stream began, given the `view` of this node and the `replies` of others.
#[must_use]
pub fn decide_origin(view: &VersionView, replies: &KeeperReplies) -> OriginDecision {
    if let Some(announced) = &replies.announced {
        return OriginDecision::Known(announced.clone());
    }
    let mut versions = view.only.iter().chain(&replies.inferred);
    let Some(software) = versions.next() else { return OriginDecision::Unknown };
    if versions.chain(&view.known).any(|other| other != software) {
        return OriginDecision::Unknown;
    }
    if view.is_later || replies.has_quorum() {
        return OriginDecision::Known(StreamOrigin { software: software.clone(), pool: None });
    }
    OriginDecision::NeedsList
}
