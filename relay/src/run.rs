//! Wires the fronts that are configured, and takes signals.
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::admin::{Admin, Front, Process};
use crate::availability::{Availability, Word};
use crate::backlog::{Backlog, BacklogClass};
use crate::clock;
use crate::config::{self, IdleConfig, MachineLimits, Rules};
use crate::connection_limiter::Places;
use crate::core::{Carrier, Core, NotOut};
use crate::disabled::Disabled;
use crate::figures::{BacklogFigures, Census, Figures};
use crate::handover::{self, Elder};
use crate::hook::Hooks;
use crate::instances::{self, Instances, ListSharing};
use crate::journal::{Journal, Open, may_pass};
use crate::lease_record::LeaseRecord;
use crate::list::NodeList;
use crate::listener::listen;
use crate::platform::refusing::refuse_all;

/// After SIGTERM, connections still arrive for up to 0.4 s: so long everything goes on.
const STILL_SERVING: Duration = Duration::from_millis(600);
/// Then claims are sent for so long; SIGKILL comes no sooner than 3.7 s after SIGTERM.
const STILL_SENDING: Duration = Duration::from_millis(2000);
/// And what is out may come home for so long.
const COMING_HOME: Duration = Duration::from_millis(800);
/// Then what was answered last is let go: a process that ends resets connections that it has not closed.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// A successor takes over at once: what is out may come home until just before SIGKILL, and the last word is told.
const LAST_HOME: Duration = Duration::from_millis(3350);
const LAST_WORD: Duration = Duration::from_millis(30);
/// So long an address to listen on may still be the process's before.
const STILL_BOUND: Duration = Duration::from_secs(1);
/// Before a folder that cannot be used is tried again.
const FOLDER_PAUSE: Duration = Duration::from_millis(50);
/// Part of the descriptors that submitters' connections may take; the rest is for nodes and files.
const SUBMITTERS_PART: f64 = 0.4;
/// Descriptors kept for files, listeners, discovery and posts of notices.
const BESIDE: usize = 32;
/// Of them, callers' at the second address. Guards against those that finish no call keeping others out.
const CALLERS: usize = 12;

/// Why the relay does not run, or no longer.
#[derive(Debug)]
pub enum Fault {
    /// What it was told cannot be used; the text names the key. Nothing mends it but other words.
    Configuration(String),
    Other(String),
}

impl From<String> for Fault {
    fn from(text: String) -> Self {
        Fault::Other(text)
    }
}

