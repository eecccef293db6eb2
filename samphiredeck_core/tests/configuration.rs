//! Tests of configuration changes, configuration freshness and the validation of declarations.
//!
//! A version is staged, acknowledged by the members and accepted. It is never reverted.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    config_change::{
        ACKNOWLEDGE_TIMEOUT, ChangeRound, ChangeStep, ConfigState, RESTRICT_AFTER, StageResponse,
        empty_config,
    },
    declaration::{RawDeclaration, RawModel, RawWorkspace, parse_declaration},
    freshness::{ConfigFreshness, FRESHNESS_WINDOW, SILENCE_TIMEOUT},
    ids::{ConfigVersion, Incarnation, KeyHash, NodeName, RowVersion, WorkspaceName},
    rows::{ConfigRow, StagedConfigRow},
    units::TokenCount,
};

fn node(name: &str) -> NodeName {
    name.parse().expect("valid name")
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
        optimization_goal: samphiredeck_core::declaration::OptimizationGoal::default(),
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

fn state_at(version: u64) -> ConfigState {
    let mut state = ConfigState::default();
    state.apply_accepted(config(version, 1)).expect("valid configuration");
    state
}

fn name(text: &str) -> WorkspaceName {
    text.parse().expect("valid name")
}

#[test]
fn versions_increase_monotonically() {
    let mut state = state_at(3);
    assert!(!state.apply_accepted(config(2, 9)).expect("valid configuration"));
    assert!(!state.apply_accepted(config(3, 9)).expect("valid configuration"));
    assert_eq!(state.version(), ConfigVersion(3));
    assert!(state.apply_accepted(config(4, 9)).expect("valid configuration"));
    // A delayed read with an older version changes nothing.
    let now = Instant::now();
    assert!(
        !state.apply_table_read(Some(config(3, 1)), None, now, now).expect("valid configuration")
    );
    assert_eq!(state.version(), ConfigVersion(4));
}

#[test]
fn nothing_is_admitted_before_the_first_version() {
    let state = ConfigState::default();
    assert!(!state.admits(&name("same"), Instant::now()));
}

#[test]
fn after_the_restriction_delay_only_workspaces_with_equal_rules_are_admitted() {
    let now = Instant::now();
    let mut state = state_at(1);
    let response = state.apply_stage(stage(2, 5), RowVersion(9), now).expect("valid configuration");
    assert_eq!(response, StageResponse::Acknowledged);
    assert!(state.admits(&name("changed"), now));
    let later = now + RESTRICT_AFTER;
    assert!(!state.admits(&name("changed"), later));
    assert!(state.admits(&name("same"), later));
    // A read that was sent before the acknowledgement does not prove that the stage was dropped.
    let before =
        now.checked_sub(Duration::from_millis(1)).expect("clock started more than 1 ms ago");
    state.apply_table_read(Some(config(1, 1)), None, before, later).expect("valid configuration");
    assert!(!state.admits(&name("changed"), later));
    state.apply_table_read(Some(config(1, 1)), None, later, later).expect("valid configuration");
    assert!(state.admits(&name("changed"), later));
}

#[test]
fn a_newer_version_known_to_a_peer_stops_admission_until_it_is_known() {
    let now = Instant::now();
    let mut state = state_at(1);
    state.record_advertised(ConfigVersion(1), RowVersion(9), now);
    assert!(state.is_behind() && !state.admits(&name("same"), now));
    state.apply_stage(stage(2, 5), RowVersion(9), now).expect("valid configuration");
    assert!(!state.is_behind() && state.admits(&name("same"), now));
    state.record_advertised(ConfigVersion(2), RowVersion(0), now);
    assert!(state.is_behind());
    state.apply_accepted(config(2, 5)).expect("valid configuration");
    assert!(!state.is_behind());
    // Other nodes may still report the stage that has been accepted.
    state.record_advertised(ConfigVersion(2), RowVersion(9), now);
    assert!(!state.is_behind());
}

#[test]
fn a_dropped_stage_is_not_acknowledged_again() {
    let now = Instant::now();
    let mut state = state_at(1);
    state.apply_stage(stage(2, 5), RowVersion(9), now).expect("valid configuration");
    state.apply_dropped(RowVersion(9));
    assert_eq!(
        state.apply_stage(stage(2, 5), RowVersion(9), now).expect("valid configuration"),
        StageResponse::Superseded
    );
    assert_eq!(
        state.apply_stage(stage(2, 6), RowVersion(11), now).expect("valid configuration"),
        StageResponse::Acknowledged
    );
    assert_eq!(
        state.apply_stage(stage(4, 6), RowVersion(12), now).expect("valid configuration"),
        StageResponse::Behind
    );
}

fn members(count: usize) -> Vec<NodeName> {
    (0..count).map(|index| node(&format!("n{index}"))).collect()
}

#[test]
fn a_change_is_accepted_when_the_silent_members_can_not_admit() {
    // Members, acknowledgements besides the coordinator's, accepted at once, accepted after the
    // silence timeout.
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
            round.record_acknowledged(member, now);
        }
        let case = (count, acknowledged);
        assert_eq!(round.step(now) == ChangeStep::Accept, at_once, "{case:?}");
        if at_once {
            continue;
        }
        let early = now + SILENCE_TIMEOUT.saturating_sub(Duration::from_millis(1));
        assert_ne!(round.step(early), ChangeStep::Accept, "{case:?}: before the silence timeout");
        let silent = round.step(now + SILENCE_TIMEOUT);
        assert_eq!(silent == ChangeStep::Accept, after_silence, "{case:?}: {silent:?}");
        if !after_silence {
            let missing = members[acknowledged + 1..].to_vec();
            assert_eq!(
                round.step(now + ACKNOWLEDGE_TIMEOUT),
                ChangeStep::Drop(missing),
                "{case:?}"
            );
        }
    }
}

