//! Starts the platform front, and reloads its settings.
use slatethread::ListSource;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::timeout_at;

use super::descriptor_budget::DescriptorBudget;
use super::memory_limit::MemoryLimit;
use super::running_front::{RunningFront, start_tasks};
use super::step::{StartMode, claim, listen_for_submitters, open_journal};
use super::{Error, ProcessAvailability, StartContext};
use crate::availability::AvailabilityEvent;
use crate::backlog::{Backlog, BacklogClass};
use crate::config::{BacklogConfig, IdleConfig, MachineLimits, PlatformConfig, Rules};
use crate::connection_limiter::ConnectionLimiter;
use crate::core::{Core, StoredState, Transport};
use crate::disabled::DisabledNodes;
use crate::handover::{FolderClaim, Predecessor};
use crate::http1::MESSAGE_BYTES;
use crate::instances::{self, ListSharing};
use crate::job::nanos;
use crate::journal::{Journal, OpenJob, is_transient};
use crate::lease_record::LeaseRecord;
use crate::list::NodeList;
use crate::listener::listen;
use crate::memory_budget::{Holder, MemoryBudget};
use crate::metrics::BacklogMetrics;
use crate::platform::carrier::NodeClient;
use crate::platform::refusing::refuse_all;
use crate::platform::server::Server;
use crate::state_lock::{LockError, StateLock};

/// Longest time from the process's start until submitters are told that the relay is ready, while the list is not confirmed. A relay
/// that is not ready leaves its submitters to relays that can serve them; but an outage of discovery has no known end, and the platform
/// expects each relay back in time.
const MAX_READY_DELAY: Duration = Duration::from_secs(5);

/// What the platform front's start needs beside what both fronts share.
pub struct PlatformStart {
    pub config: PlatformConfig,
    pub idle: IdleConfig,
    pub backlog: Option<BacklogConfig>,
    pub sharing: Option<ListSharing>,
    /// Where submitters are refused already, while the folder fails.
    early_listener: RefCell<Option<Rc<TcpListener>>>,
    created_at: Instant,
}

pub struct PlatformFront {
    pub front: RunningFront<NodeClient>,
    budget: Rc<DescriptorBudget>,
    memory: Rc<MemoryLimit>,
    discovery_task: actix_rt::task::JoinHandle<()>,
    listen: SocketAddr,
}

impl PlatformStart {
    pub fn new(
        config: PlatformConfig,
        idle: IdleConfig,
        backlog: Option<BacklogConfig>,
        sharing: Option<ListSharing>,
    ) -> PlatformStart {
        let (early_listener, created_at) = (RefCell::default(), Instant::now());
        PlatformStart { config, idle, backlog, sharing, early_listener, created_at }
    }

    /// Claims the state folder. While the folder fails for a reason that may pass, submitters are refused, unless another process may be
    /// running that an upgrade would disturb.
    ///
    /// # Errors
    /// As [`claim`].
    pub async fn claim(&self, upgrades: bool, context: &StartContext) -> Result<FolderClaim, Error> {
        let PlatformConfig { state, listen: address, .. } = &self.config;
        let claimed = claim("BALANCER_STATE", state, upgrades);
        let fails = || match StateLock::acquire(state) {
            Err(LockError::Io { source, .. }) => is_transient(&source),
            _ => false,
        };
        if upgrades || !fails() {
            return claimed.await;
        }
        let Ok(socket) = listen("BALANCER_LISTEN", *address) else { return claimed.await };
        let socket = Rc::new(socket);
        let connections = DescriptorBudget::new(self.config.limits.sockets, false).submitter_connections();
        let claimed = tokio::select! {
            claimed = claimed => claimed,
            () = refuse_all(socket.clone(), connections, context.memory.budget()) => Err(Error::Other("no connections can be accepted".into())),
        };
        self.early_listener.replace(Some(socket));
        claimed
    }

