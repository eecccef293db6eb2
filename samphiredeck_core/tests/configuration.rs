//! Contract of configuration changes: staged, acknowledged, accepted, never reverted.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    config_change::{
        ChangeRound, ChangeStep, ConfigHolding, GATHER_TIMEOUT, HOLD_AFTER, StageAnswer,
        empty_config,
    },
    declaration::{RawDeclaration, RawModel, RawWorkspace, parse_declaration},
    freshness::{ConfigFreshness, FRESHNESS_WINDOW, SILENCE_TIMEOUT},
    ids::{ConfigVersion, Incarnation, KeyHash, NodeName, RowVersion, WorkspaceName},
    rows::{ConfigRow, StagedConfigRow},
    units::TokenCount,
};

fn node(name: &str) -> NodeName {
    name.parse().expect("a name")
}

fn workspace(name: &str, weight: u32) -> RawWorkspace {
    RawWorkspace {
        name: name.to_owned(),
        keys: vec![KeyHash::of(name).to_string()],
        weight,
        max_in_flight: 10,
        retry_percent: 10,
        models: vec!["tala-8b".to_owned()],
        services: Vec::new(),
        targets: Vec::new(),
        favour: samphiredeck_core::declaration::OptimizationGoal::default(),
    }
}

fn declaration(weight: u32) -> RawDeclaration {
    RawDeclaration {
        workspaces: vec![workspace("changed", weight), workspace("same", 1)],
        models: vec![RawModel {
            name: "tala-8b".to_owned(),
            version: "1".to_owned(),
            adapter: None,
            max_output: TokenCount(100),
            min_runners: 1,
        }],
        ..RawDeclaration::default()
    }
}

fn config(version: u64, weight: u32) -> ConfigRow {
    ConfigRow {
        version: ConfigVersion(version),
        declaration: declaration(weight),
        ..empty_config()
    }
}

fn stage(version: u64, weight: u32) -> StagedConfigRow {
    StagedConfigRow {
        coordinator: node("a"),
        incarnation: Incarnation(1),
        config: config(version, weight),
    }
}

fn holding(version: u64) -> ConfigHolding {
    let mut holding = ConfigHolding::default();
    holding.learn_accepted(config(version, 1)).expect("sound");
    holding
}

fn name(text: &str) -> WorkspaceName {
    text.parse().expect("a name")
}

#[test]
fn versions_only_rise() {
    let mut holding = holding(3);
    assert!(!holding.learn_accepted(config(2, 9)).expect("sound"));
    assert!(!holding.learn_accepted(config(3, 9)).expect("sound"));
    assert_eq!(holding.version(), ConfigVersion(3));
    assert!(holding.learn_accepted(config(4, 9)).expect("sound"));
    // An older read that comes late changes nothing.
    let now = Instant::now();
    assert!(!holding.learn_table(Some(config(3, 1)), None, now, now).expect("sound"));
    assert_eq!(holding.version(), ConfigVersion(4));
}

#[test]
fn nothing_is_admitted_before_a_first_version() {
    let holding = ConfigHolding::default();
    assert!(!holding.admits(&name("same"), Instant::now()));
}

#[test]
fn after_the_grace_only_what_both_versions_treat_alike_is_admitted() {
    let now = Instant::now();
    let mut holding = holding(1);
    let answer = holding.learn_stage(stage(2, 5), RowVersion(9), now).expect("sound");
    assert_eq!(answer, StageAnswer::Acknowledged);
    assert!(holding.admits(&name("changed"), now));
    let later = now + HOLD_AFTER;
    assert!(!holding.admits(&name("changed"), later));
    assert!(holding.admits(&name("same"), later));
    // A read that was sent before the acknowledgement can't tell that the stage is gone.
    let before = now.checked_sub(Duration::from_millis(1)).expect("not that early");
    holding.learn_table(Some(config(1, 1)), None, before, later).expect("sound");
    assert!(!holding.admits(&name("changed"), later));
    holding.learn_table(Some(config(1, 1)), None, later, later).expect("sound");
    assert!(holding.admits(&name("changed"), later));
}

#[test]
fn a_rumour_of_something_newer_stops_admission_until_it_is_learnt() {
    let now = Instant::now();
    let mut holding = holding(1);
    holding.note_rumour(ConfigVersion(1), RowVersion(9), now);
    assert!(holding.is_behind() && !holding.admits(&name("same"), now));
    holding.learn_stage(stage(2, 5), RowVersion(9), now).expect("sound");
    assert!(!holding.is_behind() && holding.admits(&name("same"), now));
    holding.note_rumour(ConfigVersion(2), RowVersion(0), now);
    assert!(holding.is_behind());
    holding.learn_accepted(config(2, 5)).expect("sound");
    assert!(!holding.is_behind());
    // The stage that was accepted may still be rumoured by others.
    holding.note_rumour(ConfigVersion(2), RowVersion(9), now);
    assert!(!holding.is_behind());
}

#[test]
fn a_stage_that_was_dropped_can_not_come_back() {
    let now = Instant::now();
    let mut holding = holding(1);
    holding.learn_stage(stage(2, 5), RowVersion(9), now).expect("sound");
    holding.learn_dropped(RowVersion(9));
    assert_eq!(
        holding.learn_stage(stage(2, 5), RowVersion(9), now).expect("sound"),
        StageAnswer::Passed
    );
    assert_eq!(
        holding.learn_stage(stage(2, 6), RowVersion(11), now).expect("sound"),
        StageAnswer::Acknowledged
    );
    assert_eq!(
        holding.learn_stage(stage(4, 6), RowVersion(12), now).expect("sound"),
        StageAnswer::Behind
    );
}