#[test]
fn each_acknowledgement_restarts_the_silence_timeout() {
    let now = Instant::now();
    let members = members(5);
    let mut round = ChangeRound::new(&members, &members[0], now);
    let later = now + Duration::from_secs(2);
    round.record_acknowledged(&members[1], later);
    round.record_acknowledged(&members[2], later);
    assert_ne!(round.step(now + SILENCE_TIMEOUT), ChangeStep::Accept);
    assert_eq!(round.step(later + SILENCE_TIMEOUT), ChangeStep::Accept);
}

#[test]
fn a_member_that_left_gracefully_is_not_waited_for() {
    let now = Instant::now();
    let members = members(3);
    let mut round = ChangeRound::new(&members, &members[0], now);
    round.record_acknowledged(&members[1], now);
    assert!(matches!(round.step(now), ChangeStep::PushStage(_)));
    round.record_left(&members[2]);
    assert_eq!(round.step(now), ChangeStep::Accept);
}

#[test]
fn a_node_admits_only_while_in_contact_with_the_table_or_a_majority() {
    let own = node("n0");
    let now = Instant::now();
    let late = now + FRESHNESS_WINDOW;
    // Members, other members that answered, whether the node is fresh.
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
        let mut freshness = ConfigFreshness::default();
        assert!(!freshness.is_fresh(&own, now), "no contact yet");
        let members = members(count);
        freshness.set_members(members.clone());
        for member in &members[1..=answered] {
            freshness.record_member_reply(member, now);
        }
        assert_eq!(freshness.is_fresh(&own, now), fresh, "{count} members, {answered} answered");
        if count > 1 {
            assert!(!freshness.is_fresh(&own, late), "contacts expire");
        }
        freshness.record_table_read(now);
        assert!(freshness.is_fresh(&own, now));
    }
}

#[test]
fn invalid_declarations_are_rejected_with_the_field_name() {
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
