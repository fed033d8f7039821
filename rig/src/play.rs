//! Plays a schedule: stand-ins, links and processes are set up, faults come at their times, and what was seen is kept.
use indicatif::{ProgressBar, ProgressStyle};
use onyxglade_lab::arrivals::draw;
use onyxglade_lab::discovery::Discovery;
use onyxglade_lab::emulator::Emulator;
use onyxglade_lab::experiment::Event as Partner;
use onyxglade_lab::load::{self, Submitters};
use onyxglade_lab::rules::DrainedCall;
use onyxglade_lab::world::World;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::check::{self, Promise};
use crate::clients::{Clients, Holders};
use crate::datagrams::Datagrams;
use crate::fleet::{self, Relay};
use crate::history::{History, Unanswered, What};
use crate::links::Link;
use crate::report::Outcome;
use crate::schedule::{Fault, Folder, Kind, Known, LinkTo, Schedule};

/// After the last message, what is open has so long to end.
const AFTER: Duration = Duration::from_secs(13);
/// ... and views so long to agree, where relays talk to one another.
const AGREE: Duration = Duration::from_secs(60);
/// The key that relays share.
const KEY: &str = "a key for relays that a rig has started";
/// Messages begin at the latest so long after the first process's start.
const READY: Duration = Duration::from_secs(60);
/// A process that was restarted may be so late, from when it is ready, with what was due before.
const TOLD_AGAIN: Duration = Duration::from_millis(1500);
/// A process that was killed in a write is back after so long.
const BACK: Duration = Duration::from_millis(600);
/// How often it is looked whether a time has come.
const LOOK: Duration = Duration::from_millis(50);

/// The programs that are played.
#[derive(Clone, Debug)]
pub struct Programs {
    pub present: PathBuf,
    /// The version before, where the schedule has some of it.
    pub before: Option<PathBuf>,
}

/// What faults are done to.
struct Stage {
    schedule: Schedule,
    relays: Vec<Rc<Relay>>,
    links: HashMap<(usize, LinkTo), Rc<Link>>,
    world: Rc<RefCell<World>>,
    discovery: Rc<Discovery>,
    holders: Holders,
    datagrams: Rc<Datagrams>,
    start: Instant,
    /// What could not be done: the play is void.
    void: RefCell<Option<String>>,
    /// Faults that are under way or yet to come.
    faults_left: Cell<usize>,
}