fn members(count: usize) -> Vec<NodeName> {
    (0..count).map(|index| node(&format!("n{index}"))).collect()
}

#[test]
fn a_change_is_accepted_when_the_silent_ones_can_not_admit() {
    // Members, acknowledged besides the coordinator, accepted at once, accepted after silence.
    let cases = [
        (1, 0, true, true),
        (2, 1, true, true),
        (2, 0, false, true),
        (3, 2, true, true),
        (3, 1, false, true),
        (3, 0, false, false),
        (5, 4, true, true),
        (5, 2, false, true),
        (5, 1, false, false),
        (9, 8, true, true),
        (9, 4, false, true),
        (9, 3, false, false),
    ];
    for (count, acknowledged, at_once, after_silence) in cases {
        let now = Instant::now();
        let members = members(count);
        let mut round = ChangeRound::new(&members, &members[0], now);
        for member in &members[1..=acknowledged] {
            round.note_acknowledged(member, now);
        }
        let case = (count, acknowledged);
        assert_eq!(round.step(now) == ChangeStep::Accept, at_once, "{case:?}");
        if at_once {
            continue;
        }
        let early = now + SILENCE_TIMEOUT.saturating_sub(Duration::from_millis(1));
        assert_ne!(round.step(early), ChangeStep::Accept, "{case:?} too early");
        let silent = round.step(now + SILENCE_TIMEOUT);
        assert_eq!(silent == ChangeStep::Accept, after_silence, "{case:?}: {silent:?}");
        if !after_silence {
            let missing = members[acknowledged + 1..].to_vec();
            assert_eq!(round.step(now + GATHER_TIMEOUT), ChangeStep::Drop(missing), "{case:?}");
        }
    }
}

#[test]
fn the_wait_for_silence_starts_over_with_each_acknowledgement() {
    let now = Instant::now();
    let members = members(5);
    let mut round = ChangeRound::new(&members, &members[0], now);
    let later = now + Duration::from_secs(2);
    round.note_acknowledged(&members[1], later);
    round.note_acknowledged(&members[2], later);
    assert_ne!(round.step(now + SILENCE_TIMEOUT), ChangeStep::Accept);
    assert_eq!(round.step(later + SILENCE_TIMEOUT), ChangeStep::Accept);
}

#[test]
fn a_member_that_leaves_in_order_is_not_waited_for() {
    let now = Instant::now();
    let members = members(3);
    let mut round = ChangeRound::new(&members, &members[0], now);
    round.note_acknowledged(&members[1], now);
    assert!(matches!(round.step(now), ChangeStep::PushStage(_)));
    round.note_left(&members[2]);
    assert_eq!(round.step(now), ChangeStep::Accept);
}

#[test]
fn a_node_admits_only_while_it_hears_the_table_or_a_majority() {
    let own = node("n0");
    let now = Instant::now();
    let late = now + FRESHNESS_WINDOW;
    // Members, others that answered, fresh.
    for (count, answered, fresh) in [
        (1, 0, true),
        (2, 0, false),
        (2, 1, true),
        (3, 1, true),
        (5, 1, false),
        (5, 2, true),
        (9, 3, false),
        (9, 4, true),
    ] {
        let mut gate = ConfigFreshness::default();
        assert!(!gate.is_fresh(&own, now), "nothing is known yet");
        let members = members(count);
        gate.set_members(members.clone());
        for member in &members[1..=answered] {
            gate.record_member_reply(member, now);
        }
        assert_eq!(gate.is_fresh(&own, now), fresh, "{count} members, {answered} answered");
        if count > 1 {
            assert!(!gate.is_fresh(&own, late), "contacts lapse");
        }
        gate.record_table_read(now);
        assert!(gate.is_fresh(&own, now));
    }
}

#[test]
fn declarations_with_a_fault_name_the_field() {
    let cases = [
        ("{", "declaration"),
        (r#"{"workspace":[]}"#, "declaration"),
        (r#"{"workspaces":[{"name":"A","keys":[]}]}"#, "workspaces[0].name"),
        (r#"{"workspaces":[{"name":"a","keys":["x"]}]}"#, "workspaces[0].keys"),
        (r#"{"workspaces":[{"name":"a","keys":[],"weight":0}]}"#, "workspaces[0].weight"),
        (r#"{"workspaces":[{"name":"a","keys":[],"models":["m"]}]}"#, "workspaces[0].models"),
        (r#"{"workspaces":[{"name":"a","keys":[],"services":["s"]}]}"#, "workspaces[0].services"),
        (r#"{"workspaces":[{"name":"a","keys":[]},{"name":"a","keys":[]}]}"#, "workspaces"),
        (r#"{"models":[{"name":"m","version":"","max_output":5}]}"#, "models[0].version"),
        (r#"{"models":[{"name":"m","version":"1","max_output":0}]}"#, "models[0].max_output"),
        (
            r#"{"services":[{"name":"s","path_prefix":"x","repeatable":true}]}"#,
            "services[0].path_prefix",
        ),
        (
            r#"{"services":[{"name":"s","path_prefix":"/v1/","repeatable":true}]}"#,
            "services[0].path_prefix",
        ),
        (
            r#"{"workspaces":[{"name":"a","keys":[],"targets":[{"class":"urgent","first_token":"0ms","between_tokens":"1ms","share_permille":5}]}]}"#,
            "workspaces[0].targets",
        ),
        (r#"{"drained":["UP"]}"#, "drained[0]"),
    ];
    for (text, field) in cases {
        let error = parse_declaration(text).expect_err(text).to_string();
        assert!(error.starts_with(&format!("{field}: ")), "{text}: {error}");
    }
}
