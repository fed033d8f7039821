//! Starts the configured fronts, handles signals, and shuts down.
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::admin::{Admin, AvailabilityControl, Front};
use crate::availability::{Availability, AvailabilityEvent};
use crate::backlog::{Backlog, BacklogClass};
use crate::clock;
use crate::config::{self, IdleConfig, MachineLimits, Rules};
use crate::connection_limiter::ConnectionLimiter;
use crate::core::{Core, SetDisabledError, Transport};
use crate::disabled::DisabledNodes;
use crate::handover::{self, HandoverListener};
use crate::hook::Hooks;
use crate::instances::{self, Instances, ListSharing};
use crate::journal::{Journal, OpenJob, is_transient};
use crate::lease_record::LeaseRecord;
use crate::list::NodeList;
use crate::listener::{ListenError, ReservedAddress, listen};
use crate::metrics::{BacklogMetrics, GaugeValues, Metrics};
use crate::platform::carrier::NodeClient;
use crate::platform::refusing::refuse_all;
use crate::state_lock::{LockError, StateLock};

/// First stage of the shutdown: everything continues, since new connections arrive for up to 0.4 s after SIGTERM.
const SHUTDOWN_SERVING_TIME: Duration = Duration::from_millis(600);
/// Second stage: no connections are accepted, but claims are still sent. SIGKILL follows no sooner than 3.7 s after SIGTERM.
const SHUTDOWN_SENDING_TIME: Duration = Duration::from_millis(2000);
/// Third stage: how long claims in flight may take to complete.
const SHUTDOWN_COMPLETION_TIME: Duration = Duration::from_millis(800);
/// Last stage: how long the last responses may take to be delivered. A process that exits resets the connections that it has not
/// closed.
const SHUTDOWN_RESPONSE_TIME: Duration = Duration::from_millis(150);
/// If a successor takes over, it does so at once: claims in flight may complete until just before SIGKILL.
const HANDOVER_COMPLETION_TIME: Duration = Duration::from_millis(3350);
/// How long the outcomes of claims that were cancelled then may take to reach the successor.
const HANDOVER_REPORT_TIME: Duration = Duration::from_millis(30);
/// Pause between two attempts to use what another process may be about to release.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long the previous process may keep an address that this one is to listen on.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the previous process may keep a state folder that this one is to use, where this one cannot take the relay over from it.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a state folder that cannot be used is tried again.
const FOLDER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Share of the file descriptors that client connections may take; the others are for nodes and files.
const SUBMITTER_SHARE: f64 = 0.4;
/// Descriptors reserved for files, listeners, discovery, and posts of notices.
const RESERVED_DESCRIPTORS: usize = 32;
/// How many of the reserved descriptors connections to the admin address may use. Guards against callers that do not complete a call
/// keeping others out.
const ADMIN_CONNECTIONS: usize = 12;

/// Why the relay did not start, or has stopped.
#[derive(Debug)]
pub enum Error {
    /// The configuration is invalid; the text names the key. A restart does not help before it is corrected.
    Configuration(String),
    /// Another process uses a state folder or an address that this one needs.
    InUse(String),
    Other(String),
}

impl From<String> for Error {
    fn from(text: String) -> Self {
        Error::Other(text)
    }
}

impl From<ListenError> for Error {
    fn from(error: ListenError) -> Self {
        if error.is_in_use() { Error::InUse(error.to_string()) } else { Error::Other(error.to_string()) }
    }
}

