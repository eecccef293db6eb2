//! Change of the declaration: staged, acknowledged by the members, then accepted.
//!
//! A member that acknowledged a stage admits, [`HOLD_AFTER`] later, only requests that both
//! versions treat alike, until it has learnt the outcome. A member that did not acknowledge
//! admits nothing once nobody who knows of the stage answers it, see [`crate::freshness`]. So a
//! stage is accepted when all members acknowledged it, or when those that did not are too few to
//! be a majority by themselves and [`SILENCE_TIMEOUT`] has passed.

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

/// Time after its acknowledgement at which a member holds back what the versions treat apart.
pub const HOLD_AFTER: Duration = Duration::from_secs(2);
/// Time after which a stage that was not accepted is dropped.
pub const GATHER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two pushes to a member that has not answered.
pub const PUSH_PERIOD: Duration = Duration::from_millis(200);
/// Time for which the accepting node waits until all members have the version in force.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Declaration in force on this node.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// The row as accepted.
    pub row: Arc<ConfigRow>,
    /// The declaration of the row, checked.
    pub declaration: Arc<Declaration>,
}

/// Stage that this node acknowledged.
#[derive(Clone, Debug)]
struct StageHeld {
    stage: StagedConfigRow,
    stage_version: RowVersion,
    declaration: Declaration,
    acknowledged_at: Instant,
}

/// Answer of a member to a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageAnswer {
    /// Acknowledged.
    Acknowledged,
    /// The member lacks the version before the staged one and must learn it first.
    Behind,
    /// The member has that version or a newer one in force.
    Passed,
}

/// What a member knows of declarations.
#[derive(Clone, Debug, Default)]
pub struct ConfigHolding {
    in_force: Option<ConfigInForce>,
    staged: Option<StageHeld>,
    /// Newest stage that this node knows to be settled.
    settled_stage: RowVersion,
    /// Newest version that others mentioned.
    rumoured_version: ConfigVersion,
    /// Newest stage that others mentioned, and when.
    rumoured_stage: Option<(RowVersion, Instant)>,
}

impl ConfigHolding {
    /// Borrows what is in force, if anything.
    #[must_use]
    pub fn in_force(&self) -> Option<&ConfigInForce> {
        self.in_force.as_ref()
    }

