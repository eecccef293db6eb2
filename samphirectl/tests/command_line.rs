//! The operators' command line: wrong words are told before any node is asked.

use std::process::{Command, Output};

fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_samphirectl"))
        .args(words)
        .env("SAMPHIREDECK_OPERATOR_KEY", "k")
        .env_remove("SAMPHIREDECK_NODES")
        .output()
        .expect("the program runs")
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn wrong_words_are_one_plain_line() {
    let cases: [(&[&str], &str); 3] = [
        (&["nodes"], "node: name one with --node or in SAMPHIREDECK_NODES"),
        (&["--node", "here", "nodes"], "node: \"here\" is no IP number with a port"),
        (
            &["--node", "127.0.0.1:1", "--key-file", "/nowhere", "nodes"],
            "key-file: /nowhere: No such file or directory (os error 2)",
        ),
    ];
    for (words, expected) in cases {
        let output = run(words);
        assert_eq!(output.status.code(), Some(2), "{words:?}");
        assert_eq!(told(&output).trim_end(), format!("samphirectl: {expected}"));
    }
}

#[test]
fn no_node_within_reach_has_an_exit_status_of_its_own() {
    let output = run(&["--node", "127.0.0.1:1", "nodes"]);
    assert_eq!(output.status.code(), Some(5), "{}", told(&output));
}

#[test]
fn a_declaration_with_a_fault_is_refused_before_any_node_is_asked() {
    let path = std::env::temp_dir().join(format!("samphirectl-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"workspaces":[{"name":"Bad Name","keys":[]}]}"#).expect("a file");
    let file = path.display().to_string();
    for verb in ["plan", "apply"] {
        let output = run(&["--node", "127.0.0.1:1", verb, &file]);
        assert_eq!(output.status.code(), Some(2), "{}", told(&output));
        assert!(told(&output).contains("workspaces[0].name: "), "{}", told(&output));
    }
    std::fs::remove_file(path).expect("removed");
}

#[test]
fn the_language_is_listed() {
    let output = run(&["--help"]);
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn explain_puts_the_lines_of_a_request_in_order_after_the_beliefs() {
    let folder = std::env::temp_dir().join(format!("samphirectl-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let log = folder.join("n1.log");
    let lines = [
        r#"{"at_ms":100,"node":"n1","kind":"config","version":3}"#,
        r#"{"at_ms":200,"node":"n1","kind":"config","version":4}"#,
        r#"{"at_ms":210,"node":"n1","kind":"upstream","upstream":"u1","change":"leaving"}"#,
        r#"{"at_ms":220,"node":"n1","kind":"upstream","upstream":"u2","change":"joined"}"#,
        "no line of ours",
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
    beliefs in force:
         -100 ms  n1             config           version=4
          -90 ms  n1             upstream         change="leaving" upstream="u1"
    r1:
           +0 ms  n1             place            upstream="u1"
          +40 ms  n1             end              status=502
    "#);
    let output = run(&["explain", "r9", &log]);
    assert_eq!(output.status.code(), Some(1));
    assert!(told(&output).contains("no line of r9"));
}

#[test]
fn plot_draws_what_logs_tell() {
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
    assert_eq!(output.status.code(), Some(0), "{}", told(&output));
    let text = String::from_utf8_lossy(&output.stdout).replace(&out, "OUT");
    insta::assert_snapshot!(text, @r"
    OUT/first_signs.svg: 2 series, 4 points
    OUT/refusals.svg: 1 series, 1 points
    OUT/capacity.svg: 3 series, 3 points
    5 lines, 4 more were over the rate
    ");
    let drawn = std::fs::read_to_string(folder.join("plots/refusals.svg")).expect("a plot");
    assert!(drawn.starts_with("<svg") && drawn.contains("no route"));
    std::fs::write(folder.join("empty.log"), "nothing of ours").expect("a log");
    let empty = folder.join("empty.log").display().to_string();
    assert_eq!(run(&["plot", "--out", &out, &empty]).status.code(), Some(1));
}
