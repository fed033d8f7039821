//! The settings object: its keys, and their translation to the library's types.
use serde::Deserialize;
use slatethread::*;

/// The settings of one instance, as the wire and the relay's configuration give them.
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

/// The names of one instance's settings, in their order.
#[derive(Clone, Default, PartialEq)]
pub struct SettingNames {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Columns of load reports.
    pub columns: Vec<String>,
}

/// The place of a name among its like.
pub fn name_index(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what} '{name}'"))
}

/// A load report by meaning, of what its fields say; a field that is no sensible figure tells nothing.
pub fn load_report(field: impl Fn(&str) -> Option<f64>) -> Report {
    let sound = |name| field(name).filter(|value| value.is_finite() && *value >= 0.0);
    Report { left: sound("x0"), limit: sound("x1") }
}

/// Translates settings, and keeps their names.
pub fn translate(env: WireSettings) -> Result<(Settings, SettingNames), String> {
    let extra = env.extra.unwrap_or_default();
    let limits = env.policy_limits.unwrap_or_default();
    let rules = env.rules.unwrap_or_default();
    let names = SettingNames {
        classes: env.categories.iter().map(|c| c.name.clone()).collect(),
        tenants: env.orgs.iter().map(|o| o.name.clone()).collect(),
        kinds: env.shapes,
        zones: env.zones,
        columns: env.report.unwrap_or_default().columns,
    };
    let numbered = env.categories.into_iter().enumerate();
    let classes = numbered.map(|(i, c)| class(c).map_err(|e| format!("categories[{i}].effect: {e}")));
    let classes = classes.collect::<Result<_, _>>()?;
    let kinds = (0..names.kinds.len())
        .map(|i| Kind { apart: extra.own_limits.get(i).copied(), bundle: extra.bundle_max.get(i).copied() })
        .collect();
    let zone = env.zone.map(|z| name_index(&names.zones, &z, "zone").map_err(|e| format!("zone: {e}")));
    let zone = zone.transpose()?.map(ZoneId);
    let settings = Settings {
        couriers: env.replicas_of_me,
        zone,
        step: env.step,
        classes,
        fade: match extra.fades.as_deref() {
            Some("line") => Some(Fade::Line),
            Some("halves") => Some(Fade::Halves),
            _ => None,
        },
        tenants: env.orgs.into_iter().map(|o| Tenant { quota: o.quota_rps }).collect(),
        over_share_worth: env.over_share_worth,
        kinds,
        slots: extra.max_calls,
        max_held: limits.most_held,
        max_tries: limits.most_tries,
        max_backoff: limits.max_retry_after,
        idle_close: limits.idle_close,
        dial_timeout: limits.dial_timeout,
        backoff_told: limits.retry_after,
        list_on_request: env.membership_mode.as_deref() == Some("subscribe"),
        // Couriers of this wire share nothing.
        list_shared: false,
        weights: match env.weights.as_deref() {
            Some("nominal") => Weights::Exact,
            Some("rough") => Weights::Rough,
            _ => Weights::Nothing,
        },
        probing: limits.probing,
        notes: limits.peers,
        cold_after: None,
        rules: Rules {
            cold: rules.cold,
            cold_share: rules.cold_share,
            fall_multiple: rules.fall_multiple,
            fall: rules.fall,
            must_ask_in: rules.must_ask_in,
            order_settle: rules.order_settle,
        },
        worst_class: env.goal.map_or(0.0, |g| g.worst_class / (g.whole + g.worst_window).max(0.1)),
    };
    Ok((settings, names))
}

fn class(c: WireClass) -> Result<Class, String> {
    Ok(Class {
        aim: c.aim,
        give_up: c.give_up,
        effect: match c.effect.as_deref() {
            Some("read_like") => Effect::Safe,
            Some("idempotency_key") => Effect::Keyed,
            Some("non_idempotent") | None => Effect::Unsafe,
            Some(other) => return Err(format!("unknown effect '{other}'")),
        },
        group: match c.group.as_deref() {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Endpoint,
        },
        window: c.window,
        ordered: c.by_arrival,
        late_worth: c.late_worth,
        credit: c.credit,
    })
}