    /// Version in force, zero before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |config| config.row.version)
    }

    /// Row version of the newest stage this node acknowledged and has not seen settled.
    #[must_use]
    pub fn stage_version(&self) -> RowVersion {
        self.staged.as_ref().map_or(RowVersion(0), |held| held.stage_version)
    }

    /// Borrows the stage this node acknowledged and has not seen settled.
    #[must_use]
    pub fn staged(&self) -> Option<&StagedConfigRow> {
        self.staged.as_ref().map(|held| &held.stage)
    }

    /// Puts an accepted row in force if it is newer. Returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns the field that is refused. Accepted rows were checked before, so this means that
    /// nodes of different releases disagree.
    pub fn learn_accepted(&mut self, row: ConfigRow) -> Result<bool, DeclarationError> {
        if self.in_force.is_some() && row.version <= self.version() {
            return Ok(false);
        }
        let declaration = Declaration::try_from(row.declaration.clone())?;
        if self.staged.as_ref().is_some_and(|held| held.stage.config.version <= row.version) {
            self.settled_stage = self.settled_stage.max(self.stage_version());
            self.staged = None;
        }
        self.in_force =
            Some(ConfigInForce { row: Arc::new(row), declaration: Arc::new(declaration) });
        Ok(true)
    }

    /// Takes in a stage of row version `stage_version`.
    ///
    /// # Errors
    ///
    /// Returns the field that this node refuses.
    pub fn learn_stage(
        &mut self,
        stage: StagedConfigRow,
        stage_version: RowVersion,
        now: Instant,
    ) -> Result<StageAnswer, DeclarationError> {
        if stage.config.version <= self.version() {
            return Ok(StageAnswer::Passed);
        }
        if self.in_force.is_none() || stage.config.version > self.version().next() {
            return Ok(StageAnswer::Behind);
        }
        let known = self.staged.as_ref().map(|held| held.stage_version);
        if known.is_some_and(|known| known >= stage_version) {
            return Ok(StageAnswer::Acknowledged);
        }
        if stage_version <= self.settled_stage {
            return Ok(StageAnswer::Passed);
        }
        let declaration = Declaration::try_from(stage.config.declaration.clone())?;
        self.staged = Some(StageHeld { stage, stage_version, declaration, acknowledged_at: now });
        Ok(StageAnswer::Acknowledged)
    }

    /// Drops the stage of row version `stage_version` or an older one, which was not accepted.
    pub fn learn_dropped(&mut self, stage_version: RowVersion) {
        self.settled_stage = self.settled_stage.max(stage_version);
        if self.stage_version() <= stage_version {
            self.staged = None;
        }
        if self.rumoured_stage.is_some_and(|(rumoured, _)| rumoured <= stage_version) {
            self.rumoured_stage = None;
        }
    }

    /// Takes in what the table says: the accepted row and the stage, read at one moment by a
    /// read that was sent at `asked_at`.
    ///
    /// A stage is forgotten only by a read that was sent after this node acknowledged it, since an
    /// older read could not show it.
    ///
    /// # Errors
    ///
    /// Returns the field that is refused.
    pub fn learn_table(
        &mut self,
        accepted: Option<ConfigRow>,
        staged: Option<(StagedConfigRow, RowVersion)>,
        asked_at: Instant,
        now: Instant,
    ) -> Result<bool, DeclarationError> {
        let row = accepted.unwrap_or_else(empty_config);
        let read_version = row.version;
        let changed = self.learn_accepted(row)?;
        match staged {
            Some((stage, version)) => {
                self.learn_stage(stage, version, now)?;
            }
            // A read older than what is in force says nothing of the stage.
            None if read_version == self.version() => self.forget_stage(asked_at),
            None => {}
        }
        Ok(changed)
    }

    /// Drops the stage and the rumour of one, as far as they are older than `asked_at`.
    fn forget_stage(&mut self, asked_at: Instant) {
        if self.staged.as_ref().is_some_and(|held| held.acknowledged_at < asked_at) {
            self.settled_stage = self.settled_stage.max(self.stage_version());
            self.staged = None;
        }
        if self.rumoured_stage.is_some_and(|(_, at)| at < asked_at) {
            self.rumoured_stage = None;
        }
    }

    /// Notes the version and stage that another node mentioned at `now`.
    pub fn note_rumour(&mut self, version: ConfigVersion, stage: RowVersion, now: Instant) {
        self.rumoured_version = self.rumoured_version.max(version);
        let known = self.rumoured_stage.map_or(RowVersion(0), |(rumoured, _)| rumoured);
        let settled = self.settled_stage.max(self.stage_version());
        if stage > settled && stage >= known {
            self.rumoured_stage = Some((stage, now));
        }
    }

    /// Whether others have mentioned something that this node must learn before it admits.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let stage = self.rumoured_stage.map_or(RowVersion(0), |(rumoured, _)| rumoured);
        let settled = self.settled_stage.max(self.stage_version());
        self.rumoured_version > self.version() || stage > settled
    }

    /// Whether a request of `workspace` may be admitted at `now`, as far as versions go.
    #[must_use]
    pub fn admits(&self, workspace: &WorkspaceName, now: Instant) -> bool {
        let Some(config) = &self.in_force else { return false };
        if self.is_behind() {
            return false;
        }
        let Some(held) = &self.staged else { return true };
        let waited = now.saturating_duration_since(held.acknowledged_at);
        waited < HOLD_AFTER || config.declaration.is_equivalent_for(&held.declaration, workspace)
    }
}

/// The configuration before the first change: nothing declared.
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

/// Conditions and writes of one step of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepWrites {
    /// Conditions on rows.
    pub conditions: Vec<RowCondition>,
    /// Writes to rows.
    pub writes: Vec<RowWrite>,
}

