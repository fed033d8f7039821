//! Plug-ins: a script in rhai with a hook at admission and one at each outcome.
//!
//! A script may refuse a job, shorten its time and label it. It cannot send, lengthen or repeat: what it says
//! is a [`HookDecision`], which the core keeps within the rules. It runs inside fixed bounds, sees no files and no
//! network, and keeps nothing from one call to the next. When it fails, that is logged and the job goes on.
use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, Scope};
use std::time::Duration;

use crate::config::HookTable;
use crate::job::{Job, Outcome, told_wait};

/// What a script says of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HookDecision {
    pub refuse: bool,
    /// With a refusal: when to come again.
    pub retry_after: Option<Duration>,
    /// The job has no more time than this from now on.
    pub time_left: Option<Duration>,
    pub label: Option<String>,
}

pub struct Hooks {
    engine: Engine,
    script: AST,
}

/// Longest text that a script may build, and longest label.
const LONGEST_TEXT: usize = 4096;
const LONGEST_LABEL: usize = 64;

impl Hooks {
    /// Reads a script; a fault names its place in the file.
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
            .set_max_string_size(LONGEST_TEXT)
            .set_max_array_size(256)
            .set_max_map_size(64)
            .disable_symbol("eval")
            .on_print(|text| tracing::debug!("script: {text}"))
            .on_debug(|text, _, _| tracing::debug!("script: {text}"));
        let script = engine.compile(text).map_err(|e| e.to_string())?;
        let known = [("admit", 1), ("outcome", 2)];
        let hooks = script.iter_functions().filter(|f| known.contains(&(f.name, f.params.len()))).count();
        if hooks == 0 {
            return Err("it has neither admit(job) nor outcome(job, outcome)".into());
        }
        Ok(Hooks { engine, script })
    }

    /// Asked before the module sees a new job.
    pub fn admit(&self, job: &Job, left: Duration) -> HookDecision {
        self.ask("admit", job, (describe(job, left),))
    }

    /// Asked after each outcome that does not end the job.
    pub fn outcome(
        &self,
        job: &Job,
        left: Duration,
        outcome: Outcome,
        tries: u32,
        node: &str,
    ) -> HookDecision {
        let mut told = Map::new();
        told.insert("kind".into(), kind(outcome).into());
        told.insert("may_have_run".into(), (!outcome.never_ran()).into());
        told.insert("tries".into(), i64::from(tries).into());
        told.insert("node".into(), node.into());
        self.ask("outcome", job, (describe(job, left), told))
    }

    fn ask(&self, hook: &str, job: &Job, arguments: impl rhai::FuncArgs) -> HookDecision {
        let said = self.engine.call_fn::<Dynamic>(&mut Scope::new(), &self.script, hook, arguments);
        let ruling = match said {
            Ok(said) => read(said),
            // A script may leave a hook out.
            Err(e) if matches!(&*e, EvalAltResult::ErrorFunctionNotFound(name, _) if name.starts_with(hook)) => {
                Ok(HookDecision::default())
            }
            Err(e) => Err(e.to_string()),
        };
        ruling.unwrap_or_else(|fault| {
            tracing::warn!(id = job.id, hook, fault, "script failed; the job goes on without it");
            HookDecision::default()
        })
    }
}

fn describe(job: &Job, left: Duration) -> Map {
    let mut map = Map::new();
    map.insert("id".into(), job.id.as_str().into());
    map.insert("class".into(), job.class.as_str().into());
    map.insert("dest".into(), (job.dest as i64).into());
    map.insert("size".into(), (job.body.len() as i64).into());
    map.insert("left_ms".into(), (left.as_millis() as i64).into());
    map.insert("label".into(), job.label.as_deref().unwrap_or("").into());
    map
}

fn kind(outcome: Outcome) -> &'static str {
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
        // To a plug-in it was not sent, whoever is to blame.
        Outcome::NotSent | Outcome::LocalFault => "not-sent",
    }
}

/// Decodes what a hook returned: nothing, or a map with known keys.
fn read(said: Dynamic) -> Result<HookDecision, String> {
    let mut ruling = HookDecision::default();
    if said.is_unit() {
        return Ok(ruling);
    }
    let map = said.try_cast::<Map>().ok_or("a hook must return nothing or a map")?;
    let millis = |key: &str, value: &Dynamic| {
        let value = value.as_int().ok().and_then(|ms| u64::try_from(ms).ok());
        value
            .map(|ms| told_wait(Duration::from_millis(ms)))
            .ok_or(format!("{key} must be a whole number of milliseconds"))
    };
    for (key, value) in &map {
        match key.as_str() {
            "refuse" => ruling.refuse = value.as_bool().map_err(|_| "refuse must be true or false")?,
            "after_ms" => ruling.retry_after = Some(millis("after_ms", value)?),
            "left_ms" => ruling.time_left = Some(millis("left_ms", value)?),
            "label" => {
                let label = value.clone().into_string().map_err(|_| "label must be a string")?;
                ruling.label = Some(label.chars().take(LONGEST_LABEL).collect());
            }
            other => return Err(format!("a hook returned '{other}', which means nothing")),
        }
    }
    Ok(ruling)
}

#[cfg(test)]
mod tests;