    /// Takes the folder over, opens what is in it, and serves.
    ///
    /// # Errors
    /// The first step that failed, in a fresh start.
    pub async fn run(
        mut self,
        claim: FolderClaim,
        context: &StartContext,
        mode: StartMode,
    ) -> Result<PlatformFront, Error> {
        let (lock, predecessor) = context.take_folder(claim, mode).await;
        self.config.rules.settings.list_shared = self.sharing.is_some();
        let PlatformStart { config, idle, backlog, sharing, early_listener, created_at } = self;
        let budget = Rc::new(DescriptorBudget::new(config.limits.sockets, predecessor.is_some()));
        context.memory.set_predecessor(predecessor.is_some());
        let node_client = NodeClient::new(
            &config.rules,
            config.discovery,
            idle.list_limit,
            context.metrics.surplus_answers(),
            context.memory.budget(),
        );
        node_client.set_max_connections(budget.node_connections(&idle));
        let discovery = node_client.discovery_server();
        let attempt =
            async || open_or_refuse(&lock, &config, &budget, &early_listener, &context.memory).await;
        let (journal, open) = mode.run("platform", "journal", attempt).await?;
        // From here on only the journal keeps the lock, so that closing the journal releases it.
        drop(lock);
        let open: Vec<_> =
            open.into_iter().map(|open| charge_message(open, &context.memory.budget())).collect();
        tracing::info!(recovered = open.len(), "journal read");
        let stored = StoredState { journal, disabled: DisabledNodes::open(&config.state) };
        let (hooks, metrics) = (context.hooks.clone(), context.metrics.clone());
        let source = list_source(&config.rules, sharing.is_some());
        let core = Core::new(node_client, source, config.rules, hooks, config.seed, stored, metrics);
        if let Some(settings) = &backlog {
            let figures = BacklogMetrics::register(core.metrics());
            let attempt = async || {
                attach_backlog(&core, settings, &config.state, &config.name, &open, figures.clone()).await
            };
            mode.run("platform", "backlog", attempt).await?;
        }
        let limiter =
            ConnectionLimiter::new(budget.submitter_connections()).with_memory(context.memory.budget());
        let limiter = Rc::new(limiter.with_metrics(context.client_metrics.clone()));
        context.process.add_limiter(limiter.clone());
        let known_generation = match predecessor {
            Some(predecessor) => {
                take_over(&core, &limiter, &budget, &context.memory, idle, predecessor, open).await
            }
            None => {
                open.into_iter().for_each(|open| core.recover(open));
                // Where instances share lists, the configured list is used only if no newer one arrives in time; an empty list lets the
                // first decision round run without it.
                let empty = NodeList::default();
                core.apply_list(if sharing.is_some() { &empty } else { &config.known_nodes }).await;
                (!config.known_nodes.is_empty()).then_some(config.known_nodes.generation)
            }
        };
        if source != ListSource::Pushed {
            restore_list_lease(&core, &config.state);
        }
        start_tasks(&core, "platform");
        if let Some(sharing) = &sharing {
            actix_rt::spawn(instances::apply_lists(core.clone(), sharing.clone(), config.known_nodes));
        }
        let discovery_task =
            actix_rt::spawn(crate::discovery::follow(core.clone(), discovery, known_generation, sharing));
        actix_rt::spawn(crate::platform::carrier::close_idle_connections(core.clone()));
        let front = RunningFront::new(core.clone(), limiter.clone(), &config.state, context);
        let listener = match early_listener.into_inner() {
            Some(listener) => listener,
            None => {
                let attempt = async || listen_for_submitters(config.listen).await;
                Rc::new(mode.run("platform", "listen", attempt).await?)
            }
        };
        let address = listener.local_addr().unwrap_or(config.listen);
        let server = Server::new(
            core.clone(),
            context.process.availability(),
            limiter,
            context.client_metrics.clone(),
        );
        actix_rt::spawn(server.accept(listener, context.memory.budget()));
        tracing::info!(name = config.name, listen = %address, "platform front is ready");
        match mode {
            StartMode::Fresh => {
                drop(actix_rt::spawn(announce_ready(core, context.process.clone(), created_at)))
            }
            // Submitters use the relay already.
            StartMode::Successor => context.process.apply_event(AvailabilityEvent::Started),
        }
        Ok(PlatformFront {
            front,
            budget,
            memory: context.memory.clone(),
            discovery_task,
            listen: config.listen,
        })
    }
}

/// Announces to submitters that the relay is ready: once claims may be sent by the list, or [`MAX_READY_DELAY`] after the process's start.
async fn announce_ready(core: Rc<Core<NodeClient>>, process: Rc<ProcessAvailability>, started: Instant) {
    let confirmed = timeout_at((started + MAX_READY_DELAY).into(), core.list_usable()).await.is_ok();
    tracing::info!(confirmed, after = ?started.elapsed(), "submitters are told that the relay is ready");
    process.apply_event(AvailabilityEvent::Started);
}