/// Writes that stage a change over the accepted row at `config_version`.
///
/// # Panics
///
/// Never, since rows always serialize.
#[must_use]
pub fn stage_writes(stage: &StagedConfigRow, config_version: RowVersion) -> StepWrites {
    StepWrites {
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

/// Writes that accept a stage of row version `stage_version`.
///
/// # Panics
///
/// Never, since rows always serialize.
#[must_use]
pub fn accept_writes(
    stage: &StagedConfigRow,
    stage_version: RowVersion,
    config_version: RowVersion,
) -> StepWrites {
    let value = serde_json::to_string(&stage.config).expect("rows always serialize");
    StepWrites {
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

/// Writes that drop a stage of row version `stage_version`.
#[must_use]
pub fn drop_writes(stage_version: RowVersion) -> StepWrites {
    StepWrites {
        conditions: vec![RowCondition {
            key: STAGED_CONFIG_KEY.to_owned(),
            version: stage_version,
        }],
        writes: vec![RowWrite { key: STAGED_CONFIG_KEY.to_owned(), value: None }],
    }
}

/// One member's part in a change.
#[derive(Clone, Debug)]
struct VoteRow {
    member: NodeName,
    acknowledged: bool,
    in_force: bool,
    pushed_at: Option<Instant>,
}

/// What the coordinator does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeStep {
    /// Push the stage to these members.
    PushStage(Vec<NodeName>),
    /// Commit the acceptance.
    Accept,
    /// Drop the stage, since these members did not acknowledge it.
    Drop(Vec<NodeName>),
    /// Push the accepted row to these members.
    PushAccepted(Vec<NodeName>),
    /// The change is through. These members did not say that they have it in force, and admit
    /// nothing that it treats otherwise until they do.
    Finish(Vec<NodeName>),
    /// Nothing now.
    Wait,
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangePhase {
    Gathering,
    Deciding,
    Announcing,
    Ended,
}

/// Change that this node coordinates, once its stage is committed.
#[derive(Debug)]
pub struct ChangeRound {
    /// Sorted by member, without duplicates.
    votes: Vec<VoteRow>,
    phase: ChangePhase,
    staged_at: Instant,
    /// Time of the last acknowledgement.
    last_vote: Instant,
    accepted_at: Option<Instant>,
}

impl ChangeRound {
    /// Starts to gather from `members`, read after the stage was committed at `now`. The
    /// coordinator `own` has acknowledged.
    #[must_use]
    pub fn new(members: &[NodeName], own: &NodeName, now: Instant) -> Self {
        let mut votes: Vec<VoteRow> = members
            .iter()
            .map(|member| VoteRow {
                member: member.clone(),
                acknowledged: member == own,
                in_force: false,
                pushed_at: None,
            })
            .collect();
        votes.sort_by(|a, b| a.member.cmp(&b.member));
        votes.dedup_by(|a, b| a.member == b.member);
        Self {
            votes,
            phase: ChangePhase::Gathering,
            staged_at: now,
            last_vote: now,
            accepted_at: None,
        }
    }

    fn vote(&mut self, member: &NodeName) -> Option<&mut VoteRow> {
        let at = self.votes.binary_search_by(|row| row.member.cmp(member)).ok()?;
        Some(&mut self.votes[at])
    }

    /// Notes that `member` acknowledged the stage.
    pub fn note_acknowledged(&mut self, member: &NodeName, now: Instant) {
        let Some(vote) = self.vote(member) else { return };
        if !vote.acknowledged {
            vote.acknowledged = true;
            vote.pushed_at = None;
            self.last_vote = now;
        }
    }

    /// Notes that `member` has the version in force.
    pub fn note_in_force(&mut self, member: &NodeName) {
        if let Some(vote) = self.vote(member) {
            vote.in_force = true;
        }
    }

    /// Notes that `member` left in order, and so admits nothing.
    pub fn note_left(&mut self, member: &NodeName) {
        self.votes.retain(|vote| vote.member != *member);
    }

    /// Notes that the acceptance took effect.
    pub fn note_accepted(&mut self, now: Instant) {
        self.phase = ChangePhase::Announcing;
        self.accepted_at = Some(now);
        for vote in &mut self.votes {
            vote.pushed_at = None;
        }
    }

    /// Lists the members that have not acknowledged.
    #[must_use]
    pub fn missing(&self) -> Vec<NodeName> {
        self.names(|vote| !vote.acknowledged)
    }

    fn names(&self, filter: impl Fn(&VoteRow) -> bool) -> Vec<NodeName> {
        self.votes.iter().filter(|vote| filter(vote)).map(|vote| vote.member.clone()).collect()
    }

    /// Decides what to do at `now`.
    pub fn step(&mut self, now: Instant) -> ChangeStep {
        match self.phase {
            ChangePhase::Gathering => self.step_gathering(now),
            ChangePhase::Announcing => self.step_announcing(now),
            ChangePhase::Deciding | ChangePhase::Ended => ChangeStep::Wait,
        }
    }

    fn step_gathering(&mut self, now: Instant) -> ChangeStep {
        let missing = self.missing();
        let silent = now.saturating_duration_since(self.last_vote) >= SILENCE_TIMEOUT;
        if missing.is_empty() || (silent && missing.len() * 2 <= self.votes.len()) {
            self.phase = ChangePhase::Deciding;
            return ChangeStep::Accept;
        }
        if now.saturating_duration_since(self.staged_at) >= GATHER_TIMEOUT {
            self.phase = ChangePhase::Ended;
            return ChangeStep::Drop(missing);
        }
        let due = self.due(now, |vote| !vote.acknowledged);
        if due.is_empty() { ChangeStep::Wait } else { ChangeStep::PushStage(due) }
    }

    fn step_announcing(&mut self, now: Instant) -> ChangeStep {
        let missing = self.names(|vote| !vote.in_force);
        let over = self
            .accepted_at
            .is_some_and(|at| now.saturating_duration_since(at) >= ANNOUNCE_TIMEOUT);
        // Members that never acknowledged may be gone for good, so nobody waits for them.
        let waited_for = self.names(|vote| !vote.in_force && vote.acknowledged);
        if waited_for.is_empty() || over {
            self.phase = ChangePhase::Ended;
            return ChangeStep::Finish(missing);
        }
        let due = self.due(now, |vote| !vote.in_force);
        if due.is_empty() { ChangeStep::Wait } else { ChangeStep::PushAccepted(due) }
    }

    fn due(&mut self, now: Instant, filter: impl Fn(&VoteRow) -> bool) -> Vec<NodeName> {
        let mut due = Vec::new();
        for vote in self.votes.iter_mut().filter(|vote| filter(vote)) {
            let waited = vote.pushed_at.map(|at| now.saturating_duration_since(at));
            if waited.is_none_or(|waited| waited >= PUSH_PERIOD) {
                vote.pushed_at = Some(now);
                due.push(vote.member.clone());
            }
        }
        due
    }
}
