//! Configuration change protocol: a new declaration is staged, acknowledged by the members, then
//! accepted.
//!
//! [`RESTRICT_AFTER`] after it acknowledged a stage, a member admits only requests that both
//! versions treat alike, until it knows the outcome. A member that did not acknowledge stops
//! admitting once no member that knows of the stage answers it, see [`crate::freshness`].
//! Therefore a stage is accepted when all members acknowledged it, or when the members that did not
//! are too few to be a majority by themselves and [`SILENCE_TIMEOUT`] has passed since the last
//! acknowledgement.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    declaration::{Declaration, DeclarationError},
    freshness::SILENCE_TIMEOUT,
    ids::{ConfigVersion, NodeName, RowVersion, WorkspaceName},
    platform_api::{RowCondition, RowWrite},
    rows::{CONFIG_KEY, ConfigRow, STAGED_CONFIG_KEY, StagedConfigRow, history_key},
};

/// Time from its acknowledgement of a stage after which a member admits only requests that both
/// versions treat alike.
pub const RESTRICT_AFTER: Duration = Duration::from_secs(2);
/// Time for which the coordinator waits for acknowledgements before it drops the stage.
pub const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two pushes to a member that has not answered.
pub const PUSH_PERIOD: Duration = Duration::from_millis(200);
/// Time for which the coordinator waits until the members have put the accepted version in force.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Declaration in force on this node.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// Accepted row.
    pub row: Arc<ConfigRow>,
    /// Validated declaration of the row.
    pub declaration: Arc<Declaration>,
}

/// Stage that this node acknowledged and whose outcome it does not know.
#[derive(Clone, Debug)]
struct AcknowledgedStage {
    stage: StagedConfigRow,
    stage_version: RowVersion,
    declaration: Declaration,
    acknowledged_at: Instant,
}

/// Response of a member to a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageResponse {
    /// The member acknowledges the stage.
    Acknowledged,
    /// The member must first fetch the version that precedes the staged one.
    Behind,
    /// The stage is obsolete: its outcome is known to the member, or the member has that version or
    /// a newer one in force.
    Superseded,
}

/// Configuration state of a member: the version in force, the acknowledged stage and what other
/// nodes advertise.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    in_force: Option<ConfigInForce>,
    staged: Option<AcknowledgedStage>,
    /// Newest stage whose outcome this node knows.
    settled_stage: RowVersion,
    /// Newest version that other nodes advertised.
    advertised_version: ConfigVersion,
    /// Newest stage that other nodes advertised, with the time of receipt.
    advertised_stage: Option<(RowVersion, Instant)>,
}