/// Runs the configured fronts until SIGTERM.
pub async fn run(file: Option<PathBuf>) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let platform = config::load_platform_config().map_err(Error::Configuration)?;
    if let Some(platform) = &platform {
        // Before the clock is used for anything else.
        clock::restore_epoch(&platform.state);
    }
    let own = file.as_deref().map(config::load_relay_config).transpose().map_err(Error::Configuration)?;
    let own = own.unwrap_or_default();
    if platform.is_none() && own.push.is_none() {
        let message =
            "no front is configured: set BALANCER_CONFIG or name a file with [push] (--config FILE)";
        return Err(Error::Configuration(message.into()));
    }
    // Each front loads the script for itself.
    let hooks = || own.hook.as_ref().map(Hooks::load).transpose().map_err(Error::Configuration);
    let platform_admin = platform.as_ref().and_then(|platform| platform.admin);
    let admin_address =
        config::admin_address_from_env().map_err(Error::Configuration)?.or(platform_admin).or(own.admin);
    let rules = platform.as_ref().map(|p| &p.rules).into_iter().chain(own.push.as_ref().map(|p| &p.rules));
    let metrics = Metrics::new(rules.flat_map(|rules| &rules.names.classes));
    let process = Rc::new(ProcessAvailability::default());
    let admin = Admin::new(metrics.clone(), process.clone());
    if let Some(address) = admin_address {
        let listener = listen("BALANCER_ADMIN", address)?;
        tracing::info!(listen = %listener.local_addr().unwrap_or(address), "admin address is ready");
        actix_rt::spawn(admin.clone().accept(listener, Rc::new(ConnectionLimiter::new(ADMIN_CONNECTIONS))));
    }
    let name = platform.as_ref().map(|platform| platform.name.clone());
    // Instances share the lists of the platform front only: the gateways of the push front are in the file.
    let lists = platform.as_ref().map(|platform| instances::ListSharingLimits {
        max_age: platform.rules.list_max_age(),
        max_bytes: own.idle.list_limit,
    });
    let instances = own.instances.map(|settings| {
        let lists = lists.filter(|_| settings.lists);
        Instances::start(settings, name, lists)
    });
    if lists.is_none() && instances.as_ref().is_some_and(|instances| instances.shares_lists()) {
        tracing::warn!("instances.lists has no effect: there is no list to share without the platform front");
    }
    let sharing = instances.as_ref().and_then(Instances::list_sharing);
    admin.set_instances(instances.clone());
    let platform = match platform {
        Some(platform) => {
            let upgrades = admin_address.is_some();
            let backlog = own.backlog.as_ref();
            let started = start_platform(
                platform,
                &own.idle,
                hooks()?,
                &metrics,
                &process,
                &admin,
                upgrades,
                sharing,
                backlog,
            );
            tokio::select! {
                started = started => Some(started?),
                // No job has been accepted yet beyond those in the journal.
                _ = terminate.recv() => return Ok(()),
            }
        }
        None => None,
    };
    let push = match own.push {
        Some(push) => Some(start_push(push, hooks()?, &metrics).await?),
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
    metrics.config_loaded(true);
    let first = platform.as_ref().map(|platform| platform.core.clone() as Rc<dyn Front>);
    let second = push.as_ref().map(|push| push.core.clone() as Rc<dyn Front>);
    process.apply(AvailabilityEvent::Started);
    admin.open(first.into_iter().chain(second).collect());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                let first = platform.as_ref().is_none_or(|platform| platform.reload(file.as_deref()));
                let second = match (&push, &file) {
                    (Some(push), Some(file)) => push.reload(file).await,
                    _ => true,
                };
                metrics.config_loaded(first && second);
            }
        }
    }
    tracing::info!("SIGTERM: shutting down");
    process.apply(AvailabilityEvent::Terminate);
    if let Some(instances) = &instances {
        instances.leave().await;
    }
    if let Some(platform) = &platform
        && platform.hand_over(process.availability.get().is_drained()).await
    {
        return Ok(());
    }
    sleep(SHUTDOWN_SERVING_TIME).await;
    if let Some(platform) = &platform {
        platform.limiter.stop_accepting();
    }
    if let Some(push) = &push {
        push.limiter.stop_accepting();
    }
    tracing::info!("shutting down: no more connections are accepted");
    sleep(SHUTDOWN_SENDING_TIME).await;
    let first = async {
        if let Some(platform) = &platform {
            shut_down(&platform.core, &platform.limiter).await;
        }
    };
    let second = async {
        if let Some(push) = &push {
            shut_down(&push.core, &push.limiter).await;
        }
    };
    tokio::join!(first, second);
    Ok(())
}

