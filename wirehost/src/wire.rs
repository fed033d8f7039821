//! The wire's words, and their translation to and from the library's types.
use crate::wire_settings::{self, SettingNames, WireSettings, name_index, translate};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::{Value, json};
use slatethread::*;
use std::collections::BTreeMap;

#[derive(Deserialize, Clone)]
struct Line {
    endpoint: u32,
    rack_zone: String,
    flavor: String,
    cell: u64,
    condition: String,
    weight: Option<f64>,
}

fn endpoint(line: &Line, names: &SettingNames) -> Result<Endpoint, String> {
    Ok(Endpoint {
        id: EndpointId(line.endpoint),
        dest: DestId(line.cell),
        zone: ZoneId(name_index(&names.zones, &line.rack_zone, "zone")?),
        kind: KindId(name_index(&names.kinds, &line.flavor, "kind")?),
        condition: match line.condition.as_str() {
            "active" => Condition::Active,
            "leaving" => Condition::Leaving,
            "left" => Condition::Left,
            other => return Err(format!("unknown condition '{other}'")),
        },
        weight: line.weight,
        started: 0,
    })
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum WireIn {
    Round { now: u64 },
    Go,
    Register { page: u8, lines: Vec<Line> },
    Attach { courier: u64, rng_seed: u64, env: Box<WireSettings> },
    Killed { courier: u64 },
    PeersKnown { courier: u64, scope: String, page: Option<u8> },
    Req(Box<WireRequest>),
    First { courier: u64, handle: u32 },
    ClosedAttempt(WireOutcome),
    Expired { courier: u64, handle: u32 },
    Due { courier: u64, nonce: u64 },
    ProbeResult { courier: u64, endpoint: u32, verdict: u32, latency: u64, wait_ms: Option<u64> },
    Memo { courier: u64, origin_peer: u32, content: String },
}

#[derive(Deserialize)]
struct WireRequest {
    courier: u64,
    handle: u32,
    subject: Option<u64>,
    #[serde(default)]
    reconnect: bool,
    account: Option<Value>,
    service: String,
    dest: u64,
    patience_left: u64,
    #[serde(default)]
    retry: bool,
}

#[derive(Deserialize)]
struct WireOutcome {
    courier: u64,
    handle: u32,
    hop: u32,
    endpoint: u32,
    verdict: u32,
    latency: u64,
    #[serde(default)]
    no_more: bool,
    wait_ms: Option<u64>,
    metrics: Option<Value>,
}

/// A row of a load report by meaning; a row that does not fit its columns tells nothing.
fn report(row: Option<&Value>, columns: &[String]) -> Report {
    let Some(Value::Array(row)) = row.filter(|r| r.as_array().is_some_and(|r| r.len() == columns.len()))
    else {
        return Report::default();
    };
    wire_settings::load_report(|name| row.get(columns.iter().position(|c| c == name)?)?.as_f64())
}

fn outcome(verdict: u32, wait_ms: Option<u64>) -> Result<Outcome, String> {
    Ok(match verdict {
        0 => Outcome::Ok,
        13 => Outcome::Error,
        8 => {
            let wait = wait_ms.filter(|w| *w > 0).map(|w| w.saturating_mul(1_000_000));
            Outcome::Full { wait }
        }
        4 => Outcome::Timeout,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::Moot,
        other => return Err(format!("unknown verdict {other}")),
    })
}

struct Instance {
    courier: Courier,
    names: SettingNames,
    events: Vec<Event>,
    /// It is in the order of this round.
    due: bool,
}

/// The instances of this process and the round being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    registers: BTreeMap<u8, Vec<Line>>,
    now: Option<u64>,
    order: Vec<u64>,
}

impl Host {
    /// Takes one line; gives the reply once the round is complete.
    pub fn take_line(&mut self, line: &str) -> Result<Option<String>, String> {
        let message: WireIn = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match (message, self.now) {
            (WireIn::Round { now }, None) => {
                self.now = Some(now);
                Ok(None)
            }
            (WireIn::Round { .. }, Some(_)) => Err("a round begins inside another".into()),
            (_, None) => Err("an event outside a round".into()),
            (WireIn::Go, Some(now)) => {
                self.now = None;
                Ok(Some(self.reply(now)))
            }
            (event, Some(_)) => self.take_event(event).map(|()| None),
        }
    }

    /// At the end of input: a round must not be half read.
    pub fn finish(&self) -> Result<(), String> {
        if self.now.is_some() { Err("input ended inside a round".into()) } else { Ok(()) }
    }

