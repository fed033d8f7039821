//! Runs an experiment on real sockets against the real relay, as one leg for each size and repetition.
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::arrivals::draw;
use crate::discovery::Discovery;
use crate::emulator::Emulator;
use crate::experiment::{Event, Experiment, Front};
use crate::load;
use crate::model::Trouble;
use crate::push;
use crate::record::{DestinationSecond, Second};
use crate::relay::{Relay, RelayEnvironment, Usage};
use crate::rules::{Breach, Rule};
use crate::virtual_time::VirtualRun;
use crate::world::World;

/// Time for open messages to end after the last one was submitted.
const END_TIMEOUT: Duration = Duration::from_secs(13);
/// Time for the relays to start processing a list that is published again.
const REPUBLISH_PAUSE: Duration = Duration::from_millis(250);

/// One run of an experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Leg {
    /// Number of destinations listed.
    pub size: usize,
    pub repeat: usize,
    /// Whether it ran in virtual time.
    pub virtual_time: bool,
    pub figures: BTreeMap<String, f64>,
    pub rules: BTreeMap<String, usize>,
    #[serde(skip_deserializing)]
    pub breaches: Vec<Breach>,
    pub seconds: Vec<Second>,
    /// Load and capacity of each individually recorded destination.
    pub dests: BTreeMap<usize, Vec<DestinationSecond>>,
    /// The first ten seconds after a partner's return: calls offered and served, and the partner's capacity.
    pub first_ten_seconds: Vec<DestinationSecond>,
}

impl Leg {
    /// Adds the figures of the baseline proxy for the same experiment.
    pub fn add_baseline(&mut self, baseline: &Leg) {
        for name in [
            "cpu_us_per_job",
            "delivered_share",
            "delivered_p50_ms",
            "delivered_p99_ms",
            "resident_listed_kb",
        ] {
            let value = baseline.figures.get(name).copied();
            self.figures.extend(value.map(|value| (format!("floor_{name}"), value)));
        }
        let cost = |leg: &Leg| leg.figures.get("cpu_us_per_job").copied().unwrap_or(0.0);
        self.figures.insert("cpu_over_floor".into(), cost(self) / cost(baseline).max(1e-9));
    }
}

fn finish_leg(world: World, size: usize, repeat: usize, return_s: Option<f64>, dest: usize) -> Leg {
    let World { checker, record, .. } = world;
    let mut figures = record.figures();
    figures.insert("rules_broken".into(), checker.total() as f64);
    let first_ten_seconds =
        return_s.map_or(Vec::new(), |s| record.destination_seconds(dest, s.ceil() as usize, 10));
    let rules: BTreeMap<_, _> = checker.counts().iter().map(|(rule, n)| (rule_name(*rule), *n)).collect();
    figures
        .insert("pushed_over".into(), checker.counts().get(&Rule::PushedOver).copied().unwrap_or(0) as f64);
    if !first_ten_seconds.is_empty() {
        let with_calls = first_ten_seconds.iter().filter(|t| t.offered > 0);
        let share = with_calls.map(|t| f64::from(t.offered) / t.takes.max(1e-9)).fold(0.0, f64::max);
        figures.insert("return_offered_most_share".into(), share);
        let offered: u32 = first_ten_seconds.iter().map(|t| t.offered).sum();
        let takes: f64 = first_ten_seconds.iter().map(|t| t.takes).sum();
        figures.insert("return_offered_share".into(), f64::from(offered) / takes.max(1e-9));
    }
    let breaches = checker.breaches().to_vec();
    let (seconds, dests) = record.seconds();
    if let Some(s) = return_s {
        // The first second after the return from which three consecutive seconds have a median within the
        // aim of one second.
        let from = s.ceil() as usize;
        let meets_aim = |second: &&Second| second.delivered > 0 && second.p50_ms <= 1000.0;
        let recovered = (from..seconds.len().saturating_sub(2))
            .find(|n| seconds[*n..n + 3].iter().all(|x| meets_aim(&x)));
        figures.insert("return_met_again_s".into(), recovered.map_or(f64::INFINITY, |n| (n - from) as f64));
    }
    Leg { size, repeat, figures, rules, breaches, seconds, dests, first_ten_seconds, ..Leg::default() }
}