/// Runs the fronts that are configured until SIGTERM.
pub async fn run(file: Option<PathBuf>) -> Result<(), Fault> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let platform = config::load_platform_config().map_err(Fault::Configuration)?;
    if let Some(platform) = &platform {
        // Before anything is reckoned by it.
        clock::adopt(&platform.state);
    }
    let own = file.as_deref().map(config::load_relay_config).transpose().map_err(Fault::Configuration)?;
    let own = own.unwrap_or_default();
    if platform.is_none() && own.push.is_none() {
        let fault = "no front is configured: set BALANCER_CONFIG or name a file with [push] (--config FILE)";
        return Err(Fault::Configuration(fault.into()));
    }
    // Each front has its own, read from the same script.
    let hooks = || own.hook.as_ref().map(Hooks::load).transpose().map_err(Fault::Configuration);
    let told = platform.as_ref().and_then(|platform| platform.admin);
    let admin = config::admin_address_from_env().map_err(Fault::Configuration)?.or(told).or(own.admin);
    let rules = platform.as_ref().map(|p| &p.rules).into_iter().chain(own.push.as_ref().map(|p| &p.rules));
    let figures = Figures::new(rules.flat_map(|rules| &rules.names.classes));
    let process = Rc::new(Standing::default());
    let desk = Admin::new(figures.clone(), process.clone());
    if let Some(address) = admin {
        let listener = listen("BALANCER_ADMIN", address)?;
        tracing::info!(listen = %listener.local_addr().unwrap_or(address), "second address is ready");
        actix_rt::spawn(desk.clone().accept(listener, Rc::new(Places::new(CALLERS))));
    }
    let name = platform.as_ref().map(|platform| platform.name.clone());
    // Lists pass between instances of the platform's front only: the second one's gateways are in the file.
    let lists = platform.as_ref().map(|platform| instances::ListSharingLimits {
        max_age: platform.rules.list_max_age(),
        max_bytes: own.idle.list_limit,
    });
    let instances = own.instances.map(|told| {
        let lists = lists.filter(|_| told.lists);
        Instances::start(told, name, lists)
    });
    if lists.is_none() && instances.as_ref().is_some_and(|instances| instances.shares_lists()) {
        tracing::warn!("instances.lists: there is no list to pass on without the platform's front");
    }
    let sharing = instances.as_ref().and_then(Instances::list_sharing);
    desk.set_instances(instances.clone());
    let platform = match platform {
        Some(platform) => {
            let upgrades = admin.is_some();
            let backlog = own.backlog.as_ref();
            let started = start_platform(
                platform,
                &own.idle,
                hooks()?,
                &figures,
                &process,
                &desk,
                upgrades,
                sharing,
                backlog,
            );
            tokio::select! {
                started = started => Some(started?),
                // It has taken nothing on yet that is not in the journal.
                _ = terminate.recv() => return Ok(()),
            }
        }
        None => None,
    };
    let push = match own.push {
        Some(push) => Some(start_push(push, hooks()?, &figures).await?),
        None => None,
    };
    if let Some(instances) = instances.as_ref().filter(|instances| instances.shares_limits()) {
        if let Some(platform) = &platform {
            actix_rt::spawn(instances::divide_limits(platform.core.clone(), instances.clone()));
        }
        if let Some(push) = &push {
            actix_rt::spawn(instances::divide_limits(push.core.clone(), instances.clone()));
        }
    }
    figures.loaded(true);
    let first = platform.as_ref().map(|platform| platform.core.clone() as Rc<dyn Front>);
    let second = push.as_ref().map(|push| push.core.clone() as Rc<dyn Front>);
    process.turn(Word::Started);
    desk.open(first.into_iter().chain(second).collect());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                let first = platform.as_ref().is_none_or(|platform| platform.reload(file.as_deref()));
                let second = match (&push, &file) {
                    (Some(push), Some(file)) => push.reload(file).await,
                    _ => true,
                };
                figures.loaded(first && second);
            }
        }
    }
    tracing::info!("SIGTERM: winding down");
    process.turn(Word::Terminate);
    if let Some(instances) = &instances {
        instances.leave().await;
    }
    if let Some(platform) = &platform
        && platform.hand_over(process.availability.get().is_drained()).await
    {
        return Ok(());
    }
    sleep(STILL_SERVING).await;
    if let Some(platform) = &platform {
        platform.places.shut();
    }
    if let Some(push) = &push {
        push.places.shut();
    }
    tracing::info!("winding down: no connections are taken any more");
    sleep(STILL_SENDING).await;
    let first = async {
        if let Some(platform) = &platform {
            wind_down(&platform.core, &platform.places).await;
        }
    };
    let second = async {
        if let Some(push) = &push {
            wind_down(&push.core, &push.places).await;
        }
    };
    tokio::join!(first, second);
    Ok(())
}

/// Ends a front: requests that are whole by now are still answered, and what is out comes home.
async fn wind_down<C: Carrier>(core: &Core<C>, places: &Places) {
    places.end();
    core.wind_down(COMING_HOME).await;
    let end = Instant::now() + LAST_ANSWERS;
    while !places.is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
}

/// What the process is to submitters, and the places that follow it.
#[derive(Default)]
struct Standing {
    availability: Rc<Cell<Availability>>,
    places: RefCell<Option<Rc<Places>>>,
}

