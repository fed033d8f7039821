//! Runs the adapter as a process: complete rounds, and malformed input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const ATTACH: &str = r#"{"type":"attach","courier":3,"rng_seed":1,"env":{"news":[1],"categories":[{"name":"c","aim":1000000000,"give_up":9000000000,"effect":"read_like"}],"shapes":["k"],"zones":["z"],"extra":{"max_calls":4}}}"#;
const LIST: &str = r#"{"type":"register","page":0,"lines":[{"endpoint":8,"rack_zone":"z","flavor":"k","cell":57,"condition":"active"}]}
{"type":"peers_known","courier":3,"scope":"whole","serial":1,"page":0}"#;
const REQUEST: &str =
    r#"{"type":"req","courier":3,"handle":9,"service":"c","dest":57,"patience_left":9000000000}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_slatethread-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit on an error before it has read all of the input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn round(events: &[&str]) -> String {
    let head = r#"{"type":"round","now":1000000000}"#;
    format!("{head}\n{}\n{{\"type\":\"go\"}}\n", events.join("\n"))
}

fn failure(input: &str) -> String {
    let output = run(input);
    assert!(!output.status.success(), "an error must show in the exit code");
    String::from_utf8(output.stderr).expect("plain text")
}

#[test]
fn an_empty_round_gets_a_yield() {
    let output = run("{\"type\":\"round\",\"now\":5}\n{\"type\":\"go\"}\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"{\"type\":\"yield\"}\n");
}

#[test]
fn a_request_is_delivered() {
    let output = run(&round(&[ATTACH, LIST, REQUEST]));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let reply = String::from_utf8(output.stdout).expect("JSON");
    let first: serde_json::Value = serde_json::from_str(reply.lines().next().expect("a line")).expect("JSON");
    assert_eq!(first["type"], "deliver");
    assert_eq!((first["courier"].as_u64(), first["handle"].as_u64()), (Some(3), Some(9)));
    assert_eq!(first["endpoint"].as_u64(), Some(8));
}

#[test]
fn a_killed_instance_sends_no_actions() {
    let output = run(&round(&[ATTACH, LIST, REQUEST, r#"{"type":"killed","courier":3}"#]));
    assert_eq!(output.stdout, b"{\"type\":\"yield\"}\n");
}

#[test]
fn malformed_input_ends_the_adapter_with_its_cause() {
    assert!(failure("nonsense\n").contains("line 1"));
    assert!(failure("{\"type\":\"go\"}\n").contains("outside a round"));
    assert!(failure(&round(&[r#"{"type":"surprise","courier":3}"#])).contains("surprise"));
    assert!(failure(&round(&[r#"{"type":"req","courier":3,"handle":1}"#])).contains("missing field"));
    assert!(failure(&round(&[r#"{"type":"due","courier":4,"nonce":1}"#])).contains("unknown instance 4"));
    assert!(failure("{\"type\":\"round\",\"now\":5}\n").contains("ended inside a round"));
    let unknown_verdict =
        r#"{"type":"closed_attempt","courier":3,"handle":9,"hop":0,"endpoint":8,"verdict":77,"latency":1}"#;
    assert!(failure(&round(&[ATTACH, unknown_verdict])).contains("unknown verdict 77"));
}

/// A report row of the wrong length or type, or one for which no columns are configured, is ignored; the adapter goes on.
#[test]
fn malformed_report_rows_are_ignored() {
    for row in ["[]", "[1]", "[1,2,3]", "null", "7", "\"x\"", "[null,null]", "[-1,-5]", "[1e308,1e308]"] {
        for report in ["", r#""report":{"columns":["x0","x1"],"source":"inline"},"#] {
            let attach = ATTACH.replace("\"news\":[1],", report);
            let outcome = format!(
                r#"{{"type":"closed_attempt","courier":3,"handle":9,"hop":0,"endpoint":8,"verdict":0,"latency":5,"no_more":true,"metrics":{row}}}"#
            );
            let input = format!("{}{}", round(&[&attach, LIST, REQUEST]), round(&[&outcome]));
            let output = run(&input);
            assert!(output.status.success(), "{row}: {}", String::from_utf8_lossy(&output.stderr));
        }
    }
}
