//! The settings object of the simulator's wire, and its translation to the library's types.
use serde::Deserialize;
use slatethread::*;

/// Settings of one instance as they are written on the wire and in the relay's platform file.
#[derive(Deserialize)]
pub struct WireSettings {
    replicas_of_me: Option<u32>,
    categories: Vec<WireClass>,
    membership_mode: Option<String>,
    extra: Option<WireExtra>,
    policy_limits: Option<WireLimits>,
    rules: Option<WireRules>,
    report: Option<WireReport>,
    goal: Option<WireGoal>,
    over_share_worth: Option<f64>,
    step: Option<u64>,
    weights: Option<String>,
    zone: Option<String>,
    #[serde(default)]
    orgs: Vec<WireTenant>,
    #[serde(default)]
    shapes: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    aim: u64,
    give_up: u64,
    effect: Option<String>,
    group: Option<String>,
    window: Option<u64>,
    #[serde(default)]
    by_arrival: bool,
    late_worth: Option<f64>,
    credit: Option<f64>,
}

#[derive(Deserialize)]
struct WireTenant {
    name: String,
    quota_rps: Option<f64>,
}

#[derive(Deserialize, Default)]
struct WireExtra {
    #[serde(default)]
    own_limits: Vec<bool>,
    #[serde(default)]
    bundle_max: Vec<u32>,
    fades: Option<String>,
    max_calls: Option<u32>,
}

#[derive(Deserialize, Default)]
struct WireLimits {
    most_tries: Option<u32>,
    most_held: Option<u32>,
    max_retry_after: Option<u64>,
    idle_close: Option<u64>,
    dial_timeout: Option<u64>,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    peers: bool,
}

#[derive(Deserialize)]
struct WireGoal {
    #[serde(default)]
    whole: f64,
    #[serde(default)]
    worst_window: f64,
    #[serde(default)]
    worst_class: f64,
}

#[derive(Deserialize, Default)]
struct WireReport {
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
struct WireRules {
    cold: Option<u64>,
    cold_share: Option<f64>,
    fall_multiple: Option<f64>,
    fall: Option<u64>,
    must_ask_in: Option<u64>,
    order_settle: Option<u64>,
}

/// Names used in one instance's settings. An index into a list here is the library's id of that entry.
#[derive(Clone, Default, PartialEq)]
pub struct SettingNames {
    /// Message classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Endpoint kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Columns of load reports.
    pub columns: Vec<String>,
}

/// Index of a name; `what` describes the kind of name in the error.
pub fn name_index(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what} '{name}'"))
}

/// Builds a load report from its fields; a missing, negative or non-finite field is left unset.
pub fn load_report(field: impl Fn(&str) -> Option<f64>) -> Report {
    let valid = |name| field(name).filter(|value| value.is_finite() && *value >= 0.0);
    Report { remaining_share: valid("x0"), limit: valid("x1") }
}

/// Translates settings, and returns the names they use.
pub fn translate(raw: WireSettings) -> Result<(Settings, SettingNames), String> {
    let extra = raw.extra.unwrap_or_default();
    let limits = raw.policy_limits.unwrap_or_default();
    let rules = raw.rules.unwrap_or_default();
    let names = SettingNames {
        classes: raw.categories.iter().map(|c| c.name.clone()).collect(),
        tenants: raw.orgs.iter().map(|o| o.name.clone()).collect(),
        kinds: raw.shapes,
        zones: raw.zones,
        columns: raw.report.unwrap_or_default().columns,
    };
    let indexed = raw.categories.into_iter().enumerate();
    let classes =
        indexed.map(|(i, c)| translate_class(c).map_err(|e| format!("categories[{i}].effect: {e}")));
    let classes = classes.collect::<Result<_, _>>()?;
    let kinds = (0..names.kinds.len())
        .map(|i| Kind {
            separate_routes: extra.own_limits.get(i).copied(),
            max_batch: extra.bundle_max.get(i).copied(),
        })
        .collect();
    let zone = raw.zone.map(|z| name_index(&names.zones, &z, "zone").map_err(|e| format!("zone: {e}")));
    let zone = zone.transpose()?.map(ZoneId);
    let settings = Settings {
        relays: raw.replicas_of_me,
        zone,
        round_interval: raw.step,
        classes,
        worth_decay: match extra.fades.as_deref() {
            Some("line") => Some(WorthDecay::Linear),
            Some("halves") => Some(WorthDecay::Halving),
            _ => None,
        },
        tenants: raw.orgs.into_iter().map(|o| Tenant { quota: o.quota_rps }).collect(),
        over_quota_worth: raw.over_share_worth,
        kinds,
        slots: extra.max_calls,
        max_open_messages: limits.most_held,
        max_attempts: limits.most_tries,
        max_backoff: limits.max_retry_after,
        idle_close: limits.idle_close,
        dial_timeout: limits.dial_timeout,
        refusals_carry_backoff: limits.retry_after,
        list_on_request: raw.membership_mode.as_deref() == Some("subscribe"),
        // Instances on this wire don't exchange lists with one another.
        list_shared: false,
        weights: match raw.weights.as_deref() {
            Some("nominal") => Weights::Exact,
            Some("rough") => Weights::Rough,
            _ => Weights::Nothing,
        },
        probing: limits.probing,
        relay_messages: limits.peers,
        cold_after: None,
        rules: Rules {
            warm_up_time: rules.cold,
            cold_share: rules.cold_share,
            overload_factor: rules.fall_multiple,
            overload_time: rules.fall,
            list_poll_interval: rules.must_ask_in,
            order_settle_time: rules.order_settle,
        },
        worst_class_weight: raw.goal.map_or(0.0, |g| g.worst_class / (g.whole + g.worst_window).max(0.1)),
    };
    Ok((settings, names))
}

fn translate_class(c: WireClass) -> Result<Class, String> {
    Ok(Class {
        target_latency: c.aim,
        lifetime: c.give_up,
        effect: match c.effect.as_deref() {
            Some("read_like") => Effect::Safe,
            Some("idempotency_key") => Effect::Deduplicated,
            Some("non_idempotent") | None => Effect::Unsafe,
            Some(other) => return Err(format!("unknown effect '{other}'")),
        },
        dedup_scope: match c.group.as_deref() {
            Some("all") => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        },
        dedup_window: c.window,
        ordered: c.by_arrival,
        late_worth: c.late_worth,
        worth: c.credit,
    })
}
