//! Runs `briarctl` against a node in the test process.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

use briarswitch_node::{Node, SettingsLayers};
use briarswitch_standins::PlatformStandin;
use googletest::prelude::*;

const MODEL: &str = r#"{"pool": "p", "model": {"vms_per_replica": 2, "replicas_per_zone": 1}}"#;

struct TestNode {
    platform: PlatformStandin,
    inner: Node,
    _runtime: tokio::runtime::Runtime,
}

impl TestNode {
    fn start() -> Self {
        let platform = PlatformStandin::spawn("127.0.0.1:0").expect("a platform");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let mut layers = SettingsLayers::with_defaults();
        for service in ["table", "objects", "vms", "weights"] {
            layers.add_flag(&format!("platform.{service}=http://{}", platform.address()));
        }
        layers.add_flag("operator_token=operator");
        layers.add_flag("control.platform_timeout_ms=500");
        let settings = layers.build().expect("valid settings");
        let node = runtime.block_on(Node::spawn(settings)).expect("a node");
        Self {
            platform,
            inner: node,
            _runtime: runtime,
        }
    }

    fn run(&self, arguments: &[&str], input: &str) -> Output {
        let mut child = Command::new(env!("CARGO_BIN_EXE_briarctl"))
            .arg("--node")
            .arg(self.inner.addresses().operators.to_string())
            .args(["--token", "operator"])
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("briarctl runs");
        let mut stdin = child.stdin.take().expect("a standard input");
        stdin
            .write_all(input.as_bytes())
            .expect("the input is written");
        drop(stdin);
        child.wait_with_output().expect("briarctl exits")
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    out + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn edits_are_accepted_refused_conflicting_or_unknown() {
    let node = TestNode::start();
    let create = ["deployment", "create", "lm", "--file", "-"];
    let accepted = node.run(&create, MODEL);
    assert_that!(text(&accepted), contains_substring("accepted as version 1"));
    assert_that!(code(&accepted), eq(0));

    let conflict = node.run(&create, MODEL);
    assert_that!(
        text(&conflict),
        contains_substring("edit again with --base 1")
    );
    assert_that!(code(&conflict), eq(4));

    let rules = r#"[{"name": "a", "then": {"route": {"deployment": "nowhere"}}},
                    {"name": "a", "when": {"percent": 101}, "then": {"reject": {"message": "no"}}}]"#;
    let refused = node.run(&["rules", "set", "--file", "-"], rules);
    assert_that!(
        text(&refused),
        contains_substring("rules[0].then.deployment")
    );
    assert_that!(text(&refused), contains_substring("rules[1].when.percent"));
    assert_that!(text(&refused), contains_substring("rules[1].name"));
    assert_that!(code(&refused), eq(3));

    node.platform.update_faults(|faults| faults.is_down = true);
    let create = ["organisation", "create", "kayal", "--key", "secret"];
    let unknown = node.run(&create, "");
    assert_that!(code(&unknown), eq(5));
    let shown = text(&unknown);
    let write = shown
        .trim()
        .rsplit(' ')
        .next()
        .expect("a write id")
        .to_owned();
    let unsettled = node.run(&["settle", &write], "");
    assert_that!(code(&unsettled), eq(5));
    node.platform.update_faults(|faults| faults.is_down = false);
    let void = node.run(&["settle", &write], "");
    assert_that!(text(&void), contains_substring("never will be"));
    assert_that!(code(&void), eq(3));
}

#[test]
fn entities_are_listed_shown_and_deleted() {
    let node = TestNode::start();
    node.run(&["deployment", "create", "lm", "--file", "-"], MODEL);
    let listed = node.run(&["deployment", "list"], "");
    assert_that!(text(&listed), contains_substring("lm    1"));
    let shown = node.run(&["--json", "deployment", "show", "lm"], "");
    let json: serde_json::Value = serde_json::from_str(&text(&shown)).expect("JSON");
    assert_that!(json["version"].as_u64(), some(eq(1)));
    let missing = node.run(&["deployment", "show", "other"], "");
    assert_that!(
        text(&missing),
        contains_substring("briarctl deployment list")
    );
    assert_that!(code(&missing), eq(7));
    let deleted = node.run(&["deployment", "delete", "lm"], "");
    assert_that!(text(&deleted), contains_substring("accepted as version 2"));
}

#[test]
fn rule_trials_report_the_failed_conditions() {
    let node = TestNode::start();
    node.run(&["deployment", "create", "lm", "--file", "-"], MODEL);
    let rules = r#"[
      {"name": "fin", "when": {"header": {"name": "x-task", "value": "fin"}},
       "then": {"route": {"deployment": "lm", "priority": 9}}},
      {"name": "half", "when": {"asked": "lm", "percent": 50},
       "then": {"route": {"deployment": "lm"}}}]"#;
    node.run(&["rules", "set", "--file", "-"], rules);
    let first = node.run(
        &["rules", "try", "--asked", "lm", "--header", "X-Task=fin"],
        "",
    );
    assert_that!(text(&first), contains_substring("fin: matches"));
    let second = node.run(&["rules", "try", "--asked", "lm", "--draw", "49"], "");
    assert_that!(
        text(&second),
        contains_substring("fin: does not match on header")
    );
    assert_that!(text(&second), contains_substring("half: matches"));
    let none = node.run(&["rules", "try", "--asked", "lm", "--draw", "50"], "");
    assert_that!(
        text(&none),
        contains_substring("half: does not match on percent")
    );
    assert_that!(text(&none), contains_substring("no rule matches"));
}

#[test]
fn error_messages_suggest_the_next_step() {
    let node = TestNode::start();
    let unreachable = Command::new(env!("CARGO_BIN_EXE_briarctl"))
        .args(["--node", "127.0.0.1:1", "status"])
        .output()
        .expect("briarctl runs");
    assert_that!(
        text(&unreachable),
        contains_substring("try another node with --node")
    );
    assert_that!(code(&unreachable), eq(6));
    let unauthorized = Command::new(env!("CARGO_BIN_EXE_briarctl"))
        .arg("--node")
        .arg(node.inner.addresses().operators.to_string())
        .args(["--token", "wrong", "status"])
        .output()
        .expect("briarctl runs");
    assert_that!(text(&unauthorized), contains_substring("BRIARCTL_TOKEN"));
    assert_that!(text(&unauthorized), not(contains_substring("wrong")));
    let no_document = node.run(&["deployment", "create", "lm"], "");
    assert_that!(text(&no_document), contains_substring("--file"));
    assert_that!(code(&no_document), eq(2));
    for verb in ["status", "plan", "usage", "dump"] {
        assert_that!(code(&node.run(&[verb], "")), eq(0));
    }
}
