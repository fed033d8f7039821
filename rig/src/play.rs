//! Plays a schedule: sets up emulated services, links and processes, injects faults at their times, and records what is observed.
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

use crate::check::{self, Invariant};
use crate::clients::{AcceptedBy, Clients};
use crate::datagrams::Datagrams;
use crate::fleet::{self, Relay};
use crate::history::{EventKind, History, UnansweredRequest};
use crate::links::{Link, Repeat};
use crate::report::Outcome;
use crate::schedule::{Fault, FaultKind, KnownList, LinkTo, Schedule, StateFolder};

/// Time after the last message for open messages to complete.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(13);
/// Time after the last message for membership views to agree, where relays exchange membership.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// The key that all relays share.
const KEY: &str = "a key for relays that a rig has started";
/// Messages begin at the latest this long after the start of the first process.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Once a restarted process is ready, messages that were due earlier may complete this late.
const DEADLINE_EXTENSION: Duration = Duration::from_millis(1500);
/// Time from a kill during a write to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// How often to check a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The relay programs to run.
#[derive(Clone, Debug)]
pub struct Programs {
    pub current: PathBuf,
    /// The previous version, for schedules in which some relays run it.
    pub previous: Option<PathBuf>,
}

/// A run in progress: everything that faults act on.
struct Run {
    schedule: Schedule,
    relays: Vec<Rc<Relay>>,
    links: HashMap<(usize, LinkTo), Rc<Link>>,
    world: Rc<RefCell<World>>,
    discovery: Rc<Discovery>,
    accepted_by: AcceptedBy,
    datagrams: Rc<Datagrams>,
    start: Instant,
    /// Why the run cannot go on, if a fault could not be injected.
    abort_reason: RefCell<Option<String>>,
    /// Number of faults that are in progress or still to come.
    faults_left: Cell<usize>,
}

