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