impl Process for Standing {
    fn turn(&self, word: Word) -> bool {
        let before = self.availability.get();
        let Some(after) = before.after(word) else { return false };
        self.availability.set(after);
        if let Some(places) = &*self.places.borrow() {
            // Idle ones that were told to go before go on going.
            if before.sends_away() != after.sends_away() {
                places.leave(after.sends_away().then(|| Instant::now() + STILL_SERVING));
            }
        }
        if before.is_drained() != after.is_drained() {
            tracing::info!(drained = after.is_drained(), "clients are sent away, or taken again");
        }
        true
    }
}

struct PlatformFront {
    core: Rc<Core<crate::platform::carrier::ToNodes>>,
    places: Rc<Places>,
    budget: Rc<Budget>,
    elder: Option<Rc<Elder>>,
    following: actix_rt::task::JoinHandle<()>,
    listen: std::net::SocketAddr,
}

struct PushFront {
    core: Rc<Core<crate::push::gateways::Gateways>>,
    server: Rc<crate::push::server::Server<crate::push::gateways::Gateways>>,
    places: Rc<Places>,
    listen: std::net::SocketAddr,
    state: PathBuf,
}

impl<C: Carrier> Front for Core<C> {
    fn census(&self) -> Census {
        Core::census(self)
    }

    fn set_out(&self, id: &str, out: bool) -> Result<(), NotOut> {
        Core::set_out(self, id, out)
    }

    fn backlog(&self) -> Option<Rc<Backlog>> {
        Core::backlog(self)
    }
}

/// A core with its journal.
fn new_core<C: Carrier>(
    carrier: C,
    rules: Rules,
    hooks: Option<Hooks>,
    seed: u64,
    state: &Path,
    journal: Journal,
    figures: &Rc<Figures>,
) -> Rc<Core<C>> {
    Core::new(carrier, rules, hooks, seed, journal, Disabled::open(state), figures.clone())
}

/// Tries something with a folder that lasts until it does not fail in a way that passes.
async fn in_the_end<T, F: Future<Output = io::Result<T>>>(
    state: &Path,
    what: &'static str,
    attempt: impl Fn() -> F,
) -> Result<T, String> {
    let begun = Instant::now();
    let mut told = false;
    loop {
        match attempt().await {
            Ok(done) => {
                if told {
                    tracing::info!(after = ?begun.elapsed(), what, "the folder that lasts can be used");
                }
                return Ok(done);
            }
            Err(error) if !may_pass(&error) => return Err(format!("{what} in {}: {error}", state.display())),
            Err(error) => {
                if !std::mem::replace(&mut told, true) {
                    let state = state.display();
                    tracing::error!(%error, %state, what, "the folder that lasts cannot be used; trying on");
                }
                sleep(FOLDER_PAUSE).await;
            }
        }
    }
}

/// The journal and what it holds open, as soon as its folder can be read.
async fn open_journal(state: &Path, disk: u64) -> Result<(Journal, Vec<Open>), String> {
    in_the_end(state, "journal", async || Journal::open(state, disk)).await
}

/// Plays rounds from now on.
fn begin<C: Carrier>(core: &Rc<Core<C>>, front: &'static str) {
    let (rounds, tally, journal) = (core.clone(), core.clone(), core.clone());
    actix_rt::spawn(async move { rounds.rounds().await });
    actix_rt::spawn(async move { journal.keep_journal().await });
    actix_rt::spawn(async move { tally.tell_tally(front).await });
}

/// Where submitters connect: the socket that the platform passed on, if it says that it did.
async fn listen_to_submitters(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    match crate::inherited_socket::listener() {
        Ok(None) => {}
        Ok(Some(passed)) => {
            let passed = passed.set_nonblocking(true).and_then(|()| TcpListener::from_std(passed));
            return passed.map_err(|e| format!("BALANCER_PASSED_SOCKET: {e}"));
        }
        Err(fault) => {
            tracing::error!(fault, "no socket was passed on; listening on BALANCER_LISTEN instead");
        }
    }
    let until = Instant::now() + STILL_BOUND;
    loop {
        match listen("BALANCER_LISTEN", address) {
            Err(fault) if Instant::now() > until => return Err(fault),
            // The process before may be about to let it go.
            Err(_) => sleep(Duration::from_millis(5)).await,
            bound => return bound,
        }
    }
}