    fn take_event(&mut self, event: WireIn) -> Result<(), String> {
        match event {
            WireIn::Round { .. } | WireIn::Go => Ok(()),
            WireIn::Register { page, lines } => {
                self.registers.insert(page, lines);
                Ok(())
            }
            WireIn::Attach { courier, rng_seed, env } => {
                let (settings, names) = translate(*env)?;
                let courier_of = Courier::new(settings, rng_seed);
                let instance = Instance { courier: courier_of, names, events: Vec::new(), due: true };
                self.instances.insert(courier, instance);
                self.order.retain(|c| *c != courier);
                self.order.push(courier);
                Ok(())
            }
            WireIn::Killed { courier } => {
                self.instances.remove(&courier).ok_or_else(|| format!("unknown instance {courier}"))?;
                self.order.retain(|c| *c != courier);
                Ok(())
            }
            WireIn::PeersKnown { courier, scope, page } => {
                let scope = match scope.as_str() {
                    "patch" => ListScope::Patch,
                    "whole" => ListScope::Whole,
                    "stale_copy" => ListScope::Stale,
                    "broken" => ListScope::Broken,
                    other => return Err(format!("unknown scope '{other}'")),
                };
                let unknown = || format!("unknown instance {courier}");
                let names = &self.instances.get(&courier).ok_or_else(unknown)?.names;
                let entries = match (scope, page) {
                    (ListScope::Broken, _) => Vec::new(),
                    (_, None) => return Err("peers_known without a page".into()),
                    (_, Some(page)) => {
                        let lines =
                            self.registers.get(&page).ok_or_else(|| format!("unknown page {page}"))?;
                        lines.iter().map(|l| endpoint(l, names)).collect::<Result<_, _>>()?
                    }
                };
                self.push(courier, Event::List { scope, entries })
            }
            WireIn::Req(r) => {
                let names = &self.instance(r.courier)?.names;
                let tenant = match &r.account {
                    Some(Value::String(name)) => Some(TenantId(name_index(&names.tenants, name, "tenant")?)),
                    _ => None,
                };
                let request = Request {
                    msg: MsgId(r.handle),
                    dest: DestId(r.dest),
                    class: ClassId(name_index(&names.classes, &r.service, "class")?),
                    tenant,
                    key: r.subject.map(OrderKey),
                    patience: r.patience_left,
                    retry: r.retry,
                    reconnect: r.reconnect,
                    tries: 0,
                    risk: None,
                    kept: false,
                    rules: None,
                };
                self.push(r.courier, Event::Request(request))
            }
            WireIn::First { courier, handle } => self.push(courier, Event::First { msg: MsgId(handle) }),
            WireIn::ClosedAttempt(o) => {
                let event = Event::Closed {
                    msg: MsgId(o.handle),
                    attempt: o.hop,
                    endpoint: EndpointId(o.endpoint),
                    outcome: outcome(o.verdict, o.wait_ms)?,
                    latency: o.latency,
                    no_more: o.no_more,
                    report: report(o.metrics.as_ref(), &self.instance(o.courier)?.names.columns),
                };
                self.push(o.courier, event)
            }
            WireIn::Expired { courier, handle } => self.push(courier, Event::Expired { msg: MsgId(handle) }),
            WireIn::Due { courier, nonce } => self.push(courier, Event::Timer { nonce }),
            WireIn::ProbeResult { courier, endpoint, verdict, latency, wait_ms } => {
                let outcome = outcome(verdict, wait_ms)?;
                self.push(courier, Event::Probed { endpoint: EndpointId(endpoint), outcome, latency })
            }
            WireIn::Memo { courier, origin_peer, content } => {
                let bytes = BASE64.decode(content).map_err(|e| format!("bad base64: {e}"))?;
                self.push(courier, Event::Note { from: origin_peer, bytes })
            }
        }
    }

    fn instance(&mut self, courier: u64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&courier).ok_or_else(|| format!("unknown instance {courier}"))
    }

    fn push(&mut self, courier: u64, event: Event) -> Result<(), String> {
        let instance = self.instance(courier)?;
        instance.events.push(event);
        if !std::mem::replace(&mut instance.due, true) {
            self.order.push(courier);
        }
        Ok(())
    }

    fn reply(&mut self, now: u64) -> String {
        let mut reply = String::new();
        for courier in std::mem::take(&mut self.order) {
            let Some(instance) = self.instances.get_mut(&courier) else {
                continue;
            };
            instance.due = false;
            let mut actions = Vec::new();
            instance.courier.on_round(now, &std::mem::take(&mut instance.events), &mut actions);
            for action in actions {
                reply.push_str(&words(courier, &action).to_string());
                reply.push('\n');
            }
        }
        reply.push_str("{\"type\":\"yield\"}\n");
        reply
    }
}

fn words(courier: u64, action: &Action) -> Value {
    match action {
        Action::Send { msg, endpoint, limit } => {
            json!({"type": "deliver", "courier": courier, "handle": msg.0, "limit": limit, "endpoint": endpoint.0})
        }
        Action::Refuse { msg, backoff, .. } => {
            json!({"type": "deny", "courier": courier, "handle": msg.0, "backoff": backoff})
        }
        Action::Fail { msg } => json!({"type": "end_failed", "courier": courier, "handle": msg.0}),
        Action::Cancel { msg, attempt } => {
            json!({"type": "stop_attempt", "courier": courier, "handle": msg.0, "hop": attempt})
        }
        Action::SetTimer { nonce, after } => {
            json!({"type": "set_timer", "courier": courier, "nonce": nonce, "in": after})
        }
        Action::Probe { endpoint } => {
            json!({"type": "health_check", "courier": courier, "endpoint": endpoint.0})
        }
        Action::Close { endpoint } => {
            json!({"type": "disconnect", "courier": courier, "endpoint": endpoint.0})
        }
        Action::Tell { to, bytes } => {
            json!({"type": "publish", "courier": courier, "recipient": to, "content": BASE64.encode(bytes)})
        }
        Action::Log { line } => json!({"type": "journal_line", "courier": courier, "line": line}),
        Action::Follow { want } => json!({"type": "follow", "courier": courier, "want": want}),
        Action::Reload => json!({"type": "reload", "courier": courier}),
    }
}
