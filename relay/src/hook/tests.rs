use super::*;
use std::time::{Instant, SystemTime};

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

fn admit(body: &str) -> HookDecision {
    let hooks = Hooks::new(&format!("fn admit(job) {{ {body} }}"), 20_000).expect("a valid script");
    hooks.admit(&job(), Duration::from_secs(2))
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
        assert!(Hooks::new(text, 1000).is_err(), "{text}");
    }
}
