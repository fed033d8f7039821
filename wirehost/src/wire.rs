//! Messages of the simulator's wire, and their translation to and from the library's types.
use crate::wire_settings::{self, SettingNames, WireSettings, name_index, translate};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde::Deserialize;
use serde_json::{Value, json};
use slatethread::*;
use std::collections::BTreeMap;

#[derive(Deserialize, Clone)]
struct WireEndpoint {
    endpoint: u32,
    rack_zone: String,
    flavor: String,
    cell: u64,
    condition: String,
    weight: Option<f64>,
}

fn endpoint(listed: &WireEndpoint, names: &SettingNames) -> Result<Endpoint, String> {
    Ok(Endpoint {
        id: EndpointId(listed.endpoint),
        dest: DestId(listed.cell),
        zone: ZoneId(name_index(&names.zones, &listed.rack_zone, "zone")?),
        kind: KindId(name_index(&names.kinds, &listed.flavor, "kind")?),
        condition: match listed.condition.as_str() {
            "active" => Condition::Active,
            "leaving" => Condition::Draining,
            "left" => Condition::Removed,
            other => return Err(format!("unknown condition '{other}'")),
        },
        weight: listed.weight,
        started: 0,
    })
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum WireMessage {
    Round { now: u64 },
    Go,
    Register { page: u8, lines: Vec<WireEndpoint> },
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

/// Translates a row of a load report; a row whose length differs from that of `columns` gives an empty report.
fn report_from_row(row: Option<&Value>, columns: &[String]) -> Report {
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
            Outcome::Overloaded { retry_after: wait }
        }
        4 => Outcome::Timeout,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotSent,
        other => return Err(format!("unknown verdict {other}")),
    })
}

struct Instance {
    dispatcher: Dispatcher,
    names: SettingNames,
    events: Vec<Event>,
    /// Whether it is listed in [`Host::order`] for the current round.
    in_order: bool,
}

/// The instances that this process hosts, and the round being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u8, Vec<WireEndpoint>>,
    /// Time of the round being read; `None` between rounds.
    now: Option<u64>,
    /// Instances that take part in this round, in the order of their first event.
    order: Vec<u64>,
}

