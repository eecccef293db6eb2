//! The node's command line: each fault of the settings is one plain line and exit status 2.

use std::{
    fs,
    io::Write,
    net::TcpListener,
    process::{Command, Output, Stdio},
};

use serde_json::{Value, json};

fn example() -> Value {
    let path = format!("{}/../examples/vakatoka/node.json", env!("CARGO_MANIFEST_DIR"));
    serde_json::from_str(&fs::read_to_string(path).expect("the example is there")).expect("JSON")
}

fn run(words: &[&str], name: &str, text: &str) -> Output {
    let folder = std::env::temp_dir().join(format!("samphiredeck-cli-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, text).expect("a file");
    Command::new(env!("CARGO_BIN_EXE_samphiredeck"))
        .args(words)
        .arg(&path)
        .output()
        .expect("the program runs")
}

fn message(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_examples_are_sound() {
    for user in ["vakatoka", "peachstate"] {
        let path = format!("{}/../examples/{user}/node.json", env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path).expect("the example is there");
        let output = run(&["check"], user, &text);
        assert!(output.status.success(), "{user}: {}", message(&output));
    }
}

/// Name of the case, field that is told, and what breaks the settings.
type FaultCase = (&'static str, &'static str, fn(&mut Value));

#[test]
fn each_fault_names_its_field() {
    let cases: [FaultCase; 14] = [
        ("name", "node.name", |v| v["node"]["name"] = json!("Entry 1")),
        ("domain", "node.domain", |v| v["node"]["domain"] = json!("")),
        ("unknown", "settings", |v| v["node"]["zone"] = json!("x")),
        ("missing", "settings", |v| drop(v.as_object_mut().expect("an object").remove("keys"))),
        ("caller", "listen.caller", |v| v["listen"]["caller"] = json!("localhost:80")),
        ("peer", "listen.peer", |v| v["listen"]["peer"] = json!("127.0.0.1")),
        ("platform", "platform.address", |v| v["platform"]["address"] = json!("platform")),
        ("unit", "settings", |v| v["platform"]["timeout"] = json!("5 parsecs")),
        ("zero", "platform.timeout", |v| v["platform"]["timeout"] = json!("0ms")),
        ("secret", "keys.peer_secret", |v| v["keys"]["peer_secret"] = json!("short")),
        ("hash", "keys.operator_key_hash", |v| v["keys"]["operator_key_hash"] = json!("xyz")),
        ("workers", "limits.workers", |v| v["limits"]["workers"] = json!(0)),
        ("level", "log.level", |v| v["log"]["level"] = json!("loud")),
        ("seed", "node.seeds[0].address", |v| v["node"]["seeds"][0]["address"] = json!("x")),
    ];
    for (name, field, break_it) in cases {
        let mut settings = example();
        break_it(&mut settings);
        let output = run(&["check"], name, &settings.to_string());
        let told = message(&output);
        assert_eq!(output.status.code(), Some(2), "{name}: {told}");
        assert!(told.starts_with(&format!("samphiredeck: {field}: ")), "{name}: {told}");
        assert_eq!(told.trim_end().lines().count(), 1, "{name}: {told}");
    }
}

#[test]
fn an_address_in_use_is_told_before_anything_starts() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut settings = example();
    settings["listen"]["caller"] = json!(taken.local_addr().expect("bound").to_string());
    settings["listen"]["peer"] = json!("127.0.0.1:0");
    let output = run(&["run"], "in-use", &settings.to_string());
    let told = message(&output);
    assert_eq!(output.status.code(), Some(2), "{told}");
    assert!(told.starts_with("samphiredeck: listen.caller: "), "{told}");
}

#[test]
fn a_key_is_hashed_without_its_line_end() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_samphiredeck"))
        .arg("hash-key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    child.stdin.take().expect("piped").write_all(b"wharf-key\n").expect("written");
    let output = child.wait_with_output().expect("it ends");
    let hash = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    let text = fs::read_to_string(format!(
        "{}/../examples/vakatoka/declaration.json",
        env!("CARGO_MANIFEST_DIR")
    ));
    assert!(text.expect("the example is there").contains(&hash), "{hash}");
}