/// Plays a schedule in a folder.
pub async fn play(
    schedule: &Schedule,
    programs: &Programs,
    folder: &Path,
    progress: bool,
) -> Result<(Outcome, History), String> {
    let experiment = schedule.experiment();
    let size = experiment.dests();
    let world = Rc::new(RefCell::new(World::new(&experiment, size, schedule.seed)));
    let lists_pass = schedule.instances.as_ref().is_some_and(|instances| instances.lists);
    if !lists_pass {
        world.borrow_mut().checker.keep_drained_calls();
    }
    let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
    let start = Instant::now();
    let emulator =
        Emulator::start(world.clone(), start, false).map_err(|e| fault("the emulator's listener", e))?;
    let discovery =
        Discovery::start(world.clone(), emulator.clone(), start, Vec::new(), schedule.service.clone());
    let discovery = discovery.await.map_err(|e| fault("the list service's listener", e))?;
    let events = Rc::new(RefCell::new(Vec::new()));
    let shim = schedule.needs_shim().then(onyxglade_lab::relay::shim).transpose()?;
    let carried = schedule.carried();
    let knowing = schedule.relays(&schedule.start.known_by)?;
    let is_old = |number: usize| schedule.start.before_in_100 as usize > number * 100 / schedule.relay.count;
    let (mut relays, mut links, mut submitters) = (Vec::new(), HashMap::new(), Vec::new());
    for number in 0..schedule.relay.count {
        let seed = schedule.seed.wrapping_mul(7919).wrapping_add(number as u64);
        let link = |link: std::io::Result<Rc<Link>>| link.map_err(|e| format!("a link of r{number}: {e}"));
        let port = if carried.contains(&LinkTo::Endpoints) {
            let wide = link(Link::wide(emulator.port, seed))?;
            let port = wide.address.port();
            links.insert((number, LinkTo::Endpoints), wide);
            Some(port)
        } else {
            None
        };
        let mut list =
            discovery.listen(number, port).await.map_err(|e| fault("the list service's listener", e))?;
        if carried.contains(&LinkTo::List) {
            let to = link(Link::to(list, seed))?;
            list = to.address;
            links.insert((number, LinkTo::List), to);
        }
        let knows = knowing.contains(&number);
        let known = known(if knows { schedule.start.known } else { Known::Nothing }, &discovery, port).await;
        let old = is_old(number);
        let program = match &programs.before {
            Some(before) if old => before,
            None if old => {
                return Err("start.before_in_100: no program of the version before is named".into());
            }
            _ => &programs.present,
        };
        let told = (events.clone(), start);
        let relay =
            Relay::new(program, folder, number, &schedule.relay, list, known, seed, shim.clone(), told)?;
        let mut address = relay.address;
        if carried.contains(&LinkTo::Submitters) {
            let to = link(Link::to(address, seed))?;
            address = to.address;
            links.insert((number, LinkTo::Submitters), to);
        }
        submitters.push(Submitters::new(address, schedule.load.body));
        relays.push(relay);
    }
    let datagrams = Datagrams::new(fleet::FIRST, schedule.seed);
    let mut owns = vec![schedule.relay.own.clone(); relays.len()];
    if let Some(instances) = &schedule.instances {
        let key = folder.join("key");
        std::fs::write(&key, KEY).map_err(|e| fault("the key", e))?;
        let mut reached = Vec::new();
        for relay in &relays {
            let way = datagrams.lead_to(relay.number, relay.instances).await;
            reached.push(way.map_err(|e| fault("a way between relays", e))?.to_string());
        }
        for (number, own) in owns.iter_mut().enumerate() {
            let zone =
                instances.zones.get(number % instances.zones.len().max(1)).cloned().unwrap_or_default();
            let mut table = toml::Table::new();
            table.insert("zone".into(), zone.into());
            table.insert("listen".into(), relays[number].instances.to_string().into());
            table.insert("advertise".into(), reached[number].clone().into());
            table.insert("seeds".into(), reached[..instances.seeds].to_vec().into());
            table.insert("key_file".into(), key.display().to_string().into());
            // The version before knows nothing of these.
            if !is_old(number) {
                table.insert("lists".into(), instances.lists.into());
                table.insert("shares".into(), instances.shares.into());
            }
            table.insert("expected".into(), (relays.len() as i64).into());
            own.insert("instances".into(), table.into());
        }
    }
    for (relay, own) in relays.iter().zip(&owns) {
        relay.write_own(own)?;
    }
    // The clock of the schedule begins here; the stand-ins' own began a moment before.
    let stage = Rc::new(Stage {
        schedule: schedule.clone(),
        relays,
        links,
        world: world.clone(),
        discovery: discovery.clone(),
        holders: Rc::default(),
        datagrams,
        start: Instant::now(),
        void: RefCell::default(),
        faults_left: Cell::new(schedule.faults.len()),
    });
    for fault in &schedule.faults {
        let (stage, fault) = (stage.clone(), fault.clone());
        spawn_local(async move {
            sleep_until((stage.start + Duration::from_secs_f64(fault.at_s)).into()).await;
            if let Err(why) = stage.happen(&fault).await {
                stage.is_void(why);
            }
            stage.faults_left.set(stage.faults_left.get() - 1);
        });
    }
    let step = Duration::from_secs_f64(schedule.start.over_s / stage.relays.len() as f64);
    for (number, relay) in stage.relays.iter().enumerate() {
        sleep_until((stage.start + step * number as u32).into()).await;
        relay.start()?;
    }
    // A front hands a relay its clients once it is ready.
    let first_ready = |history: &History| history.up().is_some();
    let warm = |history: &History| history.listed().iter().all(Option::is_some);
    let seen = || History {
        relays: stage.relays.len(),
        known: schedule.start.known != Known::Nothing && knowing.len() == stage.relays.len(),
        instances: schedule.instances.is_some(),
        events: events.borrow().clone(),
        ..History::default()
    };
    while stage.start.elapsed() < READY {
        let history = seen();
        let crashed = history.events.iter().any(|event| matches!(event.what, What::Crashed(_)));
        if crashed || first_ready(&history) && (!schedule.start.warm || warm(&history)) {
            break;
        }
        sleep(LOOK).await;
    }
    let begin = Instant::now();
    let mut arrivals = vec![Vec::new(); stage.relays.len()];
    let drawn = draw(&schedule.load, schedule.seconds, size, schedule.seed);
    for (n, arrival) in drawn.into_iter().enumerate() {
        arrivals[n % stage.relays.len()].push((n as u64 + 1, arrival));
    }
    let addresses: Vec<_> = stage.relays.iter().map(|relay| relay.address).collect();
    schedule.crowd.gather(&addresses);
    let submitters = Rc::new(submitters);
    for (mine, arrivals) in arrivals.into_iter().enumerate() {
        let holders = stage.holders.clone();
        let clients = Rc::new(Clients { relays: submitters.clone(), mine, holders });
        spawn_local(load::submit_all(clients, world.clone(), start, arrivals, begin));
    }
    let total = schedule.seconds.ceil() as u64;
    let bar = if progress { ProgressBar::new(total) } else { ProgressBar::hidden() };
    bar.set_style(ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("a sound template"));
    bar.set_message(format!("{} relays", stage.relays.len()));
    loop {
        sleep(Duration::from_millis(1000 - (start.elapsed().as_millis() % 1000) as u64)).await;
        world.borrow_mut().tick(start.elapsed());
        bar.set_position(begin.elapsed().as_secs().min(total));
        if let Some(why) = stage.void.borrow().clone() {
            return Err(why);
        }
        let end = begin + Duration::from_secs_f64(schedule.seconds);
        let over = Instant::now() > end && stage.faults_left.get() == 0;
        let open = world.borrow().checker.open();
        let agree = !over || check::broken(&seen(), Promise::AllSeeAll).is_none();
        if over && (open == 0 && agree || Instant::now() > end + if agree { AFTER } else { AGREE }) {
            break;
        }
    }
    bar.finish_and_clear();
    let mut history = seen();
    // What ends from here on is the rig's doing.
    for relay in &stage.relays {
        relay.end(true).await;
    }
    let taken = schedule.partners.iter().map(|p| p.nature.opens).filter(|n| *n > 0).min();
    let world = std::mem::replace(&mut *world.borrow_mut(), World::new(&experiment, 1, 0));
    history.list_calls = discovery.calls.borrow().clone();
    history.list_answers = discovery.answers.borrow().clone();
    history.outages = spans(discovery.outages().into_iter().chain(refusals(schedule)));
    history.must_ask_in = Duration::from_millis(schedule.relay.must_ask_in_ms);
    let holders = stage.holders.borrow();
    let whose = |call: &DrainedCall| Some((*holders.get(&call.msg)?, *call));
    history.drained_calls = world.checker.drained_calls().iter().filter_map(whose).collect();
    history.forgot = discovery.state_losses.borrow().clone();
    history.told = discovery.published.borrow().clone();
    (history.answering, history.throwing) = discovery.service_time();
    (history.opens_most, history.opens_refused, history.opens_all) = world.record.connection_counts();
    history.opens_taken = taken.unwrap_or(0);
    history.breaches = world.checker.breaches().to_vec();
    history.rules_broken = world.checker.total();
    let figures = world.record.figures();
    (history.handed_in, history.delivered) = (figures["handed_in"] as u32, figures["delivered"] as u32);
    // By the same clock as what is seen of processes.
    let since = |at: Instant| at.saturating_duration_since(start);
    let unanswered = submitters.iter().enumerate().flat_map(|(relay, clients)| {
        clients.unanswered().into_iter().map(move |request| Unanswered {
            relay,
            msg: request.msg,
            why: request.why,
            connected: since(request.connected),
            ended: since(request.ended),
        })
    });
    history.unanswered = unanswered.collect();
    let (seconds, _) = world.record.seconds();
    Ok((Outcome::new(schedule, &history, seconds), history))
}

