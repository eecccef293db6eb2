//! Tests of the node's command line. Each invalid setting must give a single line on standard error
//! and exit status 2.

use std::{
    fs,
    io::Write,
    net::TcpListener,
    process::{Command, Output, Stdio},
};

use serde_json::{Value, json};

fn example() -> Value {
    let path = format!("{}/../examples/vakatoka/node.json", env!("CARGO_MANIFEST_DIR"));
    serde_json::from_str(&fs::read_to_string(path).expect("example file")).expect("valid JSON")
}

fn run(args: &[&str], name: &str, text: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("samphiredeck-cli-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("temporary directory");
    let path = dir.join(format!("{name}.json"));
    fs::write(&path, text).expect("settings file written");
    Command::new(env!("CARGO_BIN_EXE_samphiredeck"))
        .args(args)
        .arg(&path)
        .output()
        .expect("node binary starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn example_settings_are_valid() {
    for user in ["vakatoka", "peachstate"] {
        let path = format!("{}/../examples/{user}/node.json", env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path).expect("example file");
        let output = run(&["check"], user, &text);
        assert!(output.status.success(), "{user}: {}", stderr(&output));
    }
}

/// Name of the case, field named in the error, and the change that makes the settings invalid.
type InvalidCase = (&'static str, &'static str, fn(&mut Value));

#[test]
fn error_names_the_invalid_field() {
    let cases: [InvalidCase; 14] = [
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
    for (name, field, invalidate) in cases {
        let mut settings = example();
        invalidate(&mut settings);
        let output = run(&["check"], name, &settings.to_string());
        let stderr = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{name}: {stderr}");
        assert!(stderr.starts_with(&format!("samphiredeck: {field}: ")), "{name}: {stderr}");
        assert_eq!(stderr.trim_end().lines().count(), 1, "{name}: {stderr}");
    }
}

#[test]
fn address_in_use_fails_at_startup() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let mut settings = example();
    settings["listen"]["caller"] = json!(listener.local_addr().expect("local address").to_string());
    settings["listen"]["peer"] = json!("127.0.0.1:0");
    let output = run(&["run"], "in-use", &settings.to_string());
    let stderr = stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.starts_with("samphiredeck: listen.caller: "), "{stderr}");
}

#[test]
fn hash_key_ignores_the_trailing_newline() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_samphiredeck"))
        .arg("hash-key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("node binary starts");
    child
        .stdin
        .take()
        .expect("piped standard input")
        .write_all(b"wharf-key\n")
        .expect("key written");
    let output = child.wait_with_output().expect("node binary exits");
    let hash = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    let text = fs::read_to_string(format!(
        "{}/../examples/vakatoka/declaration.json",
        env!("CARGO_MANIFEST_DIR")
    ));
    assert!(text.expect("example file").contains(&hash), "{hash}");
}