fn rule_name(rule: Rule) -> String {
    serde_json::to_value(rule).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// The destination whose return is reported: that of the first event.
fn followed_destination(experiment: &Experiment) -> usize {
    experiment.troubles.first().map_or(0, |t| t.dest)
}

/// Runs one leg in virtual time. The clock starts one second before the load.
pub fn in_virtual_time(experiment: &Experiment, size: usize, repeat: usize) -> Leg {
    let started = Instant::now();
    let run = VirtualRun::run(experiment, size, experiment.seed + repeat as u64);
    let record_counts = run.record_counts();
    let mut leg = finish_leg(
        run.world,
        size,
        repeat,
        experiment.return_s.map(|s| s + 1.0),
        followed_destination(experiment),
    );
    leg.virtual_time = true;
    leg.figures.insert("took_s".into(), started.elapsed().as_secs_f64());
    leg.figures.insert("full_records".into(), record_counts.full as f64);
    leg
}

/// Runs one leg on sockets. The load starts once the relays have processed the list.
pub async fn on_sockets(
    experiment: &Experiment,
    program: &Path,
    folder: &Path,
    size: usize,
    repeat: usize,
    progress: bool,
) -> Result<Leg, String> {
    let seed = experiment.seed + repeat as u64;
    let world = Rc::new(RefCell::new(World::new(experiment, size, seed)));
    let fault = |what: &str, e: std::io::Error| format!("{what}: cannot listen: {e}");
    // The clock starts before the list is published, so the load starts at an offset.
    let clock_start = Instant::now();
    let push = experiment.relay.front == Front::Push;
    let emulator = Emulator::start(world.clone(), clock_start, push).map_err(|e| fault("emulator", e))?;
    for t in &experiment.troubles {
        let endpoints = world.borrow().endpoints_of(t.dest);
        for endpoint in endpoints.filter(|_| makes_unreachable(t.kind)) {
            let moves = if t.kind == Event::Move { 1 } else { 0 };
            for moved in 0..=moves {
                emulator.listen_separately(endpoint, moved).map_err(|e| fault("endpoint", e))?;
            }
        }
    }
    let down = experiment.list.down.clone();
    let costs = experiment.list.service.clone();
    let discovery = Discovery::start(world.clone(), emulator.clone(), clock_start, down, costs);
    let discovery = discovery.await.map_err(|e| fault("discovery", e))?;
    let notices =
        push::notices(world.clone(), clock_start).await.map_err(|e| fault("receiver of notices", e))?;
    let list_or_notices = if push { notices } else { discovery.address };
    let environment = RelayEnvironment { list_or_notices, port: emulator.port, dests: size };
    let mut relays = Vec::new();
    for number in 0..experiment.relay.count {
        let relay = Relay::start(program, folder, experiment, number, environment, seed + number as u64);
        relays.push(relay.await?);
    }
    let mut extra_figures: BTreeMap<String, f64> = BTreeMap::new();
    wait_until_idle(&relays).await;
    extra_figures
        .insert("resident_listed_kb".into(), total_usage(&relays).resident_kb as f64 / relays.len() as f64);
    for _ in 0..experiment.list.told_again {
        discovery.publish_all();
        sleep(REPUBLISH_PAUSE).await;
        wait_until_idle(&relays).await;
    }
    extra_figures
        .insert("resident_again_kb".into(), total_usage(&relays).resident_kb as f64 / relays.len() as f64);

    let load_start = Instant::now();
    let offset = clock_start.elapsed();
    let mut arrivals = vec![Vec::new(); relays.len()];
    for (n, arrival) in draw(&experiment.load, experiment.seconds, size, seed).into_iter().enumerate() {
        arrivals[n % relays.len()].push((n as u64 + 1, arrival));
    }
    let before = total_usage(&relays);
    for (relay, arrivals) in relays.iter().zip(arrivals) {
        let (body, connections) = (experiment.load.body, experiment.load.connections);
        if push {
            let submitters = push::Submitters::new(relay.address, world.clone(), body, connections);
            spawn_local(load::submit_all(submitters, world.clone(), clock_start, arrivals, load_start));
        } else {
            let submitters = load::Submitters::new(relay.address, body);
            spawn_local(load::submit_all(submitters, world.clone(), clock_start, arrivals, load_start));
        }
    }
    for at in experiment.list.told_at.clone() {
        let discovery = discovery.clone();
        spawn_local(async move {
            sleep_until((load_start + Duration::from_secs_f64(at)).into()).await;
            discovery.publish_all_reweighted();
        });
    }
    let late = Duration::from_secs_f64(experiment.list.late_s);
    for t in &experiment.troubles {
        let (t, world, emulator, discovery) = (t.clone(), world.clone(), emulator.clone(), discovery.clone());
        spawn_local(async move {
            sleep_until((load_start + Duration::from_secs_f64(t.at_s)).into()).await;
            let now = clock_start.elapsed();
            let changes = world.borrow_mut().apply_event(now, t.kind, t.dest, t.for_s, t.unlisted);
            for (at, entry) in changes {
                let discovery = discovery.clone();
                spawn_local(async move {
                    sleep_until((clock_start + at + late).into()).await;
                    discovery.publish(entry);
                });
            }
            let endpoints = world.borrow().endpoints_of(t.dest);
            let until = clock_start + now + Duration::from_secs_f64(t.for_s);
            if t.kind == Event::Drain {
                sleep_until(until.into()).await;
                endpoints.for_each(|endpoint| emulator.refuse(endpoint, true));
            } else if makes_unreachable(t.kind) {
                let close_open = t.kind != Event::Trouble(Trouble::Refuse);
                endpoints.clone().for_each(|endpoint| emulator.refuse(endpoint, close_open));
                sleep_until(until.into()).await;
                let moved = u32::from(t.kind == Event::Move);
                // If the port cannot be bound again, the endpoint stays down, which the figures show.
                endpoints.for_each(|endpoint| drop(emulator.listen_separately(endpoint, moved)));
            }
        });
    }
    let total = experiment.seconds as u64;
    let bar = if progress { ProgressBar::new(total) } else { ProgressBar::hidden() };
    bar.set_style(ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("valid template"));
    bar.set_message(format!("{size} listed, {}", repeat + 1));
    let (mut last, mut after_messages) = (before, None);
    loop {
        sleep(Duration::from_millis(1000 - (clock_start.elapsed().as_millis() % 1000) as u64)).await;
        let now = clock_start.elapsed();
        let usage = total_usage(&relays);
        let mut world = world.borrow_mut();
        world.tick(now);
        let second = world.record.second(now.saturating_sub(Duration::from_millis(500)));
        second.cpu_ms = (usage.cpu.saturating_sub(last.cpu)).as_secs_f64() * 1000.0;
        (second.resident_kb, second.descriptors) = (usage.resident_kb, usage.descriptors);
        last = usage;
        bar.set_position(load_start.elapsed().as_secs().min(total));
        let load_over = load_start.elapsed().as_secs_f64() >= experiment.seconds;
        if load_over && after_messages.is_none() {
            after_messages = Some(usage);
        }
        let end = load_start + Duration::from_secs_f64(experiment.seconds) + END_TIMEOUT;
        if load_over && (world.checker.open() == 0 || Instant::now() > end) {
            break;
        }
        if let Some(n) = relays.iter_mut().position(|relay| !relay.is_running()) {
            return Err(format!("relay {n} exited unexpectedly; its log is in {}", folder.display()));
        }
    }
    bar.finish_and_clear();
    let used = after_messages.unwrap_or(last).cpu.saturating_sub(before.cpu);
    drop(relays);
    let lists = discovery.lists.get();
    let return_s = experiment.return_s.map(|s| s + offset.as_secs_f64());
    let world = std::mem::replace(&mut *world.borrow_mut(), World::new(experiment, 1, 0));
    let mut leg = finish_leg(world, size, repeat, return_s, followed_destination(experiment));
    let jobs = leg.figures["handed_in"].max(1.0);
    extra_figures.insert("cpu_us_per_job".into(), used.as_secs_f64() * 1e6 / jobs);
    extra_figures.insert("lists_told".into(), f64::from(lists));
    let most = leg.seconds.iter().map(|s| s.descriptors).max().unwrap_or(0);
    extra_figures.insert("descriptors_most".into(), f64::from(most));
    leg.figures.extend(extra_figures);
    Ok(leg)
}

/// Whether the endpoint is unreachable during the event.
fn makes_unreachable(event: Event) -> bool {
    !matches!(event, Event::Trouble(t) if !matches!(t, Trouble::Refuse | Trouble::Down))
}

fn total_usage(relays: &[Relay]) -> Usage {
    relays.iter().map(Relay::usage).fold(Usage::default(), |a, b| Usage {
        cpu: a.cpu + b.cpu,
        resident_kb: a.resident_kb + b.resident_kb,
        descriptors: a.descriptors + b.descriptors,
    })
}

/// Waits until the relays are idle, that is, have processed the list they received.
async fn wait_until_idle(relays: &[Relay]) {
    let mut last = total_usage(relays).cpu;
    for _ in 0..100 {
        sleep(Duration::from_millis(150)).await;
        let now = total_usage(relays).cpu;
        if now.saturating_sub(last) < Duration::from_millis(3) {
            return;
        }
        last = now;
    }
}