/// Plays a schedule, with the relays' files in `folder`.
pub async fn play(
    schedule: &Schedule,
    programs: &Programs,
    folder: &Path,
    progress: bool,
) -> Result<(Outcome, History), String> {
    let experiment = schedule.experiment();
    let dests = experiment.dests();
    let world = Rc::new(RefCell::new(World::new(&experiment, dests, schedule.seed)));
    let lists_shared = schedule.instances.as_ref().is_some_and(|instances| instances.lists);
    if !lists_shared {
        world.borrow_mut().checker.keep_drained_calls();
    }
    let describe = |what: &str, e: std::io::Error| format!("{what}: {e}");
    let start = Instant::now();
    let emulator = Emulator::start(world.clone(), start, false)
        .map_err(|e| describe("cannot start the emulator's listener", e))?;
    let discovery =
        Discovery::start(world.clone(), emulator.clone(), start, Vec::new(), schedule.service.clone());
    let discovery = discovery.await.map_err(|e| describe("cannot start the list service's listener", e))?;
    let events = Rc::new(RefCell::new(Vec::new()));
    let shim = schedule.needs_shim().then(onyxglade_lab::relay::shim).transpose()?;
    let faulty_links = schedule.faulty_links();
    let relays_with_list = schedule.relays(&schedule.start.known_by)?;
    let runs_previous =
        |number: usize| schedule.start.before_in_100 as usize > number * 100 / schedule.relay.count;
    let (mut relays, mut links, mut submitters) = (Vec::new(), HashMap::new(), Vec::new());
    for number in 0..schedule.relay.count {
        let seed = schedule.seed.wrapping_mul(7919).wrapping_add(number as u64);
        let link = |link: std::io::Result<Rc<Link>>| {
            link.map_err(|e| format!("cannot start a link of r{number}: {e}"))
        };
        let port = if faulty_links.contains(&LinkTo::Endpoints) {
            let endpoint_forwarder = link(Link::to_any_address(emulator.port, seed))?;
            let port = endpoint_forwarder.address.port();
            links.insert((number, LinkTo::Endpoints), endpoint_forwarder);
            Some(port)
        } else {
            None
        };
        let mut list = discovery
            .listen(number, port)
            .await
            .map_err(|e| describe("cannot start the list service's listener", e))?;
        if faulty_links.contains(&LinkTo::List) {
            let forwarder = link(Link::to(list, seed))?;
            list = forwarder.address;
            links.insert((number, LinkTo::List), forwarder);
        }
        let has_list = relays_with_list.contains(&number);
        let known =
            known_list(if has_list { schedule.start.known } else { KnownList::Nothing }, &discovery, port)
                .await;
        let previous_version = runs_previous(number);
        let program = match &programs.previous {
            Some(previous) if previous_version => previous,
            None if previous_version => {
                return Err("start.before_in_100: the previous version's program is not given".into());
            }
            _ => &programs.current,
        };
        let observer = (events.clone(), start);
        let relay =
            Relay::new(program, folder, number, &schedule.relay, list, known, seed, shim.clone(), observer)?;
        let mut address = relay.address;
        if faulty_links.contains(&LinkTo::Submitters) {
            let forwarder = link(Link::to(address, seed))?;
            address = forwarder.address;
            links.insert((number, LinkTo::Submitters), forwarder);
        }
        submitters.push(Submitters::new(address, schedule.load.body));
        relays.push(relay);
    }
    let datagrams = Datagrams::new(fleet::FIRST_ADDRESS, schedule.seed);
    let mut own_files = vec![schedule.relay.own.clone(); relays.len()];
    if let Some(instances) = &schedule.instances {
        let key = folder.join("key");
        std::fs::write(&key, KEY).map_err(|e| describe("cannot write the key", e))?;
        let mut advertised = Vec::new();
        for relay in &relays {
            let path = datagrams.open_path_to(relay.number, relay.peer_address).await;
            advertised.push(path.map_err(|e| describe("cannot open a path between relays", e))?.to_string());
        }
        for (number, own_file) in own_files.iter_mut().enumerate() {
            let zone =
                instances.zones.get(number % instances.zones.len().max(1)).cloned().unwrap_or_default();
            let mut table = toml::Table::new();
            table.insert("zone".into(), zone.into());
            table.insert("listen".into(), relays[number].peer_address.to_string().into());
            table.insert("advertise".into(), advertised[number].clone().into());
            table.insert("seeds".into(), advertised[..instances.seeds].to_vec().into());
            table.insert("key_file".into(), key.display().to_string().into());
            // The previous version does not know these settings.
            if !runs_previous(number) {
                table.insert("lists".into(), instances.lists.into());
                table.insert("shares".into(), instances.shares.into());
            }
            table.insert("expected".into(), (relays.len() as i64).into());
            own_file.insert("instances".into(), table.into());
        }
    }
    if let Some(dest) = schedule.looping_script {
        let script = folder.join("looping.rhai");
        std::fs::write(&script, looping_script(dest)).map_err(|e| describe("cannot write the script", e))?;
        for own_file in &mut own_files {
            let mut table = toml::Table::new();
            table.insert("script".into(), script.display().to_string().into());
            own_file.insert("hook".into(), table.into());
        }
    }
    for (relay, own_file) in relays.iter().zip(&own_files) {
        relay.write_own(own_file)?;
    }
    // The schedule's clock starts here; that of the emulated services started a moment earlier.
    let run = Rc::new(Run {
        schedule: schedule.clone(),
        relays,
        links,
        world: world.clone(),
        discovery: discovery.clone(),
        accepted_by: Rc::default(),
        datagrams,
        start: Instant::now(),
        abort_reason: RefCell::default(),
        faults_left: Cell::new(schedule.faults.len()),
    });
    for fault in &schedule.faults {
        let (run, fault) = (run.clone(), fault.clone());
        spawn_local(async move {
            sleep_until((run.start + Duration::from_secs_f64(fault.at_s)).into()).await;
            if let Err(why) = run.apply(&fault).await {
                run.abort(why);
            }
            run.faults_left.set(run.faults_left.get() - 1);
        });
    }
    let step = Duration::from_secs_f64(schedule.start.over_s / run.relays.len() as f64);
    for (number, relay) in run.relays.iter().enumerate() {
        sleep_until((run.start + step * number as u32).into()).await;
        relay.start()?;
    }
    // The platform's front sends clients to a relay only once the relay is ready.
    let all_ready = |history: &History| history.all_ready_at().is_some();
    let all_have_list = |history: &History| history.listed_since().iter().all(Option::is_some);
    let snapshot = || History {
        relays: run.relays.len(),
        known: schedule.start.known != KnownList::Nothing && relays_with_list.len() == run.relays.len(),
        instances: schedule.instances.is_some(),
        events: events.borrow().clone(),
        ..History::default()
    };
    while run.start.elapsed() < READY_TIMEOUT {
        let history = snapshot();
        let crashed = history.events.iter().any(|event| matches!(event.kind, EventKind::Crashed(_)));
        if crashed || all_ready(&history) && (!schedule.start.warm || all_have_list(&history)) {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let load_start = Instant::now();
    let mut arrivals = vec![Vec::new(); run.relays.len()];
    let drawn = draw(&schedule.load, schedule.seconds, dests, schedule.seed);
    for (n, arrival) in drawn.into_iter().enumerate() {
        arrivals[n % run.relays.len()].push((n as u64 + 1, arrival));
    }
    let addresses: Vec<_> = run.relays.iter().map(|relay| relay.address).collect();
    schedule.idle_clients.keep_open(&addresses);
    schedule.hard_clients.iter().for_each(|clients| clients.keep_busy(&addresses, schedule.seed));
    let submitters = Rc::new(submitters);
    for (home, arrivals) in arrivals.into_iter().enumerate() {
        let accepted_by = run.accepted_by.clone();
        let clients = Rc::new(Clients { relays: submitters.clone(), home, accepted_by });
        spawn_local(load::submit_all(clients, world.clone(), start, arrivals, load_start));
    }
    let total = schedule.seconds.ceil() as u64;
    let bar = if progress { ProgressBar::new(total) } else { ProgressBar::hidden() };
    bar.set_style(
        ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s").expect("the template is valid"),
    );
    bar.set_message(format!("{} relays", run.relays.len()));
    loop {
        sleep(Duration::from_millis(1000 - (start.elapsed().as_millis() % 1000) as u64)).await;
        world.borrow_mut().tick(start.elapsed());
        bar.set_position(load_start.elapsed().as_secs().min(total));
        if let Some(why) = run.abort_reason.borrow().clone() {
            return Err(why);
        }
        let end = load_start + Duration::from_secs_f64(schedule.seconds);
        let done = Instant::now() > end && run.faults_left.get() == 0;
        let open = world.borrow().checker.open();
        let converged = !done || check::violation(&snapshot(), Invariant::AllSeeAll).is_none();
        if done
            && (open == 0 && converged
                || Instant::now() > end + if converged { DRAIN_TIMEOUT } else { CONVERGENCE_TIMEOUT })
        {
            break;
        }
    }
    bar.finish_and_clear();
    let mut history = snapshot();
    // From here on the rig itself ends processes, which the snapshot must not contain.
    for relay in &run.relays {
        relay.end(true).await;
    }
    let opens_limit = schedule.partners.iter().map(|p| p.nature.opens).filter(|n| *n > 0).min();
    let world = std::mem::replace(&mut *world.borrow_mut(), World::new(&experiment, 1, 0));
    history.list_calls = discovery.calls.borrow().clone();
    history.list_answers = discovery.answers.borrow().clone();
    history.outages = spans(discovery.outages().into_iter().chain(refusals(schedule)));
    history.must_ask_in = Duration::from_millis(schedule.relay.must_ask_in_ms);
    let accepted_by = run.accepted_by.borrow();
    let with_relay = |call: &DrainedCall| Some((*accepted_by.get(&call.msg)?, *call));
    history.drained_calls = world.checker.drained_calls().iter().filter_map(with_relay).collect();
    history.state_losses = discovery.state_losses.borrow().clone();
    history.changes = discovery.published.borrow().clone();
    (history.answering, history.discarding) = discovery.service_time();
    (history.opens_most, history.opens_refused, history.opens_all) = world.record.connection_counts();
    history.opens_taken = opens_limit.unwrap_or(0);
    history.breaches = world.checker.breaches().to_vec();
    history.rules_broken = world.checker.total();
    let figures = world.record.figures();
    (history.handed_in, history.delivered) = (figures["handed_in"] as u32, figures["delivered"] as u32);
    // On the same clock as the process events.
    let since = |at: Instant| at.saturating_duration_since(start);
    let unanswered = submitters.iter().enumerate().flat_map(|(relay, clients)| {
        clients.unanswered().into_iter().map(move |request| UnansweredRequest {
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

/// A hook script that compares two arrays for ever, on the messages for one destination.
fn looping_script(dest: usize) -> String {
    format!(
        "fn admit(job) {{
    if job.dest == {dest} {{
        let numbers = [];
        for number in 0..250 {{ numbers.push(number); }}
        let same = numbers;
        while numbers == same {{ }}
    }}
}}
"
    )
}

/// Converts spans from seconds.
fn spans(seconds: impl Iterator<Item = (f64, f64)>) -> Vec<(Duration, Duration)> {
    let span = |(from, to)| (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
    seconds.map(span).collect()
}

/// Spans, in seconds, in which the list service connections of every relay are refused.
fn refusals(schedule: &Schedule) -> impl Iterator<Item = (f64, f64)> {
    let is_refusal = |fault: &&Fault| fault.kind == FaultKind::Refuse && fault.link == Some(LinkTo::List);
    let all = |fault: &&Fault| schedule.relays(&fault.relays).is_ok_and(|r| r.len() == schedule.relay.count);
    let faults = schedule.faults.iter().filter(is_refusal).filter(all);
    faults.map(|fault| (fault.at_s, fault.at_s + fault.for_s.unwrap_or(schedule.seconds)))
}

/// The list that a relay is configured to have had last.
async fn known_list(known: KnownList, discovery: &Discovery, port: Option<u16>) -> Option<Value> {
    if known == KnownList::Nothing {
        return None;
    }
    let mut list: Value = serde_json::from_slice(&discovery.current_list(port).await).ok()?;
    if known == KnownList::Old {
        // Shifts all addresses by one entry.
        list["generation"] = 0.into();
        let entries = list["instances"].as_array_mut()?;
        let addresses: Vec<_> = entries.iter().map(|e| e["hostPort"].clone()).collect();
        let count = addresses.len();
        entries.iter_mut().enumerate().for_each(|(n, e)| e["hostPort"] = addresses[(n + 1) % count].clone());
    }
    Some(list)
}

impl Run {
    /// Injects a fault and, if it has a duration, ends it.
    async fn apply(self: &Rc<Self>, fault: &Fault) -> Result<(), String> {
        let duration = fault.for_s.map(Duration::from_secs_f64);
        let numbers = self.schedule.relays(&fault.relays)?;
        let chosen: Vec<_> = numbers.iter().map(|n| self.relays[*n].clone()).collect();
        match fault.kind {
            FaultKind::ListDown => self.discovery.start_outage(duration.unwrap_or_default()),
            FaultKind::ListForgets => self.discovery.lose_state(),
            FaultKind::ListChanges => self.discovery.publish_all_reweighted(),
            FaultKind::ListBusy => {
                self.discovery.accept_one_in(fault.one_in);
                if let Some(duration) = duration {
                    sleep(duration).await;
                    self.discovery.accept_one_in(0);
                }
            }
            FaultKind::ListLies => {
                self.discovery.set_false_generation(&numbers, true);
                if let Some(duration) = duration {
                    sleep(duration).await;
                    self.discovery.set_false_generation(&numbers, false);
                }
            }
            FaultKind::Partner => self.apply_partner_trouble(fault),
            FaultKind::Hup => chosen.iter().for_each(|relay| relay.reload()),
            FaultKind::SecondStart => {
                for relay in &chosen {
                    relay.start_again().await?;
                }
            }
            FaultKind::Call | FaultKind::Clock => {
                let system_fault = fault.system_fault().expect("Schedule::check requires it");
                chosen.iter().try_for_each(|relay| relay.inject(system_fault))?;
                if let Some(duration) = duration {
                    sleep(duration).await;
                    chosen.iter().try_for_each(|relay| relay.clear_fault(system_fault))?;
                }
            }
            FaultKind::TornWrite => {
                let system_fault = fault.system_fault().expect("Schedule::check requires it");
                for relay in chosen {
                    let run = self.clone();
                    let die_and_restart = async move {
                        relay.kill_during_write(system_fault, duration.unwrap_or_default()).await?;
                        run.extend_deadlines(relay.number, Duration::MAX);
                        sleep(RESTART_DELAY).await;
                        relay.restart(StateFolder::Kept)?;
                        run.resume_deadlines(relay).await;
                        Ok::<_, String>(())
                    };
                    let run = self.clone();
                    spawn_local(async move { die_and_restart.await.unwrap_or_else(|why| run.abort(why)) });
                }
            }
            FaultKind::Stop => {
                let stops = chosen.into_iter().map(|relay| {
                    let duration = duration.unwrap_or_default();
                    spawn_local(async move { relay.stop(duration).await })
                });
                for stop in stops.collect::<Vec<_>>() {
                    stop.await.map_err(|e| e.to_string())?;
                }
            }
            FaultKind::Kill | FaultKind::Term => {
                let at_once = fault.kind == FaultKind::Kill;
                if duration.is_some() {
                    numbers.iter().for_each(|relay| self.extend_deadlines(*relay, Duration::MAX));
                }
                let ends =
                    chosen.iter().cloned().map(|relay| spawn_local(async move { relay.end(at_once).await }));
                for end in ends.collect::<Vec<_>>() {
                    end.await.map_err(|e| e.to_string())?;
                }
                if fault.folder != StateFolder::Kept {
                    // The schedule discarded the folder's messages, so they are not counted as lost.
                    let accepted_by = self.accepted_by.borrow();
                    let mut world = self.world.borrow_mut();
                    let lost = accepted_by.iter().filter(|(_, relay)| numbers.contains(relay));
                    lost.for_each(|(msg, _)| world.checker.exempt(*msg));
                }
                let Some(duration) = duration else { return Ok(()) };
                sleep(duration).await;
                let step = fault.back_over_s.unwrap_or(0.0) / chosen.len() as f64;
                for relay in &chosen {
                    relay.restart(fault.folder)?;
                    spawn_local(self.clone().resume_deadlines(relay.clone()));
                    sleep(Duration::from_secs_f64(step)).await;
                }
            }
            _ if fault.link == Some(LinkTo::Instances) => {
                let others = (0..self.relays.len()).filter(|n| !numbers.contains(n)).collect();
                let peers =
                    fault.peers.as_ref().map_or(Ok(others), |selector| self.schedule.relays(selector))?;
                self.set_paths(fault, &numbers, &peers, true);
                if let Some(duration) = duration {
                    sleep(duration).await;
                    self.set_paths(fault, &numbers, &peers, false);
                }
            }
            _ => {
                let link = fault.link.expect("Schedule::check requires it");
                let links: Vec<_> = numbers.iter().map(|n| self.links[&(*n, link)].clone()).collect();
                for link in &links {
                    link.change(|state| set_link(state, fault, true));
                }
                if let Some(duration) = duration {
                    sleep(duration).await;
                    for link in &links {
                        link.change(|state| set_link(state, fault, false));
                    }
                }
            }
        }
        Ok(())
    }

    /// Aborts the run, since a fault could not be injected.
    fn abort(&self, why: String) {
        self.abort_reason.replace(Some(why));
    }

    /// Extends the deadlines of all messages that a relay accepted: none is overdue before `until`.
    fn extend_deadlines(&self, relay: usize, until: Duration) {
        let accepted_by = self.accepted_by.borrow();
        let mut world = self.world.borrow_mut();
        let accepted = accepted_by.iter().filter(|(_, acceptor)| **acceptor == relay);
        accepted.for_each(|(msg, _)| world.checker.defer_end(*msg, until));
    }

    /// Once a restarted relay is ready, its accepted messages are due again, after [`DEADLINE_EXTENSION`].
    async fn resume_deadlines(self: Rc<Self>, relay: Rc<Relay>) {
        if relay.ready().await {
            self.extend_deadlines(relay.number, self.discovery.clock_start().elapsed() + DEADLINE_EXTENSION);
        }
    }

    /// Begins or ends a fault of the paths between relays and their peers.
    fn set_paths(&self, fault: &Fault, relays: &[usize], peers: &[usize], begins: bool) {
        let change = |from, to| {
            self.datagrams.change(from, to, |path| match fault.kind {
                FaultKind::Lossy => path.lose = if begins { fault.lose } else { 0.0 },
                FaultKind::Slow => {
                    let duration = |ms| Duration::from_millis(if begins { ms } else { 0 });
                    (path.delay, path.jitter) = (duration(fault.delay_ms), duration(fault.jitter_ms));
                }
                _ if begins => path.cuts += 1,
                _ => path.cuts -= 1,
            });
        };
        for (relay, peer) in
            relays.iter().flat_map(|r| peers.iter().map(move |p| (*r, *p))).filter(|(r, p)| r != p)
        {
            if fault.kind != FaultKind::CutFrom {
                change(relay, peer);
            }
            if fault.kind != FaultKind::CutTo {
                change(peer, relay);
            }
        }
    }

    /// Begins a partner's trouble and publishes the list changes that come of it.
    fn apply_partner_trouble(self: &Rc<Self>, fault: &Fault) {
        let (Some(dest), Some(trouble)) = (fault.dest, fault.trouble) else { return };
        let begun = self.discovery.clock_start();
        let seconds = fault.for_s.unwrap_or(86_400.0);
        let list_changes = self.world.borrow_mut().apply_event(
            begun.elapsed(),
            trouble,
            dest,
            seconds,
            trouble != Partner::Drain,
        );
        for (at, entry) in list_changes {
            let discovery = self.discovery.clone();
            spawn_local(async move {
                sleep_until((begun + at).into()).await;
                discovery.publish(entry);
            });
        }
    }
}

/// Begins or ends a fault of a link.
fn set_link(state: &mut crate::links::LinkState, fault: &Fault, begins: bool) {
    match fault.kind {
        FaultKind::Cut => (state.to.cut, state.from.cut) = (begins, begins),
        FaultKind::CutTo => state.to.cut = begins,
        FaultKind::CutFrom => state.from.cut = begins,
        FaultKind::Refuse => state.refused = begins,
        FaultKind::Reset => state.resets += u64::from(begins),
        FaultKind::Stuck => state.stuck += u64::from(begins),
        FaultKind::Tear => state.tear = if begins { fault.after_bytes } else { 0 },
        FaultKind::Slow => {
            let duration = |ms| Duration::from_millis(if begins { ms } else { 0 });
            for direction in [&mut state.to, &mut state.from] {
                (direction.delay, direction.jitter) = (duration(fault.delay_ms), duration(fault.jitter_ms));
                direction.bytes_per_s = if begins { fault.bytes_per_s } else { 0 };
            }
        }
        FaultKind::Repeat => {
            let duration = |ms| Duration::from_millis(if begins { ms } else { 0 });
            state.to.lose = if begins { fault.lose } else { 0.0 };
            state.from.repeat = Repeat {
                one_in: if begins { fault.one_in } else { 0 },
                delay: duration(fault.delay_ms),
                jitter: duration(fault.jitter_ms),
                torn: fault.torn,
            };
        }
        _ => {}
    }
}