#[allow(clippy::too_many_arguments)]
async fn start_platform(
    mut config: config::PlatformConfig,
    idle: &IdleConfig,
    hooks: Option<Hooks>,
    figures: &Rc<Figures>,
    process: &Standing,
    desk: &Admin,
    upgrades: bool,
    sharing: Option<ListSharing>,
    backlog: Option<&config::BacklogConfig>,
) -> Result<PlatformFront, String> {
    let (lock, legacy) = match upgrades {
        true => {
            let owned = in_the_end(&config.state, "lock", async || {
                handover::own(&config.state, || desk.set_ready()).await
            });
            let (lock, legacy) = owned.await.map_err(|e| format!("BALANCER_STATE: {e}"))?;
            (Some(lock), legacy)
        }
        false => (None, None),
    };
    idle.apply(&mut config.rules);
    config.rules.settings.list_shared = sharing.is_some();
    let MachineLimits { disk_bytes, sockets } = config.limits;
    let budget = Rc::new(Budget { sockets: Cell::new(sockets), shared: Cell::new(legacy.is_some()) });
    let to_nodes = crate::platform::carrier::ToNodes::new(&config.rules, config.discovery, idle.list_limit);
    to_nodes.set_connections(budget.connections(idle));
    let discovery = to_nodes.platform();
    let first_start = !Journal::exists(&config.state) && !LeaseRecord::exists(&config.state);
    let mut listener = None;
    let opened = match Journal::open(&config.state, disk_bytes) {
        Ok(opened) => Ok(opened),
        Err(error) if !may_pass(&error) => Err(format!("journal in {}: {error}", config.state.display())),
        Err(_) => {
            let listener = listener.insert(listen_to_submitters(config.listen).await?);
            tokio::select! {
                opened = open_journal(&config.state, disk_bytes) => opened,
                () = refuse_all(listener, budget.submitters()) => Err("no connections can be taken".into()),
            }
        }
    };
    let (mut journal, open) = opened.map_err(|e| format!("BALANCER_STATE: {e}"))?;
    tracing::info!(recovered = open.len(), "journal read");
    journal.guard(lock);
    let core = new_core(to_nodes, config.rules, hooks, config.seed, &config.state, journal, figures);
    if let Some(settings) = backlog {
        settings.check_folder(Some(&config.state))?;
        attach_backlog(&core, settings, &config.name, &open).await?;
    }
    let places = Rc::new(Places::new(budget.submitters()));
    *process.places.borrow_mut() = Some(places.clone());
    let mut held = None;
    match legacy {
        Some(legacy) => {
            if legacy.estate.drained {
                process.turn(Word::Drain);
            }
            let homes = core.inherit(&legacy.estate, open).await;
            held = legacy.estate.generation;
            let (core, places, budget, idle) = (core.clone(), places.clone(), budget.clone(), *idle);
            actix_rt::spawn(legacy.follow(core.clone(), homes, move || {
                budget.shared.set(false);
                core.carrier.set_connections(budget.connections(&idle));
                places.set(budget.submitters());
            }));
        }
        None => {
            open.into_iter().for_each(|open| core.recover(open));
            // Where lists pass between instances, what is known waits for a better one; the first round is played all the same.
            let nothing = NodeList::default();
            core.take_list(if sharing.is_some() { &nothing } else { &config.known_nodes }).await;
            held = held.or((!config.known_nodes.is_empty()).then_some(config.known_nodes.generation));
        }
    }
    if core.rules().settings.list_on_request && sharing.is_none() {
        bind_list(&core, &config.state, first_start);
    }
    begin(&core, "platform");
    if let Some(sharing) = &sharing {
        actix_rt::spawn(instances::apply_lists(core.clone(), sharing.clone(), config.known_nodes));
    }
    let following = actix_rt::spawn(crate::discovery::follow(core.clone(), discovery, held, sharing));
    actix_rt::spawn(crate::platform::carrier::close_idle(core.clone()));
    let elder = upgrades.then(|| Elder::listen(&config.state)).transpose();
    let elder = elder.unwrap_or_else(|fault| {
        tracing::warn!(%fault, "upgrade: no newcomer can be met; it takes over when this process has ended");
        None
    });
    let listener = match listener {
        Some(listener) => listener,
        None => listen_to_submitters(config.listen).await?,
    };
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = crate::platform::server::Server::new(core.clone(), process.availability.clone());
    actix_rt::spawn(server.accept(listener, places.clone()));
    process.turn(Word::Started);
    tracing::info!(name = config.name, listen = %address, "platform front is ready");
    Ok(PlatformFront { core, places, budget, elder, following, listen: config.listen })
}