/// Opens the journal. While the folder fails for a reason that may pass, submitters are refused, on the socket that is left in
/// `listener`.
async fn open_or_refuse(
    lock: &Rc<StateLock>,
    config: &PlatformConfig,
    budget: &DescriptorBudget,
    listener: &RefCell<Option<Rc<TcpListener>>>,
    memory: &MemoryLimit,
) -> Result<(Journal, Vec<OpenJob>), Error> {
    let MachineLimits { disk_bytes, .. } = config.limits;
    let failed = |error: String| Error::from(format!("BALANCER_STATE: {error}"));
    match Journal::open(lock, disk_bytes) {
        Ok(opened) => return Ok(opened),
        Err(error) if !is_transient(&error) => {
            return Err(failed(format!("journal in {}: {error}", config.state.display())));
        }
        Err(_) => {}
    }
    let socket = match listener.take() {
        Some(socket) => socket,
        None => Rc::new(listen_for_submitters(config.listen).await?),
    };
    let opened = tokio::select! {
        opened = open_journal(lock, disk_bytes) => opened,
        () = refuse_all(socket.clone(), budget.submitter_connections(), memory.budget()) => Err("no connections can be accepted".into()),
    };
    *listener.borrow_mut() = Some(socket);
    opened.map_err(failed)
}

/// Charges a message from the journal, as one that a client has sent is.
fn charge_message(mut open: OpenJob, memory: &MemoryBudget) -> OpenJob {
    let mut charge = memory.charge(Holder::Messages);
    charge.grow(open.job.body.len() + MESSAGE_BYTES);
    open.job.body = charge.hold(open.job.body);
    open
}

/// Takes over what the predecessor held in memory. Returns the version of its list.
async fn take_over(
    core: &Rc<Core<NodeClient>>,
    limiter: &Rc<ConnectionLimiter>,
    budget: &Rc<DescriptorBudget>,
    memory: &Rc<MemoryLimit>,
    idle: IdleConfig,
    predecessor: Predecessor,
    open: Vec<OpenJob>,
) -> Option<u64> {
    let pending_outcomes = core.take_over(&predecessor.state, open).await;
    let known_generation = predecessor.state.generation;
    let (successor, limiter, budget, memory) =
        (core.clone(), limiter.clone(), budget.clone(), memory.clone());
    actix_rt::spawn(predecessor.follow(core.clone(), pending_outcomes, move || {
        budget.stop_sharing();
        memory.set_predecessor(false);
        successor.transport.set_max_connections(budget.node_connections(&idle));
        limiter.set_limit(budget.submitter_connections());
    }));
    known_generation
}

/// Where the list comes from, and so what has to confirm it before claims are sent by it.
fn list_source(rules: &Rules, shared: bool) -> ListSource {
    let poll_interval = nanos(rules.list_max_age());
    match rules.settings.list_on_request {
        _ if shared => ListSource::Shared { poll_interval },
        true => ListSource::Polled { poll_interval },
        false => ListSource::Pushed,
    }
}

/// Continues the lease of the previous process on the list, as its record says.
fn restore_list_lease<C: Transport>(core: &Core<C>, state: &Path) {
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
    core.restore_list_lease(record, previous);
}

/// Opens the backlog on disk and attaches it to the core.
async fn attach_backlog<C: Transport>(
    core: &Rc<Core<C>>,
    settings: &BacklogConfig,
    state: &Path,
    owner: &str,
    journaled: &[OpenJob],
    figures: BacklogMetrics,
) -> Result<(), Error> {
    settings.check_folder(Some(state))?;
    let rules = core.rules();
    let classes = rules.names.classes.iter().zip(&rules.settings.classes);
    let classes: Vec<_> = classes
        .map(|(name, class)| BacklogClass { name: name.clone(), worth: class.worth.unwrap_or(1.0) })
        .collect();
    let max_open_messages = rules.settings.max_open_messages;
    let opened = Backlog::open(settings, owner, &classes, max_open_messages, journaled, figures).await;
    let (backlog, actions) = opened.map_err(|error| format!("backlog.folder: {error}"))?;
    core.attach_backlog(backlog, actions).map_err(|error| format!("BALANCER_STATE: {error}").into())
}

impl PlatformFront {
    /// Stops the front after SIGTERM.
    pub async fn stop(&self, drained: bool) {
        let handed_over = |transport: &NodeClient| {
            self.discovery_task.abort();
            transport.close_all_idle();
        };
        self.front.stop(drained, handed_over).await;
    }

    /// Applies reloaded settings without dropping a job or a connection.
    pub fn apply(&self, config: PlatformConfig, idle: IdleConfig) {
        if config.listen != self.listen {
            tracing::warn!(listen = %config.listen, "SIGHUP: the new listen address takes effect at the next start");
        }
        let RunningFront { core, limiter, .. } = &self.front;
        core.transport.reconfigure(&config.rules, config.discovery, idle.list_limit);
        self.budget.set_sockets(config.limits.sockets);
        core.transport.set_max_connections(self.budget.node_connections(&idle));
        core.apply_rules(config.rules, config.limits.disk_bytes);
        limiter.set_limit(self.budget.submitter_connections());
        self.memory.set(config.limits, self.budget.submitter_connections());
        tracing::info!(discovery = %config.discovery, "SIGHUP: configuration read anew");
    }
}
