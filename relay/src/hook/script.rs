//! A compiled hook script, and one call of it. Knows nothing of threads or queues.
//!
//! A call is bounded in steps of the interpreter and in time. A step may be a call of a library function of any length, so that the
//! time is looked at between steps only: a single function that takes longer is bounded by the sizes of what it works on.
use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, Scope};
use std::cell::Cell;
use std::path::Path;
use std::time::{Duration, Instant};

use super::{HookCall, HookDecision, Moment};
use crate::config::HookTable;
use crate::job::{Outcome, cap_wait};

/// Largest script that is read. It is compiled before the process serves.
const MAX_SCRIPT_BYTES: usize = 256 * 1024;
/// Maximum size of a string in a script, and maximum length of a label.
const MAX_STRING_BYTES: usize = 4096;
const MAX_LABEL_CHARS: usize = 64;
/// How many lines a call may print; further ones are dropped.
const MAX_PRINTED_LINES: u32 = 16;
/// The time is looked at each time that this many steps have been made.
const STEPS_BETWEEN_CLOCK_READINGS: u64 = 16;

thread_local! {
    /// When the call that this thread runs has to end.
    static CALL_END: Cell<Option<Instant>> = const { Cell::new(None) };
    /// How many lines that call has printed.
    static PRINTED_LINES: Cell<u32> = const { Cell::new(0) };
}

/// A compiled script with its engine, which any thread may call.
pub struct Script {
    engine: Engine,
    program: AST,
    time_limit: Duration,
}

/// What runs calls of hooks: a script, or its double in tests.
pub trait HookProgram: Send + Sync + 'static {
    /// Runs a call to its end on the calling thread.
    ///
    /// # Errors
    /// Why there is no decision.
    fn run(&self, call: &HookCall) -> Result<HookDecision, String>;
}

impl Script {
    /// Reads and compiles a script; an error names its position in the file.
    pub fn load(table: &HookTable) -> Result<Script, String> {
        let failed = |error: String| format!("hook.script: {}: {error}", table.script.display());
        let text = read(&table.script).map_err(failed)?;
        Script::compile(&text, table.operations, table.time_limit()).map_err(failed)
    }

    pub(super) fn compile(text: &str, operations: u64, time_limit: Duration) -> Result<Script, String> {
        let mut engine = Engine::new();
        engine
            .set_max_operations(operations)
            .set_max_call_levels(16)
            .set_max_expr_depths(32, 32)
            .set_max_functions(64)
            .set_max_variables(64)
            .set_max_string_size(MAX_STRING_BYTES)
            .set_max_array_size(256)
            .set_max_map_size(64)
            .disable_symbol("eval")
            .on_progress(|steps| is_over_time(steps).then(|| "over time".into()))
            .on_print(print)
            .on_debug(|text, _, _| print(text));
        let program = engine.compile(text).map_err(|e| e.to_string())?;
        let known_hooks = [("admit", 1), ("outcome", 2)];
        let hooks =
            program.iter_functions().filter(|f| known_hooks.contains(&(f.name, f.params.len()))).count();
        if hooks == 0 {
            return Err("the script defines neither admit(job) nor outcome(job, outcome)".into());
        }
        Ok(Script { engine, program, time_limit })
    }

    fn call(&self, name: &str, arguments: impl rhai::FuncArgs) -> Result<HookDecision, String> {
        match self.engine.call_fn::<Dynamic>(&mut Scope::new(), &self.program, name, arguments) {
            Ok(value) => parse_decision(value),
            // A script need not define both hooks.
            Err(e) if matches!(&*e, EvalAltResult::ErrorFunctionNotFound(missing, _) if missing.starts_with(name)) => {
                Ok(HookDecision::default())
            }
            Err(e) => Err(e.to_string()),
        }
    }
}

impl HookProgram for Script {
    fn run(&self, call: &HookCall) -> Result<HookDecision, String> {
        CALL_END.set(Some(Instant::now() + self.time_limit));
        PRINTED_LINES.set(0);
        let job = job_map(call);
        match &call.moment {
            Moment::Admission => self.call("admit", (job,)),
            Moment::Outcome { outcome, tries, node } => {
                self.call("outcome", (job, outcome_map(*outcome, *tries, node)))
            }
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    let size = std::fs::metadata(path).map_err(|e| e.to_string())?.len();
    if size > MAX_SCRIPT_BYTES as u64 {
        return Err(format!("it has {size} bytes; at most {MAX_SCRIPT_BYTES} are read"));
    }
    std::fs::read_to_string(path).map_err(|e| e.to_string())
}

fn is_over_time(steps: u64) -> bool {
    steps.is_multiple_of(STEPS_BETWEEN_CLOCK_READINGS)
        && CALL_END.get().is_some_and(|end| Instant::now() >= end)
}

fn print(text: &str) {
    let printed = PRINTED_LINES.get();
    if printed < MAX_PRINTED_LINES {
        PRINTED_LINES.set(printed + 1);
        tracing::debug!("script: {text}");
    }
}

fn job_map(call: &HookCall) -> Map {
    let mut map = Map::new();
    map.insert("id".into(), call.id.as_str().into());
    map.insert("class".into(), call.class.as_str().into());
    map.insert("dest".into(), (call.dest as i64).into());
    map.insert("size".into(), (call.size as i64).into());
    map.insert("left_ms".into(), (call.time_left.as_millis() as i64).into());
    map.insert("label".into(), call.label.as_str().into());
    map
}

fn outcome_map(outcome: Outcome, tries: u32, node: &str) -> Map {
    let mut details = Map::new();
    details.insert("kind".into(), outcome_kind(outcome).into());
    details.insert("may_have_run".into(), (!outcome.never_ran()).into());
    details.insert("tries".into(), i64::from(tries).into());
    details.insert("node".into(), node.into());
    details
}

fn outcome_kind(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Delivered => "delivered",
        Outcome::Rejected(_) => "rejected",
        Outcome::Over => "over",
        Outcome::Full { .. } => "full",
        Outcome::Error => "error",
        Outcome::TimedOut => "timed-out",
        Outcome::Reset => "reset",
        Outcome::Unconnected => "unconnected",
        Outcome::Cancelled => "cancelled",
        // For a script both mean that nothing was sent, whatever the cause.
        Outcome::NotSent | Outcome::LocalFault => "not-sent",
    }
}

/// Decodes the return value of a hook: nothing, or a map with known keys.
fn parse_decision(returned: Dynamic) -> Result<HookDecision, String> {
    let mut decision = HookDecision::default();
    if returned.is_unit() {
        return Ok(decision);
    }
    let map = returned.try_cast::<Map>().ok_or("a hook must return nothing or a map")?;
    let millis = |key: &str, value: &Dynamic| {
        let value = value.as_int().ok().and_then(|ms| u64::try_from(ms).ok());
        value
            .map(|ms| cap_wait(Duration::from_millis(ms)))
            .ok_or(format!("{key} must be a whole number of milliseconds"))
    };
    for (key, value) in &map {
        match key.as_str() {
            "refuse" => decision.refuse = value.as_bool().map_err(|_| "refuse must be true or false")?,
            "after_ms" => decision.retry_after = Some(millis("after_ms", value)?),
            "left_ms" => decision.time_left = Some(millis("left_ms", value)?),
            "label" => {
                let label = value.clone().into_string().map_err(|_| "label must be a string")?;
                decision.label = Some(label.chars().take(MAX_LABEL_CHARS).collect());
            }
            other => return Err(format!("a hook returned the unknown key '{other}'")),
        }
    }
    Ok(decision)
}

#[cfg(test)]
#[path = "script_tests.rs"]
mod tests;
