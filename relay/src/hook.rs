//! Hook scripts in Rhai: one hook is called at admission, and one after each outcome that does not end the job.
//!
//! A script may refuse a job, shorten its deadline and label it. It cannot send, extend or repeat a job: it returns a
//! [`HookDecision`], which the core applies within its own rules. A script runs with fixed resource limits, has no access
//! to files or the network, and keeps no state between calls. If it fails, the failure is logged and the job proceeds.
use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, Scope};
use std::time::Duration;

use crate::config::HookTable;
use crate::job::{Job, Outcome, cap_wait};

/// The decision of a script about a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HookDecision {
    pub refuse: bool,
    /// With a refusal: the time after which the submitter may retry.
    pub retry_after: Option<Duration>,
    /// Upper bound of the time that the job has from now on.
    pub time_left: Option<Duration>,
    pub label: Option<String>,
}

/// A compiled script with its engine.
pub struct Hooks {
    engine: Engine,
    script: AST,
}

/// Maximum size of a string in a script, and maximum length of a label.
const MAX_STRING_BYTES: usize = 4096;
const MAX_LABEL_CHARS: usize = 64;

impl Hooks {
    /// Reads and compiles a script; an error names its position in the file.
    pub fn load(table: &HookTable) -> Result<Hooks, String> {
        let name = table.script.display();
        let text = std::fs::read_to_string(&table.script).map_err(|e| format!("hook.script: {name}: {e}"))?;
        Hooks::new(&text, table.operations).map_err(|e| format!("hook.script: {name}: {e}"))
    }

    fn new(text: &str, operations: u64) -> Result<Hooks, String> {
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
            .on_print(|text| tracing::debug!("script: {text}"))
            .on_debug(|text, _, _| tracing::debug!("script: {text}"));
        let script = engine.compile(text).map_err(|e| e.to_string())?;
        let known_hooks = [("admit", 1), ("outcome", 2)];
        let hooks =
            script.iter_functions().filter(|f| known_hooks.contains(&(f.name, f.params.len()))).count();
        if hooks == 0 {
            return Err("the script defines neither admit(job) nor outcome(job, outcome)".into());
        }
        Ok(Hooks { engine, script })
    }

    /// Calls the `admit` hook, before the decision module sees a new job.
    pub fn admit(&self, job: &Job, left: Duration) -> HookDecision {
        self.call("admit", job, (job_map(job, left),))
    }

    /// Calls the `outcome` hook, after each outcome that does not end the job.
    pub fn outcome(
        &self,
        job: &Job,
        left: Duration,
        outcome: Outcome,
        tries: u32,
        node: &str,
    ) -> HookDecision {
        let mut details = Map::new();
        details.insert("kind".into(), outcome_kind(outcome).into());
        details.insert("may_have_run".into(), (!outcome.never_ran()).into());
        details.insert("tries".into(), i64::from(tries).into());
        details.insert("node".into(), node.into());
        self.call("outcome", job, (job_map(job, left), details))
    }

    fn call(&self, hook: &str, job: &Job, arguments: impl rhai::FuncArgs) -> HookDecision {
        let returned = self.engine.call_fn::<Dynamic>(&mut Scope::new(), &self.script, hook, arguments);
        let decision = match returned {
            Ok(value) => parse_decision(value),
            // A script need not define both hooks.
            Err(e) if matches!(&*e, EvalAltResult::ErrorFunctionNotFound(name, _) if name.starts_with(hook)) => {
                Ok(HookDecision::default())
            }
            Err(e) => Err(e.to_string()),
        };
        decision.unwrap_or_else(|fault| {
            tracing::warn!(id = job.id, hook, fault, "script failed; the job proceeds without its decision");
            HookDecision::default()
        })
    }
}

fn job_map(job: &Job, left: Duration) -> Map {
    let mut map = Map::new();
    map.insert("id".into(), job.id.as_str().into());
    map.insert("class".into(), job.class.as_str().into());
    map.insert("dest".into(), (job.dest as i64).into());
    map.insert("size".into(), (job.body.len() as i64).into());
    map.insert("left_ms".into(), (left.as_millis() as i64).into());
    map.insert("label".into(), job.label.as_deref().unwrap_or("").into());
    map
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
mod tests;