impl ConfigState {
    /// Returns the configuration in force, if any.
    #[must_use]
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or zero before the first one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |config| config.row.version)
    }

    /// Returns the row version of the acknowledged stage whose outcome is unknown, or zero.
    #[must_use]
    pub fn stage_version(&self) -> RowVersion {
        self.staged.as_ref().map_or(RowVersion(0), |staged| staged.stage_version)
    }

    /// Returns the acknowledged stage whose outcome is unknown, if any.
    #[must_use]
    pub fn staged(&self) -> Option<&StagedConfigRow> {
        self.staged.as_ref().map(|staged| &staged.stage)
    }

    /// Puts an accepted row in force if it is newer than the current one. Returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns the invalid field. Accepted rows were validated before, so an error means that nodes
    /// of different releases validate differently.
    pub fn apply_accepted(&mut self, row: ConfigRow) -> Result<bool, DeclarationError> {
        if self.in_force.is_some() && row.version <= self.version() {
            return Ok(false);
        }
        let declaration = Declaration::try_from(row.declaration.clone())?;
        if self.staged.as_ref().is_some_and(|staged| staged.stage.config.version <= row.version) {
            self.settled_stage = self.settled_stage.max(self.stage_version());
            self.staged = None;
        }
        self.in_force =
            Some(ConfigInForce { row: Arc::new(row), declaration: Arc::new(declaration) });
        Ok(true)
    }

    /// Acknowledges a stage of row version `stage_version`, or tells why not.
    ///
    /// # Errors
    ///
    /// Returns the field that this node rejects as invalid.
    pub fn apply_stage(
        &mut self,
        stage: StagedConfigRow,
        stage_version: RowVersion,
        now: Instant,
    ) -> Result<StageResponse, DeclarationError> {
        if stage.config.version <= self.version() {
            return Ok(StageResponse::Superseded);
        }
        if self.in_force.is_none() || stage.config.version > self.version().next() {
            return Ok(StageResponse::Behind);
        }
        let known = self.staged.as_ref().map(|staged| staged.stage_version);
        if known.is_some_and(|known| known >= stage_version) {
            return Ok(StageResponse::Acknowledged);
        }
        if stage_version <= self.settled_stage {
            return Ok(StageResponse::Superseded);
        }
        let declaration = Declaration::try_from(stage.config.declaration.clone())?;
        self.staged =
            Some(AcknowledgedStage { stage, stage_version, declaration, acknowledged_at: now });
        Ok(StageResponse::Acknowledged)
    }

    /// Drops the stage of row version `stage_version` and any older one, which were not accepted.
    pub fn apply_dropped(&mut self, stage_version: RowVersion) {
        self.settled_stage = self.settled_stage.max(stage_version);
        if self.stage_version() <= stage_version {
            self.staged = None;
        }
        if self.advertised_stage.is_some_and(|(advertised, _)| advertised <= stage_version) {
            self.advertised_stage = None;
        }
    }

    /// Applies a consistent read of the accepted row and the stage, sent to the table at
    /// `sent_at`.
    ///
    /// The acknowledged stage is cleared only by a read that was sent after the acknowledgement,
    /// since an earlier read may have preceded the stage.
    ///
    /// # Errors
    ///
    /// Returns the invalid field.
    pub fn apply_table_read(
        &mut self,
        accepted: Option<ConfigRow>,
        staged: Option<(StagedConfigRow, RowVersion)>,
        sent_at: Instant,
        now: Instant,
    ) -> Result<bool, DeclarationError> {
        let row = accepted.unwrap_or_else(empty_config);
        let read_version = row.version;
        let changed = self.apply_accepted(row)?;
        match staged {
            Some((stage, version)) => {
                self.apply_stage(stage, version, now)?;
            }
            // A read older than the version in force does not reflect the current stage.
            None if read_version == self.version() => self.clear_stages_before(sent_at),
            None => {}
        }
        Ok(changed)
    }

    /// Clears the acknowledged and the advertised stage if they are older than `sent_at`.
    fn clear_stages_before(&mut self, sent_at: Instant) {
        if self.staged.as_ref().is_some_and(|staged| staged.acknowledged_at < sent_at) {
            self.settled_stage = self.settled_stage.max(self.stage_version());
            self.staged = None;
        }
        if self.advertised_stage.is_some_and(|(_, at)| at < sent_at) {
            self.advertised_stage = None;
        }
    }

    /// Records the version and stage that another node advertised at `now`.
    pub fn record_advertised(&mut self, version: ConfigVersion, stage: RowVersion, now: Instant) {
        self.advertised_version = self.advertised_version.max(version);
        let known = self.advertised_stage.map_or(RowVersion(0), |(advertised, _)| advertised);
        let settled = self.settled_stage.max(self.stage_version());
        if stage > settled && stage >= known {
            self.advertised_stage = Some((stage, now));
        }
    }

    /// Whether other nodes advertised a version or stage that this node must fetch before it admits
    /// requests.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let stage = self.advertised_stage.map_or(RowVersion(0), |(advertised, _)| advertised);
        let settled = self.settled_stage.max(self.stage_version());
        self.advertised_version > self.version() || stage > settled
    }

    /// Whether the configuration state permits admitting a request of `workspace` at `now`.
    #[must_use]
    pub fn admits(&self, workspace: &WorkspaceName, now: Instant) -> bool {
        let Some(config) = &self.in_force else { return false };
        if self.is_behind() {
            return false;
        }
        let Some(staged) = &self.staged else { return true };
        let waited = now.saturating_duration_since(staged.acknowledged_at);
        waited < RESTRICT_AFTER
            || config.declaration.is_equivalent_for(&staged.declaration, workspace)
    }
}

/// Returns the configuration before the first change, which declares nothing.
#[must_use]
pub fn empty_config() -> ConfigRow {
    ConfigRow {
        version: ConfigVersion(0),
        change: String::new(),
        author: String::new(),
        note: String::new(),
        accepted_at: 0,
        declaration: crate::declaration::RawDeclaration::default(),
    }
}