/// Has the list acted on only as long as it is confirmed, or was by the process before.
fn bind_list<C: Carrier>(core: &Core<C>, state: &Path, first_start: bool) {
    let (record, before) = match LeaseRecord::open(state) {
        Ok((record, before)) => (Some(record), before),
        Err(error) => {
            tracing::error!(%error, "the list's lease cannot be recorded; a restart waits for the list");
            (None, None)
        }
    };
    // An older list than the one that was confirmed is none that was.
    let before = before.filter(|before| core.generation().is_some_and(|held| held >= before.generation));
    core.bind_list(record, before, first_start);
}

/// Opens the backlog on disk and has the core use it.
async fn attach_backlog<C: Carrier>(
    core: &Rc<Core<C>>,
    settings: &config::BacklogConfig,
    owner: &str,
    journaled: &[Open],
) -> Result<(), String> {
    let rules = core.rules();
    let classes = rules.names.classes.iter().zip(&rules.settings.classes);
    let classes: Vec<_> = classes
        .map(|(name, class)| BacklogClass { name: name.clone(), worth: class.credit.unwrap_or(1.0) })
        .collect();
    let most = rules.settings.max_held;
    let figures = BacklogFigures::register(core.figures());
    let opened = Backlog::open(settings, owner, &classes, most, journaled, figures).await;
    let (backlog, actions) = opened.map_err(|error| format!("backlog.folder: {error}"))?;
    core.attach_backlog(backlog, actions).map_err(|error| format!("BALANCER_STATE: {error}"))
}

/// The machine's descriptors, divided in one place. What gives way first is written in `docs/operation.md`.
struct Budget {
    sockets: Cell<usize>,
    /// The process before still has its own; its part shrinks as its connections end.
    shared: Cell<bool>,
}

impl Budget {
    fn mine(&self) -> usize {
        if self.shared.get() { self.sockets.get() / 2 } else { self.sockets.get() }
    }

    /// How many descriptors submitters may take.
    fn submitters(&self) -> usize {
        ((self.mine() as f64 * SUBMITTERS_PART) as usize).max(1)
    }

    /// How many connections to nodes may be open: what the file says, else what submitters leave.
    fn connections(&self, idle: &IdleConfig) -> usize {
        let left = self.mine().saturating_sub(self.submitters() + BESIDE).max(1);
        idle.connections.map_or(left, |said| if self.shared.get() { said.min(left) } else { said })
    }
}

impl PlatformFront {
    /// Hands the relay to a newcomer, if one waits; done once nothing is left to do here.
    async fn hand_over(&self, drained: bool) -> bool {
        let Some(elder) = &self.elder else { return false };
        if !elder.is_linked() {
            return false;
        }
        let end = Instant::now() + LAST_HOME;
        // Connections that arrive from here on wait for the newcomer, if the platform has passed the socket on; else
        // it is to be free by the time that the newcomer asks for it.
        self.places.shut();
        self.places.leave(Some(Instant::now()));
        sleep(Duration::from_millis(1)).await;
        if !elder.terminate(&self.core, drained) {
            return false;
        }
        self.following.abort();
        while Instant::now() < end && !(self.core.all_home() && self.places.is_empty()) {
            self.core.carrier.close_all_idle();
            sleep(Duration::from_millis(10)).await;
        }
        self.core.call_off();
        // What is called off closes its connection and is told of before the process ends.
        sleep(LAST_WORD).await;
        tracing::info!("upgrade: nothing is left to do here");
        true
    }