impl Host {
    /// Handles one line; returns the reply once the round is complete.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, String> {
        let message: WireMessage = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match (message, self.now) {
            (WireMessage::Round { now }, None) => {
                self.now = Some(now);
                Ok(None)
            }
            (WireMessage::Round { .. }, Some(_)) => Err("a round started inside another round".into()),
            (_, None) => Err("event outside a round".into()),
            (WireMessage::Go, Some(now)) => {
                self.now = None;
                Ok(Some(self.reply(now)))
            }
            (event, Some(_)) => self.handle_event(event).map(|()| None),
        }
    }

    /// Checks, at the end of the input, that the last round is complete.
    pub fn finish(&self) -> Result<(), String> {
        if self.now.is_some() { Err("input ended inside a round".into()) } else { Ok(()) }
    }

    fn handle_event(&mut self, event: WireMessage) -> Result<(), String> {
        match event {
            WireMessage::Round { .. } | WireMessage::Go => Ok(()),
            WireMessage::Register { page, lines } => {
                self.pages.insert(page, lines);
                Ok(())
            }
            WireMessage::Attach { courier, rng_seed, env } => {
                let (settings, names) = translate(*env)?;
                let dispatcher = Dispatcher::new(settings, rng_seed);
                let instance = Instance { dispatcher, names, events: Vec::new(), in_order: true };
                self.instances.insert(courier, instance);
                self.order.retain(|c| *c != courier);
                self.order.push(courier);
                Ok(())
            }
            WireMessage::Killed { courier } => {
                self.instances.remove(&courier).ok_or_else(|| format!("unknown instance {courier}"))?;
                self.order.retain(|c| *c != courier);
                Ok(())
            }
            WireMessage::PeersKnown { courier, scope, page } => {
                let scope = match scope.as_str() {
                    "patch" => ListScope::Patch,
                    "whole" => ListScope::Whole,
                    "stale_copy" => ListScope::Stale,
                    "broken" => ListScope::Unreachable,
                    other => return Err(format!("unknown scope '{other}'")),
                };
                let unknown = || format!("unknown instance {courier}");
                let names = &self.instances.get(&courier).ok_or_else(unknown)?.names;
                let entries = match (scope, page) {
                    (ListScope::Unreachable, _) => Vec::new(),
                    (_, None) => return Err("peers_known has no page".into()),
                    (_, Some(page)) => {
                        let lines = self.pages.get(&page).ok_or_else(|| format!("unknown page {page}"))?;
                        lines.iter().map(|l| endpoint(l, names)).collect::<Result<_, _>>()?
                    }
                };
                self.push(courier, Event::List { scope, entries })
            }
            WireMessage::Req(r) => {
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
                    time_left: r.patience_left,
                    retry: r.retry,
                    reconnect: r.reconnect,
                    previous_attempts: 0,
                    unconfirmed: None,
                    restored: false,
                    rules: None,
                };
                self.push(r.courier, Event::Request(request))
            }
            WireMessage::First { courier, handle } => {
                self.push(courier, Event::StreamStarted { msg: MsgId(handle) })
            }
            WireMessage::ClosedAttempt(o) => {
                let event = Event::AttemptEnded {
                    msg: MsgId(o.handle),
                    attempt: o.hop,
                    endpoint: EndpointId(o.endpoint),
                    outcome: outcome(o.verdict, o.wait_ms)?,
                    latency: o.latency,
                    message_done: o.no_more,
                    report: report_from_row(o.metrics.as_ref(), &self.instance(o.courier)?.names.columns),
                };
                self.push(o.courier, event)
            }
            WireMessage::Expired { courier, handle } => {
                self.push(courier, Event::Abandoned { msg: MsgId(handle) })
            }
            WireMessage::Due { courier, nonce } => self.push(courier, Event::Timer { nonce }),
            WireMessage::ProbeResult { courier, endpoint, verdict, latency, wait_ms } => {
                let outcome = outcome(verdict, wait_ms)?;
                self.push(courier, Event::ProbeEnded { endpoint: EndpointId(endpoint), outcome, latency })
            }
            WireMessage::Memo { courier, origin_peer, content } => {
                let bytes = BASE64.decode(content).map_err(|e| format!("invalid base64: {e}"))?;
                self.push(courier, Event::RelayMessage { from: origin_peer, bytes })
            }
        }
    }

    fn instance(&mut self, instance_id: u64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&instance_id).ok_or_else(|| format!("unknown instance {instance_id}"))
    }

    fn push(&mut self, instance_id: u64, event: Event) -> Result<(), String> {
        let instance = self.instance(instance_id)?;
        instance.events.push(event);
        if !std::mem::replace(&mut instance.in_order, true) {
            self.order.push(instance_id);
        }
        Ok(())
    }

    fn reply(&mut self, now: u64) -> String {
        let mut reply = String::new();
        for instance_id in std::mem::take(&mut self.order) {
            let Some(instance) = self.instances.get_mut(&instance_id) else {
                continue;
            };
            instance.in_order = false;
            let mut actions = Vec::new();
            instance.dispatcher.on_round(now, &std::mem::take(&mut instance.events), &mut actions);
            for action in actions {
                reply.push_str(&action_message(instance_id, &action).to_string());
                reply.push('\n');
            }
        }
        reply.push_str("{\"type\":\"yield\"}\n");
        reply
    }
}

fn action_message(instance_id: u64, action: &Action) -> Value {
    match action {
        Action::Send { msg, endpoint, timeout } => {
            json!({"type": "deliver", "courier": instance_id, "handle": msg.0, "limit": timeout, "endpoint": endpoint.0})
        }
        Action::Refuse { msg, backoff, .. } => {
            json!({"type": "deny", "courier": instance_id, "handle": msg.0, "backoff": backoff})
        }
        Action::Fail { msg } => json!({"type": "end_failed", "courier": instance_id, "handle": msg.0}),
        Action::Cancel { msg, attempt } => {
            json!({"type": "stop_attempt", "courier": instance_id, "handle": msg.0, "hop": attempt})
        }
        Action::SetTimer { nonce, after } => {
            json!({"type": "set_timer", "courier": instance_id, "nonce": nonce, "in": after})
        }
        Action::Probe { endpoint } => {
            json!({"type": "health_check", "courier": instance_id, "endpoint": endpoint.0})
        }
        Action::CloseIdle { endpoint } => {
            json!({"type": "disconnect", "courier": instance_id, "endpoint": endpoint.0})
        }
        Action::SendToRelays { to, bytes } => {
            json!({"type": "publish", "courier": instance_id, "recipient": to, "content": BASE64.encode(bytes)})
        }
        Action::Log { line } => json!({"type": "journal_line", "courier": instance_id, "line": line}),
        Action::Subscribe { open } => json!({"type": "follow", "courier": instance_id, "want": open}),
        Action::FetchList => json!({"type": "reload", "courier": instance_id}),
    }
}
