use super::*;
use crate::job::Job;
use std::time::SystemTime;

/// Much longer than a call takes that is bounded in steps.
const NO_TIME_LIMIT: Duration = Duration::from_secs(60);

fn job() -> Job {
    Job {
        id: "j".into(),
        class: "order".into(),
        dest: 7,
        deadline: SystemTime::now(),
        retry: false,
        reconnect: false,
        label: None,
        fields: Vec::new(),
        body: vec![0; 10].into(),
    }
}

fn script(body: &str, operations: u64, time_limit: Duration) -> Script {
    Script::compile(&format!("fn admit(job) {{ {body} }}"), operations, time_limit).expect("a valid script")
}

fn call() -> HookCall {
    let mut call = HookCall::new(&job(), Moment::Admission);
    call.time_left = Duration::from_secs(2);
    call
}

fn admit(body: &str) -> HookDecision {
    script(body, 20_000, NO_TIME_LIMIT).run(&call()).unwrap_or_default()
}

#[test]
fn hook_can_refuse_shorten_and_label_a_job() {
    let decision =
        admit(r##"if job.size == 10 && job.left_ms == 2000 { #{ left_ms: 500, label: job.class } }"##);
    let expected = HookDecision {
        time_left: Some(Duration::from_millis(500)),
        label: Some("order".into()),
        ..HookDecision::default()
    };
    assert_eq!(decision, expected);
    assert!(admit("#{ refuse: true }").refuse);
    assert_eq!(admit(""), HookDecision::default());
}

#[test]
fn failing_or_resource_hungry_hook_has_no_effect() {
    let start = Instant::now();
    let failing_bodies = [
        "throw \"no\"",
        "job.nothing.size",
        "#{ send: true }",
        "#{ left_ms: -1 }",
        "3",
        "loop {}",
        "let s = \"x\"; loop { s += s; }",
        "let a = []; loop { a.push(a); }",
        "let m = #{}; for i in 0..100000 { m[`${i}`] = i; }",
        "admit(job)",
    ];
    for body in failing_bodies {
        assert_eq!(admit(body), HookDecision::default(), "{body}");
    }
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn script_without_hooks_or_with_eval_is_rejected() {
    for text in ["fn other() {}", "fn admit(job) { eval(\"1\") }", "fn admit(job) {"] {
        assert!(Script::compile(text, 1000, NO_TIME_LIMIT).is_err(), "{text}");
    }
}

// Guards against steps that take long each, such as a comparison of arrays, and a bound on their number only.
#[test]
fn a_loop_ends_by_time_whatever_its_steps_take() {
    let script = script("while true { }", u64::MAX, Duration::from_millis(5));
    let fault = script.run(&call()).expect_err("it never ends by itself");
    assert!(fault.contains("terminated"), "{fault}");
}

#[test]
fn a_script_that_is_too_large_is_not_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("hook.rhai");
    std::fs::write(&path, " ".repeat(MAX_SCRIPT_BYTES + 1)).expect("written");
    let table = HookTable { script: path, operations: 1000, time_ms: 5 };
    let error = Script::load(&table).err().expect("refused");
    assert!(error.starts_with("hook.script: "), "{error}");
}