/// Shuts a front down: requests that are complete by now are still answered, and claims in flight may complete.
async fn shut_down<C: Transport>(core: &Core<C>, limiter: &ConnectionLimiter) {
    limiter.terminate();
    core.wind_down(SHUTDOWN_COMPLETION_TIME).await;
    let end = Instant::now() + SHUTDOWN_RESPONSE_TIME;
    while !limiter.is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
}

/// The process's availability to submitters, and the connection limiter that it controls.
#[derive(Default)]
struct ProcessAvailability {
    availability: Rc<Cell<Availability>>,
    limiter: RefCell<Option<Rc<ConnectionLimiter>>>,
}

impl AvailabilityControl for ProcessAvailability {
    fn apply(&self, event: AvailabilityEvent) -> bool {
        let before = self.availability.get();
        let Some(after) = before.after(event) else { return false };
        self.availability.set(after);
        if let Some(limiter) = &*self.limiter.borrow() {
            // Set only on a change, so that a drain in progress keeps its start time.
            if before.closes_connections() != after.closes_connections() {
                limiter.drain(after.closes_connections().then(|| Instant::now() + SHUTDOWN_SERVING_TIME));
            }
        }
        if before.is_drained() != after.is_drained() {
            tracing::info!(
                drained = after.is_drained(),
                "draining of client connections has started or stopped"
            );
        }
        true
    }
}

struct PlatformFront {
    core: Rc<Core<NodeClient>>,
    limiter: Rc<ConnectionLimiter>,
    budget: Rc<DescriptorBudget>,
    handover: Option<Rc<HandoverListener>>,
    discovery_task: actix_rt::task::JoinHandle<()>,
    listen: std::net::SocketAddr,
}

struct PushFront {
    core: Rc<Core<crate::push::gateways::Gateways>>,
    server: Rc<crate::push::server::Server<crate::push::gateways::Gateways>>,
    limiter: Rc<ConnectionLimiter>,
    listen: std::net::SocketAddr,
    state: PathBuf,
}

impl<C: Transport> Front for Core<C> {
    fn gauge_values(&self) -> GaugeValues {
        Core::gauge_values(self)
    }

    fn set_disabled(&self, id: &str, disabled: bool) -> Result<(), SetDisabledError> {
        Core::set_disabled(self, id, disabled)
    }

    fn backlog(&self) -> Option<Rc<Backlog>> {
        Core::backlog(self)
    }
}

/// Creates a core with its journal.
fn new_core<C: Transport>(
    transport: C,
    rules: Rules,
    hooks: Option<Hooks>,
    seed: u64,
    state: &Path,
    journal: Journal,
    metrics: &Rc<Metrics>,
) -> Rc<Core<C>> {
    Core::new(transport, rules, hooks, seed, journal, DisabledNodes::open(state), metrics.clone())
}

/// Retries an operation on the state folder for as long as its errors may be temporary.
async fn retry_in_folder<T, F: Future<Output = io::Result<T>>>(
    state: &Path,
    what: &'static str,
    attempt: impl Fn() -> F,
) -> Result<T, String> {
    let started = Instant::now();
    let mut logged = false;
    loop {
        match attempt().await {
            Ok(done) => {
                if logged {
                    tracing::info!(after = ?started.elapsed(), what, "the state folder can be used again");
                }
                return Ok(done);
            }
            Err(error) if !is_transient(&error) => {
                return Err(format!("{what} in {}: {error}", state.display()));
            }
            Err(error) => {
                if !std::mem::replace(&mut logged, true) {
                    let state = state.display();
                    tracing::error!(%error, %state, what, "the state folder cannot be used; retrying until it can");
                }
                sleep(FOLDER_RETRY_DELAY).await;
            }
        }
    }
}