/// Conditions and writes of one transaction of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrites {
    /// Conditions on rows.
    pub conditions: Vec<RowCondition>,
    /// Writes to rows.
    pub writes: Vec<RowWrite>,
}

/// Returns the transaction that stages a change on top of the accepted row at `config_version`.
///
/// # Panics
///
/// Never, since rows always serialize.
#[must_use]
pub fn stage_writes(stage: &StagedConfigRow, config_version: RowVersion) -> ConditionalWrites {
    ConditionalWrites {
        conditions: vec![
            RowCondition { key: CONFIG_KEY.to_owned(), version: config_version },
            RowCondition { key: STAGED_CONFIG_KEY.to_owned(), version: RowVersion(0) },
        ],
        writes: vec![RowWrite {
            key: STAGED_CONFIG_KEY.to_owned(),
            value: Some(serde_json::to_string(stage).expect("rows always serialize")),
        }],
    }
}

/// Returns the transaction that accepts a stage of row version `stage_version`.
///
/// # Panics
///
/// Never, since rows always serialize.
#[must_use]
pub fn accept_writes(
    stage: &StagedConfigRow,
    stage_version: RowVersion,
    config_version: RowVersion,
) -> ConditionalWrites {
    let value = serde_json::to_string(&stage.config).expect("rows always serialize");
    ConditionalWrites {
        conditions: vec![
            RowCondition { key: CONFIG_KEY.to_owned(), version: config_version },
            RowCondition { key: STAGED_CONFIG_KEY.to_owned(), version: stage_version },
        ],
        writes: vec![
            RowWrite { key: CONFIG_KEY.to_owned(), value: Some(value.clone()) },
            RowWrite { key: history_key(stage.config.version), value: Some(value) },
            RowWrite { key: STAGED_CONFIG_KEY.to_owned(), value: None },
        ],
    }
}

/// Returns the transaction that drops a stage of row version `stage_version`.
#[must_use]
pub fn drop_writes(stage_version: RowVersion) -> ConditionalWrites {
    ConditionalWrites {
        conditions: vec![RowCondition {
            key: STAGED_CONFIG_KEY.to_owned(),
            version: stage_version,
        }],
        writes: vec![RowWrite { key: STAGED_CONFIG_KEY.to_owned(), value: None }],
    }
}

/// Progress of one member in a change.
#[derive(Clone, Debug)]
struct MemberProgress {
    member: NodeName,
    acknowledged: bool,
    in_force: bool,
    pushed_at: Option<Instant>,
}

/// Next action of the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Push the stage to these members.
    PushStage(Vec<NodeName>),
    /// Commit the transaction that accepts the stage.
    Accept,
    /// Drop the stage, since these members did not acknowledge it.
    Drop(Vec<NodeName>),
    /// Push the accepted row to these members.
    PushAccepted(Vec<NodeName>),
    /// The change is complete. These members have not confirmed that it is in force there. Until
    /// then, they admit at most requests that it treats like the version before.
    Finish(Vec<NodeName>),
    /// Nothing to do at this time.
    Wait,
}

/// Phase of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangePhase {
    CollectingAcks,
    Committing,
    Propagating,
    Ended,
}

/// Change that this node coordinates, after its stage was committed.
#[derive(Debug)]
pub struct ChangeRound {
    /// Sorted by member, without duplicates.
    progress: Vec<MemberProgress>,
    phase: ChangePhase,
    staged_at: Instant,
    /// Time of the last acknowledgement.
    last_ack_at: Instant,
    accepted_at: Option<Instant>,
}

impl ChangeRound {
    /// Starts to collect acknowledgements of `members`, as read after the stage was committed at
    /// `now`. The coordinator `own` counts as having acknowledged.
    #[must_use]
    pub fn new(members: &[NodeName], own: &NodeName, now: Instant) -> Self {
        let mut progress: Vec<MemberProgress> = members
            .iter()
            .map(|member| MemberProgress {
                member: member.clone(),
                acknowledged: member == own,
                in_force: false,
                pushed_at: None,
            })
            .collect();
        progress.sort_by(|a, b| a.member.cmp(&b.member));
        progress.dedup_by(|a, b| a.member == b.member);
        Self {
            progress,
            phase: ChangePhase::CollectingAcks,
            staged_at: now,
            last_ack_at: now,
            accepted_at: None,
        }
    }

