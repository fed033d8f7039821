//! Plays an experiment on real sockets, against the real relay: one leg for each size and repetition.
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
use crate::record::{Second, Taken};
use crate::relay::{Relay, RelayEnvironment, Usage};
use crate::rules::{Breach, Rule};
use crate::virtual_time::Play;
use crate::world::World;

/// After the last message, what is open has so long to end.
const AFTER: Duration = Duration::from_secs(13);
/// A list told again is given so long to be taken in.
const AGAIN: Duration = Duration::from_millis(250);

/// One time an experiment was played.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Leg {
    /// Destinations listed.
    pub size: usize,
    pub repeat: usize,
    /// Whether it was played in virtual time.
    pub virtual_time: bool,
    pub figures: BTreeMap<String, f64>,
    pub rules: BTreeMap<String, usize>,
    #[serde(skip_deserializing)]
    pub breaches: Vec<Breach>,
    pub seconds: Vec<Second>,
    /// What each of the followed destinations got.
    pub dests: BTreeMap<usize, Vec<Taken>>,
    /// The first ten seconds after a return: offered, served, and what it takes.
    pub first_ten_seconds: Vec<Taken>,
}

impl Leg {
    /// Puts what a bare forwarder took for the same beside it.
    pub fn beside(&mut self, baseline: &Leg) {
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

fn leg(world: World, size: usize, repeat: usize, return_s: Option<f64>, dest: usize) -> Leg {
    let World { checker, record, .. } = world;
    let mut figures = record.figures();
    figures.insert("rules_broken".into(), checker.total() as f64);
    let first_ten_seconds = return_s.map_or(Vec::new(), |s| record.from(dest, s.ceil() as usize, 10));
    let rules: BTreeMap<_, _> = checker.counts().iter().map(|(rule, n)| (rule_name(*rule), *n)).collect();
    figures
        .insert("pushed_over".into(), checker.counts().get(&Rule::PushedOver).copied().unwrap_or(0) as f64);
    if !first_ten_seconds.is_empty() {
        let most = first_ten_seconds.iter().filter(|t| t.offered > 0);
        let share = most.map(|t| f64::from(t.offered) / t.takes.max(1e-9)).fold(0.0, f64::max);
        figures.insert("return_offered_most_share".into(), share);
        let offered: u32 = first_ten_seconds.iter().map(|t| t.offered).sum();
        let takes: f64 = first_ten_seconds.iter().map(|t| t.takes).sum();
        figures.insert("return_offered_share".into(), f64::from(offered) / takes.max(1e-9));
    }
    let breaches = checker.breaches().to_vec();
    let (seconds, dests) = record.seconds();
    if let Some(s) = return_s {
        // From the return on, the first second from which three in a row have a median within the aim of a second.
        let from = s.ceil() as usize;
        let met = |second: &&Second| second.delivered > 0 && second.p50_ms <= 1000.0;
        let back =
            (from..seconds.len().saturating_sub(2)).find(|n| seconds[*n..n + 3].iter().all(|x| met(&x)));
        figures.insert("return_met_again_s".into(), back.map_or(f64::INFINITY, |n| (n - from) as f64));
    }
    Leg { size, repeat, figures, rules, breaches, seconds, dests, first_ten_seconds, ..Leg::default() }
}

fn rule_name(rule: Rule) -> String {
    serde_json::to_value(rule).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// The destination whose return is drawn: that of the first thing that happens.
fn followed(experiment: &Experiment) -> usize {
    experiment.troubles.first().map_or(0, |t| t.dest)
}

/// Plays one leg in virtual time, whose clock begins a second before the first message.
pub fn in_virtual_time(experiment: &Experiment, size: usize, repeat: usize) -> Leg {
    let begun = Instant::now();
    let play = Play::run(experiment, size, experiment.seed + repeat as u64);
    let kept = play.kept();
    let mut leg = leg(play.world, size, repeat, experiment.return_s.map(|s| s + 1.0), followed(experiment));
    leg.virtual_time = true;
    leg.figures.insert("took_s".into(), begun.elapsed().as_secs_f64());
    leg.figures.insert("full_records".into(), kept.full as f64);
    leg
}

/// Plays one leg on sockets. Messages begin a second after the list was taken in.
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
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    // Listing and its repetitions come before the clock of the experiment begins.
    let began = Instant::now();
    let push = experiment.relay.front == Front::Push;
    let emulator =
        Emulator::start(world.clone(), began, push).map_err(|e| fault("the emulator's listener", e))?;
    for t in &experiment.troubles {
        let endpoints = world.borrow().endpoints_of(t.dest);
        for endpoint in endpoints.filter(|_| gone(t.kind)) {
            let moves = if t.kind == Event::Move { 1 } else { 0 };
            for moved in 0..=moves {
                emulator.make_own(endpoint, moved).map_err(|e| fault("an endpoint's listener", e))?;
            }
        }
    }
    let down = experiment.list.down.clone();
    let costs = experiment.list.service.clone();
    let discovery = Discovery::start(world.clone(), emulator.clone(), began, down, costs);
    let discovery = discovery.await.map_err(|e| fault("discovery's listener", e))?;
    let notices = push::notices(world.clone(), began).await.map_err(|e| fault("the notices' listener", e))?;
    let list_or_notices = if push { notices } else { discovery.address };
    let around = RelayEnvironment { list_or_notices, port: emulator.port, dests: size };
    let mut relays = Vec::new();
    for number in 0..experiment.relay.count {
        let relay = Relay::start(program, folder, experiment, number, around, seed + number as u64);
        relays.push(relay.await?);
    }
    let mut extra: BTreeMap<String, f64> = BTreeMap::new();
    settle(&relays).await;
    extra.insert("resident_listed_kb".into(), sum(&relays).resident_kb as f64 / relays.len() as f64);
    for _ in 0..experiment.list.told_again {
        discovery.publish_all();
        sleep(AGAIN).await;
        settle(&relays).await;
    }
    extra.insert("resident_again_kb".into(), sum(&relays).resident_kb as f64 / relays.len() as f64);

    let begin = Instant::now();
    let offset = began.elapsed();
    let mut arrivals = vec![Vec::new(); relays.len()];
    for (n, arrival) in draw(&experiment.load, experiment.seconds, size, seed).into_iter().enumerate() {
        arrivals[n % relays.len()].push((n as u64 + 1, arrival));
    }
    let before = sum(&relays);
    for (relay, arrivals) in relays.iter().zip(arrivals) {
        let (body, lines) = (experiment.load.body, experiment.load.connections);
        if push {
            let submitters = push::Submitters::new(relay.address, world.clone(), body, lines);
            spawn_local(load::submit_all(submitters, world.clone(), began, arrivals, begin));
        } else {
            let submitters = load::Submitters::new(relay.address, body);
            spawn_local(load::submit_all(submitters, world.clone(), began, arrivals, begin));
        }
    }
    for at in experiment.list.told_at.clone() {
        let discovery = discovery.clone();
        spawn_local(async move {
            sleep_until((begin + Duration::from_secs_f64(at)).into()).await;
            discovery.publish_all_reweighted();
        });
    }
    let late = Duration::from_secs_f64(experiment.list.late_s);
    for t in &experiment.troubles {
        let (t, world, emulator, discovery) = (t.clone(), world.clone(), emulator.clone(), discovery.clone());
        spawn_local(async move {
            sleep_until((begin + Duration::from_secs_f64(t.at_s)).into()).await;
            let now = began.elapsed();
            let told = world.borrow_mut().apply_event(now, t.kind, t.dest, t.for_s, t.unlisted);
            for (at, entry) in told {
                let discovery = discovery.clone();
                spawn_local(async move {
                    sleep_until((began + at + late).into()).await;
                    discovery.publish(entry);
                });
            }
            let endpoints = world.borrow().endpoints_of(t.dest);
            let until = began + now + Duration::from_secs_f64(t.for_s);
            if t.kind == Event::Drain {
                sleep_until(until.into()).await;
                endpoints.for_each(|endpoint| emulator.refuse(endpoint, true));
            } else if gone(t.kind) {
                let breaks = t.kind != Event::Trouble(Trouble::Refuse);
                endpoints.clone().for_each(|endpoint| emulator.refuse(endpoint, breaks));
                sleep_until(until.into()).await;
                let moved = u32::from(t.kind == Event::Move);
                // A port that cannot be had again leaves the endpoint down, which the figures show.
                endpoints.for_each(|endpoint| drop(emulator.make_own(endpoint, moved)));
            }
        });
    }
    let total = experiment.seconds as u64;
    let bar = if progress { ProgressBar::new(total) } else { ProgressBar::hidden() };
    bar.set_style(ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("a sound template"));
    bar.set_message(format!("{size} listed, {}", repeat + 1));
    let (mut last, mut after_messages) = (before, None);
    loop {
        sleep(Duration::from_millis(1000 - (began.elapsed().as_millis() % 1000) as u64)).await;
        let now = began.elapsed();
        let usage = sum(&relays);
        let mut world = world.borrow_mut();
        world.tick(now);
        let second = world.record.second(now.saturating_sub(Duration::from_millis(500)));
        second.cpu_ms = (usage.cpu.saturating_sub(last.cpu)).as_secs_f64() * 1000.0;
        (second.resident_kb, second.descriptors) = (usage.resident_kb, usage.descriptors);
        last = usage;
        bar.set_position(begin.elapsed().as_secs().min(total));
        let over = begin.elapsed().as_secs_f64() >= experiment.seconds;
        if over && after_messages.is_none() {
            after_messages = Some(usage);
        }
        let end = begin + Duration::from_secs_f64(experiment.seconds) + AFTER;
        if over && (world.checker.open() == 0 || Instant::now() > end) {
            break;
        }
        if let Some(n) = relays.iter_mut().position(|relay| !relay.runs()) {
            return Err(format!("relay {n} has ended; its log is in {}", folder.display()));
        }
    }
    bar.finish_and_clear();
    let used = after_messages.unwrap_or(last).cpu.saturating_sub(before.cpu);
    drop(relays);
    let lists = discovery.lists.get();
    let return_s = experiment.return_s.map(|s| s + offset.as_secs_f64());
    let world = std::mem::replace(&mut *world.borrow_mut(), World::new(experiment, 1, 0));
    let mut leg = leg(world, size, repeat, return_s, followed(experiment));
    let jobs = leg.figures["handed_in"].max(1.0);
    extra.insert("cpu_us_per_job".into(), used.as_secs_f64() * 1e6 / jobs);
    extra.insert("lists_told".into(), f64::from(lists));
    let most = leg.seconds.iter().map(|s| s.descriptors).max().unwrap_or(0);
    extra.insert("descriptors_most".into(), f64::from(most));
    leg.figures.extend(extra);
    Ok(leg)
}

/// Whether an endpoint is not there while it lasts.
fn gone(event: Event) -> bool {
    !matches!(event, Event::Trouble(t) if !matches!(t, Trouble::Refuse | Trouble::Down))
}

fn sum(relays: &[Relay]) -> Usage {
    relays.iter().map(Relay::usage).fold(Usage::default(), |a, b| Usage {
        cpu: a.cpu + b.cpu,
        resident_kb: a.resident_kb + b.resident_kb,
        descriptors: a.descriptors + b.descriptors,
    })
}

/// Waits until the relays do no more work: they have taken in what they were told.
async fn settle(relays: &[Relay]) {
    let mut last = sum(relays).cpu;
    for _ in 0..100 {
        sleep(Duration::from_millis(150)).await;
        let now = sum(relays).cpu;
        if now.saturating_sub(last) < Duration::from_millis(3) {
            return;
        }
        last = now;
    }
}