/// Locks a state folder; `key` is the key that names it. Waits a short time for a process that is about to exit.
///
/// # Errors
/// Another process, or another front of this one, uses the folder; or the folder can never be locked.
async fn lock_folder(key: &str, state: &Path) -> Result<StateLock, Error> {
    let until = Instant::now() + LOCK_TIMEOUT;
    let attempt = async || match StateLock::acquire(state) {
        Err(error @ LockError::InUse { .. }) => Ok(Err(error)),
        locked => locked.map(Ok).map_err(LockError::into_io),
    };
    loop {
        match retry_in_folder(state, "lock", attempt).await.map_err(|e| format!("{key}: {e}"))? {
            Ok(lock) => return Ok(lock),
            Err(error) if Instant::now() >= until => return Err(Error::InUse(format!("{key}: {error}"))),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Opens the journal, and reads its open jobs, as soon as its folder can be used.
async fn open_journal(lock: &Rc<StateLock>, disk: u64) -> Result<(Journal, Vec<OpenJob>), String> {
    retry_in_folder(lock.folder(), "journal", async || Journal::open(lock, disk)).await
}

/// Starts the background tasks of a front's core.
fn start_tasks<C: Transport>(core: &Rc<Core<C>>, front: &'static str) {
    let (rounds, tally, journal) = (core.clone(), core.clone(), core.clone());
    actix_rt::spawn(async move { rounds.run_rounds().await });
    actix_rt::spawn(async move { journal.retry_journal().await });
    actix_rt::spawn(async move { tally.log_tally(front).await });
}

/// Opens the socket that submitters connect to: the one passed by the platform, if the environment names one.
async fn listen_for_submitters(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    match crate::inherited_socket::listener() {
        Ok(None) => {}
        Ok(Some(socket)) => {
            let listener = socket.set_nonblocking(true).and_then(|()| TcpListener::from_std(socket));
            return listener.map_err(|e| format!("BALANCER_PASSED_SOCKET: {e}").into());
        }
        Err(error) => {
            tracing::error!(
                fault = error,
                "the passed socket cannot be used; listening on BALANCER_LISTEN instead"
            );
        }
    }
    Ok(retry_socket(|| listen("BALANCER_LISTEN", address)).await?)
}

/// Retries to open a socket: for as long as the system lacks what a socket needs, and for a short time if it fails otherwise, since the
/// previous process may be about to close its own.
async fn retry_socket<T>(open: impl Fn() -> Result<T, ListenError>) -> Result<T, ListenError> {
    let until = Instant::now() + BIND_TIMEOUT;
    let mut logged = false;
    loop {
        match open() {
            Err(error) if error.is_shortage() => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::error!(%error, "a socket cannot be opened; retrying until it can");
                }
            }
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => {}
            opened => return opened,
        }
        sleep(RETRY_PAUSE).await;
    }
}

#[allow(clippy::too_many_arguments)]
async fn start_platform(
    mut config: config::PlatformConfig,
    idle: &IdleConfig,
    hooks: Option<Hooks>,
    metrics: &Rc<Metrics>,
    process: &ProcessAvailability,
    admin: &Admin,
    upgrades: bool,
    sharing: Option<ListSharing>,
    backlog: Option<&config::BacklogConfig>,
) -> Result<PlatformFront, Error> {
    let (lock, predecessor) = match upgrades {
        true => {
            let owned = retry_in_folder(&config.state, "lock", async || {
                handover::acquire(&config.state, || admin.set_ready()).await
            });
            let (lock, predecessor) = owned.await.map_err(|e| format!("BALANCER_STATE: {e}"))?;
            (lock, predecessor)
        }
        false => (lock_folder("BALANCER_STATE", &config.state).await?, None),
    };
    let lock = Rc::new(lock);
    idle.apply(&mut config.rules);
    config.rules.settings.list_shared = sharing.is_some();
    let MachineLimits { disk_bytes, sockets } = config.limits;
    let budget =
        Rc::new(DescriptorBudget { sockets: Cell::new(sockets), shared: Cell::new(predecessor.is_some()) });
    let node_client =
        NodeClient::new(&config.rules, config.discovery, idle.list_limit, metrics.surplus_answers());
    node_client.set_max_connections(budget.node_connections(idle));
    let discovery = node_client.discovery_server();
    let first_start = !Journal::exists(&config.state) && !LeaseRecord::exists(&config.state);
    let mut listener = None;
    let opened = match Journal::open(&lock, disk_bytes) {
        Ok(opened) => Ok(opened),
        Err(error) if !is_transient(&error) => Err(format!("journal in {}: {error}", config.state.display())),
        Err(_) => {
            let listener = listener.insert(listen_for_submitters(config.listen).await?);
            tokio::select! {
                opened = open_journal(&lock, disk_bytes) => opened,
                () = refuse_all(listener, budget.submitter_connections()) => Err("no connections can be accepted".into()),
            }
        }
    };
    let (journal, open) = opened.map_err(|e| format!("BALANCER_STATE: {e}"))?;
    // From here on only the journal keeps the lock, so that closing the journal releases it.
    drop(lock);
    tracing::info!(recovered = open.len(), "journal read");
    let core = new_core(node_client, config.rules, hooks, config.seed, &config.state, journal, metrics);
    if let Some(settings) = backlog {
        settings.check_folder(Some(&config.state))?;
        attach_backlog(&core, settings, &config.name, &open).await?;
    }
    let limiter = Rc::new(ConnectionLimiter::new(budget.submitter_connections()));
    *process.limiter.borrow_mut() = Some(limiter.clone());
    let mut known_generation = None;
    match predecessor {
        Some(predecessor) => {
            if predecessor.state.drained {
                process.apply(AvailabilityEvent::Drain);
            }
            let pending_outcomes = core.take_over(&predecessor.state, open).await;
            known_generation = predecessor.state.generation;
            let (core, limiter, budget, idle) = (core.clone(), limiter.clone(), budget.clone(), *idle);
            actix_rt::spawn(predecessor.follow(core.clone(), pending_outcomes, move || {
                budget.shared.set(false);
                core.transport.set_max_connections(budget.node_connections(&idle));
                limiter.set_limit(budget.submitter_connections());
            }));
        }
        None => {
            open.into_iter().for_each(|open| core.recover(open));
            // Where instances share lists, the configured list is used only if no newer one arrives in time; an empty list lets the first
            // decision round run without it.
            let empty = NodeList::default();
            core.apply_list(if sharing.is_some() { &empty } else { &config.known_nodes }).await;
            known_generation = known_generation
                .or((!config.known_nodes.is_empty()).then_some(config.known_nodes.generation));
        }
    }
    if core.rules().settings.list_on_request && sharing.is_none() {
        start_list_lease(&core, &config.state, first_start);
    }
    start_tasks(&core, "platform");
    if let Some(sharing) = &sharing {
        actix_rt::spawn(instances::apply_lists(core.clone(), sharing.clone(), config.known_nodes));
    }
    let discovery_task =
        actix_rt::spawn(crate::discovery::follow(core.clone(), discovery, known_generation, sharing));
    actix_rt::spawn(crate::platform::carrier::close_idle_connections(core.clone()));
    let handover = upgrades.then(|| HandoverListener::listen(&config.state)).transpose();
    let handover = handover.unwrap_or_else(|error| {
        tracing::warn!(fault = %error, "upgrade: cannot listen for a successor; it takes over only once this process has exited");
        None
    });
    let listener = match listener {
        Some(listener) => listener,
        None => listen_for_submitters(config.listen).await?,
    };
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = crate::platform::server::Server::new(core.clone(), process.availability.clone());
    actix_rt::spawn(server.accept(listener, limiter.clone()));
    process.apply(AvailabilityEvent::Started);
    tracing::info!(name = config.name, listen = %address, "platform front is ready");
    Ok(PlatformFront { core, limiter, budget, handover, discovery_task, listen: config.listen })
}

/// Allows claims by the list only while it is confirmed, by this process or, as its record says, by the previous one.
fn start_list_lease<C: Transport>(core: &Core<C>, state: &Path, first_start: bool) {
    let (record, previous) = match LeaseRecord::open(state) {
        Ok((record, previous)) => (Some(record), previous),
        Err(error) => {
            tracing::error!(%error, "the lease on the list cannot be recorded; after a restart, claims wait for a new list");
            (None, None)
        }
    };
    // The record does not confirm a list that is older than the one it was written for.
    let previous =
        previous.filter(|previous| core.generation().is_some_and(|known| known >= previous.generation));
    core.start_list_lease(record, previous, first_start);
}

/// Opens the backlog on disk and attaches it to the core.
async fn attach_backlog<C: Transport>(
    core: &Rc<Core<C>>,
    settings: &config::BacklogConfig,
    owner: &str,
    journaled: &[OpenJob],
) -> Result<(), String> {
    let rules = core.rules();
    let classes = rules.names.classes.iter().zip(&rules.settings.classes);
    let classes: Vec<_> = classes
        .map(|(name, class)| BacklogClass { name: name.clone(), worth: class.worth.unwrap_or(1.0) })
        .collect();
    let max_open_messages = rules.settings.max_open_messages;
    let metrics = BacklogMetrics::register(core.metrics());
    let opened = Backlog::open(settings, owner, &classes, max_open_messages, journaled, metrics).await;
    let (backlog, actions) = opened.map_err(|error| format!("backlog.folder: {error}"))?;
    core.attach_backlog(backlog, actions).map_err(|error| format!("BALANCER_STATE: {error}"))
}

/// Divides the machine's file descriptors. `docs/operation.md` says what is given up first when they run out.
struct DescriptorBudget {
    sockets: Cell<usize>,
    /// The previous process still uses some of them, fewer and fewer as its connections close.
    shared: Cell<bool>,
}

impl DescriptorBudget {
    /// How many of them this process may use.
    fn available(&self) -> usize {
        if self.shared.get() { self.sockets.get() / 2 } else { self.sockets.get() }
    }

    /// How many connections submitters may open.
    fn submitter_connections(&self) -> usize {
        ((self.available() as f64 * SUBMITTER_SHARE) as usize).max(1)
    }

    /// How many connections to nodes may be open: as configured, else what the submitters' connections leave.
    fn node_connections(&self, idle: &IdleConfig) -> usize {
        let left =
            self.available().saturating_sub(self.submitter_connections() + RESERVED_DESCRIPTORS).max(1);
        idle.connections.map_or(left, |limit| if self.shared.get() { limit.min(left) } else { limit })
    }
}

impl PlatformFront {
    /// Hands all jobs over to a successor process, if one is connected. Returns once nothing is left to do in this process; false
    /// if there was no successor.
    async fn hand_over(&self, drained: bool) -> bool {
        let Some(handover) = &self.handover else { return false };
        if !handover.has_successor() {
            return false;
        }
        let end = Instant::now() + HANDOVER_COMPLETION_TIME;
        // If the platform passes the socket, new connections wait in its queue for the successor; else the address must be free by the
        // time the successor binds it.
        self.limiter.stop_accepting();
        self.limiter.drain(Some(Instant::now()));
        sleep(Duration::from_millis(1)).await;
        if !handover.terminate(&self.core, drained) {
            return false;
        }
        self.discovery_task.abort();
        while Instant::now() < end && !(self.core.no_claims_in_flight() && self.limiter.is_empty()) {
            self.core.transport.close_all_idle();
            sleep(Duration::from_millis(10)).await;
        }
        self.core.cancel_claims();
        // Before the process exits, cancelled claims close their connections, and their outcomes are reported.
        sleep(HANDOVER_REPORT_TIME).await;
        tracing::info!("upgrade: handover complete; exiting");
        true
    }

    /// Reloads the configuration without dropping a job or a connection. Returns false if it is invalid.
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
            Err(error) => {
                // Guards against applying a part of a configuration: none of it is applied.
                tracing::error!(fault = error, "SIGHUP: the configuration is faulty; nothing changes");
                return false;
            }
        };
        if config.listen != self.listen {
            tracing::warn!(listen = %config.listen, "SIGHUP: the new listen address takes effect at the next start");
        }
        self.core.transport.reconfigure(&config.rules, config.discovery, idle.list_limit);
        self.budget.sockets.set(config.limits.sockets);
        self.core.transport.set_max_connections(self.budget.node_connections(&idle));
        self.core.apply_rules(config.rules, config.limits.disk_bytes);
        self.limiter.set_limit(self.budget.submitter_connections());
        tracing::info!(discovery = %config.discovery, "SIGHUP: configuration read anew");
        true
    }
}

