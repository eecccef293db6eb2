//! Command line for operators: invalid arguments and declarations are reported before any node is
//! contacted, and `explain` and `plot` read logs.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_samphirectl"))
        .args(args)
        .env("SAMPHIREDECK_OPERATOR_KEY", "k")
        .env_remove("SAMPHIREDECK_NODES")
        .output()
        .expect("the program runs")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn invalid_arguments_are_reported_in_one_line() {
    let cases: [(&[&str], &str); 6] = [
        (&["suspects"], "at: give the metrics address of a node"),
        (&["suspects", "--at", "x:1"], "at: \"x:1\" is not an IP address with a port"),
        (
            &["suspects", "--at", "127.0.0.1:1", "--release", "part"],
            "release: \"part\" is not a number of the expected form",
        ),
        (&["nodes"], "node: give an address with --node or in SAMPHIREDECK_NODES"),
        (&["--node", "here", "nodes"], "node: \"here\" is not an IP address with a port"),
        (
            &["--node", "127.0.0.1:1", "--key-file", "/nowhere", "nodes"],
            "key-file: /nowhere: No such file or directory (os error 2)",
        ),
    ];
    for (args, expected) in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert_eq!(stderr_text(&output).trim_end(), format!("samphirectl: {expected}"));
    }
}

#[test]
fn unreachable_nodes_have_an_exit_status_of_their_own() {
    let output = run(&["--node", "127.0.0.1:1", "nodes"]);
    assert_eq!(output.status.code(), Some(5), "{}", stderr_text(&output));
}

#[test]
fn an_invalid_declaration_is_refused_before_any_node_is_contacted() {
    let path = std::env::temp_dir().join(format!("samphirectl-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"workspaces":[{"name":"Bad Name","keys":[]}]}"#).expect("a file");
    let file = path.display().to_string();
    for command in ["plan", "apply"] {
        let output = run(&["--node", "127.0.0.1:1", command, &file]);
        assert_eq!(output.status.code(), Some(2), "{}", stderr_text(&output));
        assert!(stderr_text(&output).contains("workspaces[0].name: "), "{}", stderr_text(&output));
    }
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn help_lists_the_commands() {
    let output = run(&["--help"]);
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn explain_prints_node_state_before_the_ordered_lines_of_a_request() {
    let folder = std::env::temp_dir().join(format!("samphirectl-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let log = folder.join("n1.log");
    let lines = [
        r#"{"at_ms":100,"node":"n1","kind":"config","version":3}"#,
        r#"{"at_ms":200,"node":"n1","kind":"config","version":4}"#,
        r#"{"at_ms":210,"node":"n1","kind":"upstream","upstream":"u1","change":"leaving"}"#,
        r#"{"at_ms":220,"node":"n1","kind":"upstream","upstream":"u2","change":"joined"}"#,
        r#"{"at_ms":230,"node":"n1","kind":"upstream-limit","upstream":"u1","change":"named","rate":1.5}"#,
        r#"{"at_ms":240,"node":"n1","kind":"upstream-limit","upstream":"u2","change":"named","rate":2.5}"#,
        "not a line of a node",
        r#"{"at_ms":340,"node":"n1","kind":"end","request":"r1","status":502}"#,
        r#"collector: {"at_ms":300,"node":"n1","kind":"place","request":"r1","upstream":"u1"}"#,
        r#"{"at_ms":320,"node":"n1","kind":"place","request":"r2","upstream":"u2"}"#,
        r#"{"at_ms":400,"node":"n1","kind":"config","version":5}"#,
    ];
    std::fs::write(&log, lines.join("\n")).expect("a log");
    let log = log.display().to_string();
    let output = run(&["explain", "r1", &log]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout), @r#"
    node state:
         -100 ms  n1             config           version=4
          -90 ms  n1             upstream         change="leaving" upstream="u1"
          -70 ms  n1             upstream-limit   change="named" rate=1.5 upstream="u1"
    r1:
           +0 ms  n1             place            upstream="u1"
          +40 ms  n1             end              status=502
    "#);
    let output = run(&["explain", "r9", &log]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("no line of r9"));
}

#[test]
fn plot_draws_the_events_in_logs() {
    let folder = std::env::temp_dir().join(format!("samphirectl-plot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let log = folder.join("n1.log");
    let lines = [
        r#"{"at_ms":1000,"node":"n1","kind":"start"}"#,
        r#"{"at_ms":1500,"node":"n1","kind":"end","route":"r","outcome":"served","reason":"","first_ms":80}"#,
        r#"{"at_ms":2600,"node":"n1","kind":"end","route":"r","outcome":"served","reason":"","first_ms":120}"#,
        r#"{"at_ms":2700,"node":"n1","kind":"end","outcome":"refused","reason":"no route","left_out":4}"#,
        r#"{"at_ms":2800,"node":"n1","kind":"capacity","pool":"p","need":3.5,"stock":[["a",2,1],["b",1,0]]}"#,
    ];
    std::fs::write(&log, lines.join("\n")).expect("a log");
    let (out, log) = (folder.join("plots").display().to_string(), log.display().to_string());
    let output = run(&["plot", "--out", &out, &log]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    let text = String::from_utf8_lossy(&output.stdout).replace(&out, "OUT");
    insta::assert_snapshot!(text, @r"
    OUT/first_signs.svg: 2 series, 4 points
    OUT/refusals.svg: 1 series, 1 points
    OUT/capacity.svg: 3 series, 3 points
    5 lines, 4 more dropped by the rate limit
    ");
    let drawn = std::fs::read_to_string(folder.join("plots/refusals.svg")).expect("a plot");
    assert!(drawn.starts_with("<svg") && drawn.contains("no route"));
    std::fs::write(folder.join("empty.log"), "no line of a node").expect("a log");
    let empty = folder.join("empty.log").display().to_string();
    assert_eq!(run(&["plot", "--out", &out, &empty]).status.code(), Some(1));
}