/// Spans in seconds as spans of time.
fn spans(seconds: impl Iterator<Item = (f64, f64)>) -> Vec<(Duration, Duration)> {
    let span = |(from, to)| (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
    seconds.map(span).collect()
}

/// Spans in which every relay's connections to the list service are refused, in seconds.
fn refusals(schedule: &Schedule) -> impl Iterator<Item = (f64, f64)> {
    let refuses = |fault: &&Fault| fault.kind == Kind::Refuse && fault.link == Some(LinkTo::List);
    let all = |fault: &&Fault| schedule.relays(&fault.relays).is_ok_and(|r| r.len() == schedule.relay.count);
    let faults = schedule.faults.iter().filter(refuses).filter(all);
    faults.map(|fault| (fault.at_s, fault.at_s + fault.for_s.unwrap_or(schedule.seconds)))
}

/// The list that a relay is told to have held last.
async fn known(known: Known, discovery: &Discovery, port: Option<u16>) -> Option<Value> {
    if known == Known::Nothing {
        return None;
    }
    let mut list: Value = serde_json::from_slice(&discovery.current_list(port).await).ok()?;
    if known == Known::Old {
        // Every address is the next one's now.
        list["generation"] = 0.into();
        let entries = list["instances"].as_array_mut()?;
        let addresses: Vec<_> = entries.iter().map(|e| e["hostPort"].clone()).collect();
        let places = addresses.len();
        entries.iter_mut().enumerate().for_each(|(n, e)| e["hostPort"] = addresses[(n + 1) % places].clone());
    }
    Some(list)
}

impl Stage {
    /// Does what the schedule has happen, to its end.
    async fn happen(self: &Rc<Self>, fault: &Fault) -> Result<(), String> {
        let lasts = fault.for_s.map(Duration::from_secs_f64);
        let numbers = self.schedule.relays(&fault.relays)?;
        let chosen: Vec<_> = numbers.iter().map(|n| self.relays[*n].clone()).collect();
        match fault.kind {
            Kind::ListDown => self.discovery.start_outage(lasts.unwrap_or_default()),
            Kind::ListForgets => self.discovery.lose_state(),
            Kind::ListChanges => self.discovery.publish_all_reweighted(),
            Kind::ListBusy => {
                self.discovery.accept_one_in(fault.one_in);
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    self.discovery.accept_one_in(0);
                }
            }
            Kind::ListLies => {
                self.discovery.set_false_generation(&numbers, true);
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    self.discovery.set_false_generation(&numbers, false);
                }
            }
            Kind::Partner => self.partner(fault),
            Kind::Hup => chosen.iter().for_each(|relay| relay.hup()),
            Kind::Call | Kind::Clock => {
                let system = fault.of_system().expect("checked");
                chosen.iter().try_for_each(|relay| relay.strike(system))?;
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    chosen.iter().try_for_each(|relay| relay.heal(system))?;
                }
            }
            Kind::TornWrite => {
                let system = fault.of_system().expect("checked");
                for relay in chosen {
                    let stage = self.clone();
                    let dies = async move {
                        relay.die_in_write(system, lasts.unwrap_or_default()).await?;
                        stage.put_off(relay.number, Duration::MAX);
                        sleep(BACK).await;
                        relay.start_again(Folder::Kept)?;
                        stage.ready_again(relay).await;
                        Ok::<_, String>(())
                    };
                    let stage = self.clone();
                    spawn_local(async move { dies.await.unwrap_or_else(|why| stage.is_void(why)) });
                }
            }
            Kind::Stop => {
                let stops = chosen.into_iter().map(|relay| {
                    let lasts = lasts.unwrap_or_default();
                    spawn_local(async move { relay.stop(lasts).await })
                });
                for stop in stops.collect::<Vec<_>>() {
                    stop.await.map_err(|e| e.to_string())?;
                }
            }
            Kind::Kill | Kind::Term => {
                let at_once = fault.kind == Kind::Kill;
                if lasts.is_some() {
                    numbers.iter().for_each(|relay| self.put_off(*relay, Duration::MAX));
                }
                let ends =
                    chosen.iter().cloned().map(|relay| spawn_local(async move { relay.end(at_once).await }));
                for end in ends.collect::<Vec<_>>() {
                    end.await.map_err(|e| e.to_string())?;
                }
                if fault.folder != Folder::Kept {
                    // What the folder held is gone with it, which is the schedule's doing.
                    let holders = self.holders.borrow();
                    let mut world = self.world.borrow_mut();
                    let lost = holders.iter().filter(|(_, relay)| numbers.contains(relay));
                    lost.for_each(|(msg, _)| world.checker.exempt(*msg));
                }
                let Some(lasts) = lasts else { return Ok(()) };
                sleep(lasts).await;
                let step = fault.back_over_s.unwrap_or(0.0) / chosen.len() as f64;
                for relay in &chosen {
                    relay.start_again(fault.folder)?;
                    spawn_local(self.clone().ready_again(relay.clone()));
                    sleep(Duration::from_secs_f64(step)).await;
                }
            }
            _ if fault.link == Some(LinkTo::Instances) => {
                let others = (0..self.relays.len()).filter(|n| !numbers.contains(n)).collect();
                let peers = fault.peers.as_ref().map_or(Ok(others), |named| self.schedule.relays(named))?;
                self.part(fault, &numbers, &peers, true);
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    self.part(fault, &numbers, &peers, false);
                }
            }
            _ => {
                let link = fault.link.expect("checked");
                let links: Vec<_> = numbers.iter().map(|n| self.links[&(*n, link)].clone()).collect();
                for link in &links {
                    link.change(|state| set(state, fault, true));
                }
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    for link in &links {
                        link.change(|state| set(state, fault, false));
                    }
                }
            }
        }
        Ok(())
    }

    /// Something could not be done.
    fn is_void(&self, why: String) {
        self.void.replace(Some(why));
    }

    /// No end of what a relay holds is overdue before a time.
    fn put_off(&self, relay: usize, until: Duration) {
        let holders = self.holders.borrow();
        let mut world = self.world.borrow_mut();
        let held = holders.iter().filter(|(_, holder)| **holder == relay);
        held.for_each(|(msg, _)| world.checker.defer_end(*msg, until));
    }

    /// A relay that was started again owes what it holds a while after it is ready.
    async fn ready_again(self: Rc<Self>, relay: Rc<Relay>) {
        if relay.ready().await {
            self.put_off(relay.number, self.discovery.clock_start().elapsed() + TOLD_AGAIN);
        }
    }

    /// Begins or ends a fault of the ways between some relays and others.
    fn part(&self, fault: &Fault, relays: &[usize], peers: &[usize], begins: bool) {
        let change = |from, to| {
            self.datagrams.change(from, to, |way| match fault.kind {
                Kind::Lossy => way.lose = if begins { fault.lose } else { 0.0 },
                Kind::Slow => {
                    let part = |ms| Duration::from_millis(if begins { ms } else { 0 });
                    (way.delay, way.jitter) = (part(fault.delay_ms), part(fault.jitter_ms));
                }
                _ if begins => way.cuts += 1,
                _ => way.cuts -= 1,
            });
        };
        for (relay, peer) in
            relays.iter().flat_map(|r| peers.iter().map(move |p| (*r, *p))).filter(|(r, p)| r != p)
        {
            if fault.kind != Kind::CutFrom {
                change(relay, peer);
            }
            if fault.kind != Kind::CutTo {
                change(peer, relay);
            }
        }
    }

    /// A partner is in trouble, and the list tells of it.
    fn partner(self: &Rc<Self>, fault: &Fault) {
        let (Some(dest), Some(trouble)) = (fault.dest, fault.trouble) else { return };
        let zero = self.discovery.clock_start();
        let seconds = fault.for_s.unwrap_or(86_400.0);
        let told = self.world.borrow_mut().apply_event(
            zero.elapsed(),
            trouble,
            dest,
            seconds,
            trouble != Partner::Drain,
        );
        for (at, entry) in told {
            let discovery = self.discovery.clone();
            spawn_local(async move {
                sleep_until((zero + at).into()).await;
                discovery.publish(entry);
            });
        }
    }
}

/// Begins or ends a fault of a link.
fn set(state: &mut crate::links::State, fault: &Fault, begins: bool) {
    match fault.kind {
        Kind::Cut => (state.to.cut, state.from.cut) = (begins, begins),
        Kind::CutTo => state.to.cut = begins,
        Kind::CutFrom => state.from.cut = begins,
        Kind::Refuse => state.refused = begins,
        Kind::Reset => state.resets += u64::from(begins),
        Kind::Stuck => state.stuck += u64::from(begins),
        Kind::Tear => state.tear = if begins { fault.after_bytes } else { 0 },
        Kind::Slow => {
            let part = |ms| Duration::from_millis(if begins { ms } else { 0 });
            for way in [&mut state.to, &mut state.from] {
                (way.delay, way.jitter) = (part(fault.delay_ms), part(fault.jitter_ms));
                way.bytes_per_s = if begins { fault.bytes_per_s } else { 0 };
            }
        }
        _ => {}
    }
}