async fn start_push(
    config: config::PushConfig,
    hooks: Option<Hooks>,
    metrics: &Rc<Metrics>,
) -> Result<PushFront, Error> {
    // A process that uses the folder or the address is not disturbed: nothing is read or written before both are this one's.
    let lock = Rc::new(lock_folder("push.state", &config.state).await?);
    let address = retry_socket(|| ReservedAddress::reserve("push.listen", config.listen)).await?;
    // This front is given no seed: it uses a new one for each start.
    let seed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let gateways = crate::push::gateways::Gateways::new(config.pool_limits, config.notices);
    gateways.set_tls(config.gateway_tls.clone());
    let rules = config.rules.clone();
    let opened = open_journal(&lock, config.disk_bytes).await;
    let (journal, open) = opened.map_err(|e| format!("push.state: {e}"))?;
    drop(lock);
    tracing::info!(recovered = open.len(), "journal read");
    let core = new_core(gateways, rules, hooks, seed, &config.state, journal, metrics);
    open.into_iter().for_each(|open| core.recover(open));
    start_tasks(&core, "push");
    core.apply_list(&config.gateways).await;
    actix_rt::spawn(crate::push::gateways::maintain_connections(core.clone()));
    let listener = address.listen()?;
    let address = listener.local_addr().unwrap_or(config.listen);
    let server = crate::push::server::Server::new(core.clone(), &config, seed);
    let limiter = Rc::new(ConnectionLimiter::new(config.connections));
    actix_rt::spawn(server.clone().accept(listener, limiter.clone()));
    tracing::info!(listen = %address, "push front is ready");
    Ok(PushFront { core, server, limiter, listen: config.listen, state: config.state })
}

impl PushFront {
    /// Reloads the file without dropping a message or a connection. Returns false if it is invalid.
    async fn reload(&self, file: &Path) -> bool {
        match config::load_relay_config(file).and_then(|own| own.push.ok_or("push: the table is gone".into()))
        {
            Ok(push) => {
                if (push.listen, &push.state) != (self.listen, &self.state) {
                    tracing::warn!("SIGHUP: push.listen and push.state take effect at the next start");
                }
                self.core.transport.reconfigure(push.pool_limits, push.notices);
                self.core.transport.set_tls(push.gateway_tls);
                self.core.apply_rules(push.rules, push.disk_bytes);
                self.core.apply_list(&push.gateways).await;
                self.server.reconfigure(push.locations, push.body_limit, push.server_tls);
                self.limiter.set_limit(push.connections);
                tracing::info!(gateways = push.gateways.len(), "SIGHUP: file read anew");
                true
            }
            Err(error) => {
                tracing::error!(fault = error, "SIGHUP: the file is faulty; nothing changes");
                false
            }
        }
    }
}