    /// Reads the configuration anew and takes it up without dropping a job or a connection. False if it is faulty.
    fn reload(&self, file: Option<&Path>) -> bool {
        let own = file.map(config::load_relay_config).transpose();
        let read = own.and_then(|own| {
            Ok((config::load_platform_config()?, own.map_or(IdleConfig::default(), |own| own.idle)))
        });
        let (config, idle) = match read {
            Ok((Some(mut config), idle)) => {
                idle.apply(&mut config.rules);
                (config, idle)
            }
            Ok((None, _)) => return true,
            Err(fault) => {
                // Guards against half a file: nothing of it is taken up.
                tracing::error!(fault, "SIGHUP: the configuration is faulty; nothing changes");
                return false;
            }
        };
        if config.listen != self.listen {
            tracing::warn!(listen = %config.listen, "SIGHUP: another address is listened on with the next start");
        }
        self.core.carrier.settle(&config.rules, config.discovery, idle.list_limit);
        self.budget.sockets.set(config.limits.sockets);
        self.core.carrier.set_connections(self.budget.connections(&idle));
        self.core.settle(config.rules, config.limits.disk_bytes);
        self.places.set(self.budget.submitters());
        tracing::info!(discovery = %config.discovery, "SIGHUP: configuration read anew");
        true
    }
}

async fn start_push(
    config: config::PushConfig,
    hooks: Option<Hooks>,
    figures: &Rc<Figures>,
) -> Result<PushFront, String> {
    // Not told by anybody: this front's own, new with each start.
    let seed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let gateways = crate::push::gateways::Gateways::new(config.pool_limits, config.notices);
    gateways.set_tls(config.gateway_tls.clone());
    let rules = config.rules.clone();
    let opened = open_journal(&config.state, config.disk_bytes).await;
    let (journal, open) = opened.map_err(|e| format!("push.state: {e}"))?;
    tracing::info!(recovered = open.len(), "journal read");
    let core = new_core(gateways, rules, hooks, seed, &config.state, journal, figures);
    open.into_iter().for_each(|open| core.recover(open));
    begin(&core, "push");
    core.take_list(&config.gateways).await;
    actix_rt::spawn(crate::push::gateways::maintain_connections(core.clone()));
    let listener = listen("push.listen", config.listen)?;
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = crate::push::server::Server::new(core.clone(), &config, seed);
    let places = Rc::new(Places::new(config.connections));
    actix_rt::spawn(server.clone().accept(listener, places.clone()));
    tracing::info!(listen = %address, "push front is ready");
    Ok(PushFront { core, server, places, listen: config.listen, state: config.state })
}

impl PushFront {
    /// Reads the file anew and takes it up without dropping a message or a connection. False if it is faulty.
    async fn reload(&self, file: &Path) -> bool {
        match config::load_relay_config(file).and_then(|own| own.push.ok_or("push: the table is gone".into()))
        {
            Ok(push) => {
                if (push.listen, &push.state) != (self.listen, &self.state) {
                    tracing::warn!("SIGHUP: push.listen and push.state are taken up with the next start");
                }
                self.core.carrier.reconfigure(push.pool_limits, push.notices);
                self.core.carrier.set_tls(push.gateway_tls);
                self.core.settle(push.rules, push.disk_bytes);
                self.core.take_list(&push.gateways).await;
                self.server.reconfigure(push.locations, push.body_limit, push.server_tls);
                self.places.set(push.connections);
                tracing::info!(gateways = push.gateways.len(), "SIGHUP: file read anew");
                true
            }
            Err(fault) => {
                tracing::error!(fault, "SIGHUP: the file is faulty; nothing changes");
                false
            }
        }
    }
}