    fn progress_of(&mut self, member: &NodeName) -> Option<&mut MemberProgress> {
        let at = self.progress.binary_search_by(|row| row.member.cmp(member)).ok()?;
        Some(&mut self.progress[at])
    }

    /// Records that `member` acknowledged the stage.
    pub fn record_acknowledged(&mut self, member: &NodeName, now: Instant) {
        let Some(row) = self.progress_of(member) else { return };
        if !row.acknowledged {
            row.acknowledged = true;
            row.pushed_at = None;
            self.last_ack_at = now;
        }
    }

    /// Records that `member` has the version in force.
    pub fn record_in_force(&mut self, member: &NodeName) {
        if let Some(row) = self.progress_of(member) {
            row.in_force = true;
        }
    }

    /// Records that `member` left the cluster gracefully and therefore admits nothing.
    pub fn record_left(&mut self, member: &NodeName) {
        self.progress.retain(|row| row.member != *member);
    }

    /// Records that the accepting transaction was committed.
    pub fn record_accepted(&mut self, now: Instant) {
        self.phase = ChangePhase::Propagating;
        self.accepted_at = Some(now);
        for row in &mut self.progress {
            row.pushed_at = None;
        }
    }

    /// Returns the members that have not acknowledged.
    #[must_use]
    pub fn missing(&self) -> Vec<NodeName> {
        self.members_where(|row| !row.acknowledged)
    }

    fn members_where(&self, filter: impl Fn(&MemberProgress) -> bool) -> Vec<NodeName> {
        self.progress.iter().filter(|row| filter(row)).map(|row| row.member.clone()).collect()
    }

    /// Advances the change and returns the action to take at `now`.
    pub fn step(&mut self, now: Instant) -> ChangeStep {
        match self.phase {
            ChangePhase::CollectingAcks => self.step_collecting_acks(now),
            ChangePhase::Propagating => self.step_propagating(now),
            ChangePhase::Committing | ChangePhase::Ended => ChangeStep::Wait,
        }
    }

    fn step_collecting_acks(&mut self, now: Instant) -> ChangeStep {
        let missing = self.missing();
        let silent = now.saturating_duration_since(self.last_ack_at) >= SILENCE_TIMEOUT;
        if missing.is_empty() || (silent && missing.len() * 2 <= self.progress.len()) {
            self.phase = ChangePhase::Committing;
            return ChangeStep::Accept;
        }
        if now.saturating_duration_since(self.staged_at) >= ACKNOWLEDGE_TIMEOUT {
            self.phase = ChangePhase::Ended;
            return ChangeStep::Drop(missing);
        }
        let due = self.due(now, |row| !row.acknowledged);
        if due.is_empty() { ChangeStep::Wait } else { ChangeStep::PushStage(due) }
    }

    fn step_propagating(&mut self, now: Instant) -> ChangeStep {
        let missing = self.members_where(|row| !row.in_force);
        let timed_out = self
            .accepted_at
            .is_some_and(|at| now.saturating_duration_since(at) >= PROPAGATION_TIMEOUT);
        // Members that never acknowledged may have failed for good, so the change does not wait for
        // them.
        let awaited = self.members_where(|row| !row.in_force && row.acknowledged);
        if awaited.is_empty() || timed_out {
            self.phase = ChangePhase::Ended;
            return ChangeStep::Finish(missing);
        }
        let due = self.due(now, |row| !row.in_force);
        if due.is_empty() { ChangeStep::Wait } else { ChangeStep::PushAccepted(due) }
    }

    fn due(&mut self, now: Instant, filter: impl Fn(&MemberProgress) -> bool) -> Vec<NodeName> {
        let mut due = Vec::new();
        for row in self.progress.iter_mut().filter(|row| filter(row)) {
            let waited = row.pushed_at.map(|at| now.saturating_duration_since(at));
            if waited.is_none_or(|waited| waited >= PUSH_PERIOD) {
                row.pushed_at = Some(now);
                due.push(row.member.clone());
            }
        }
        due
    }
}
