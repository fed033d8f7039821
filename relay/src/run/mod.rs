//! Starts the configured fronts, handles signals, and shuts down.
//!
//! A start is a list of steps, in this order:
//!
//! 1. all settings, scripts and keys are read and checked;
//! 2. the admin address is opened;
//! 3. the state folder of each front is claimed: this process has its lock, or a predecessor runs the front and will hand it over;
//! 4. a front without a predecessor takes its address, opens its folder and serves. Whatever fails up to here ends the process;
//! 5. if a front has a predecessor, this process says that it is ready. Now the predecessor may be told to end, so that nothing ends this
//!    process any more but a signal: a step that fails for one front is repeated while the other serves;
//! 6. each front that has a predecessor is taken over once that hands over or ends, whichever front comes first.
mod descriptor_budget;
mod memory_limit;
mod platform_front;
mod process_availability;
mod push_front;
mod running_front;
mod settings;
mod step;

use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::admin::{Admin, ControlHolder, Shutdown};
use crate::availability::AvailabilityEvent;
use crate::clock;
use crate::config::PushConfig;
use crate::connection_limiter::ConnectionLimiter;
use crate::handover::{FolderClaim, Predecessor, TakenFolder};
use crate::hook::{Hooks, Script};
use crate::instances::{self, Instances};
use crate::journal::Journal;
use crate::listener::{ListenError, listen};
use crate::metrics::{ClientMetrics, HookMetrics, MemoryMetrics, Metrics};
use crate::state_lock::StateLock;
use descriptor_budget::DescriptorBudget;
use memory_limit::MemoryLimit;
use platform_front::{PlatformFront, PlatformStart};
use process_availability::ProcessAvailability;
use push_front::{OpenedPushFront, PushFront};
use settings::Settings;
use step::{StartMode, claim, retry_socket};

/// How many of the reserved descriptors connections to the admin address may use. Guards against callers that do not complete a call
/// keeping others out.
const ADMIN_CONNECTIONS: usize = 12;

/// Why the relay did not start, or has stopped.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration is invalid; the text names the key. A restart does not help before it is corrected.
    #[error("{0}")]
    Configuration(String),
    /// Another process uses a state folder or an address that this one needs.
    #[error("{0}")]
    InUse(String),
    #[error("{0}")]
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

/// What the starts of both fronts share.
pub struct StartContext {
    metrics: Rc<Metrics>,
    process: Rc<ProcessAvailability>,
    /// Whether this process may change the relay.
    control: Rc<ControlHolder>,
    hooks: Option<Rc<Hooks>>,
    memory: Rc<MemoryLimit>,
    client_metrics: ClientMetrics,
    /// A successor can be asked whether it is ready, and take over.
    upgrades: bool,
}

impl StartContext {
    /// Waits until a front's state folder is this process's, and applies what its predecessor leaves for the whole process.
    async fn take_folder(&self, claim: FolderClaim, mode: StartMode) -> (Rc<StateLock>, Option<Predecessor>) {
        let TakenFolder { lock, predecessor, drained } = claim.complete().await;
        if drained {
            self.process.apply_event(AvailabilityEvent::Drain);
        }
        self.process.add_folder(&lock);
        if mode == StartMode::Successor {
            self.control.front_taken_over();
        }
        (lock, predecessor)
    }
}

/// Runs the configured fronts until SIGTERM.
pub async fn run(file: Option<PathBuf>) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let settings = Settings::load(file.as_deref()).map_err(Error::Configuration)?;
    // Before the clock is used for anything else. The folder that is named first decides, if both have a record.
    settings.platform.iter().for_each(|platform| clock::restore_epoch(&platform.state));
    settings.push().into_iter().for_each(|push| clock::restore_epoch(&push.state));
    let script = settings.hook().map(Script::load).transpose().map_err(Error::Configuration)?;
    let metrics = Metrics::new(settings.classes());
    let limits = settings.platform.as_ref().map(|platform| platform.limits);
    let connections =
        limits.map_or(0, |limits| DescriptorBudget::new(limits.sockets, false).submitter_connections());
    let upgrades = settings.admin.is_some();
    let backlog = settings.relay.backlog.as_ref().map_or(0, |backlog| backlog.memory_bytes as usize);
    let memory = Rc::new(MemoryLimit::new(limits, connections, backlog, upgrades)?);
    let (followed, memory_metrics) = (memory.clone(), MemoryMetrics::register(&metrics));
    actix_rt::spawn(async move { followed.follow(memory_metrics).await });
    let client_metrics = ClientMetrics::register(&metrics);
    let process = Rc::new(ProcessAvailability::default());
    let fronts = usize::from(settings.platform.is_some()) + usize::from(settings.relay.push.is_some());
    let control = Rc::new(ControlHolder::new(process.clone(), fronts));
    let admin = Admin::new(metrics.clone(), control.clone());
    if let Some(address) = settings.admin {
        let listener = retry_socket(|| listen("BALANCER_ADMIN", address)).await?;
        tracing::info!(listen = %listener.local_addr().unwrap_or(address), "admin address is ready");
        actix_rt::spawn(admin.clone().accept(listener, Rc::new(ConnectionLimiter::new(ADMIN_CONNECTIONS))));
    }
    let hooks = script
        .zip(settings.hook())
        .map(|(script, table)| Rc::new(Hooks::start(script, table, HookMetrics::register(&metrics))));
    let context = StartContext { metrics, process, control, hooks, memory, client_metrics, upgrades };
    let mut fronts = Fronts::new(context, admin, &settings);
    let (started, mut starting) = mpsc::unbounded_channel();
    tokio::select! {
        begun = fronts.start(settings, started) => begun?,
        // No job has been accepted yet beyond those in the journals.
        _ = terminate.recv() => return Ok(()),
    }
    let mut reloaded = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                reloaded = true;
                fronts.reload(&file).await;
            }
            Some(front) = starting.recv() => {
                fronts.add(front);
                fronts.context.metrics.waiting_front_started();
                if reloaded {
                    // It has started with the settings of the process's start.
                    fronts.reload(&file).await;
                }
            }
        }
    }
    tracing::info!("SIGTERM: shutting down");
    fronts.stop().await;
    Ok(())
}

/// A front that has started.
enum StartedFront {
    Platform(PlatformFront),
    Push(PushFront),
}

/// The fronts of this process. One that is not there is not enabled, or waits for its predecessor.
struct Fronts {
    context: Rc<StartContext>,
    admin: Rc<Admin>,
    instances: Option<Rc<Instances>>,
    platform: Option<PlatformFront>,
    push: Option<PushFront>,
}

impl Fronts {
    fn new(context: StartContext, admin: Rc<Admin>, settings: &Settings) -> Fronts {
        let instances = start_instances(settings);
        admin.set_instances(instances.clone());
        Fronts { context: Rc::new(context), admin, instances, platform: None, push: None }
    }

    /// Starts the fronts (steps 3 to 6 of the module's list). Those that wait for a predecessor go to `started` later.
    ///
    /// # Errors
    /// A step failed before this process said that it was ready.
    async fn start(
        &mut self,
        settings: Settings,
        started: mpsc::UnboundedSender<StartedFront>,
    ) -> Result<(), Error> {
        let upgrades = self.context.upgrades;
        let Settings { platform, relay, .. } = settings;
        let sharing = self.instances.as_ref().and_then(|instances| instances.list_sharing());
        let platform = platform.map(|config| PlatformStart::new(config, relay.idle, relay.backlog, sharing));
        let platform = match platform {
            Some(start) => Some((start.claim(upgrades, &self.context).await?, start)),
            None => None,
        };
        let push = match relay.push {
            Some(config) => Some((claim("push.state", &config.state, upgrades).await?, Rc::new(config))),
            None => None,
        };
        let platform_waits = platform.as_ref().is_some_and(|(claim, _)| claim.is_pending());
        let push = match push {
            Some((claim, config)) => self.open_push(claim, config, platform_waits).await?,
            None => None,
        };
        let platform = match platform {
            Some((claim, start)) if claim.is_pending() => {
                check_before_waiting(&start)?;
                Some((claim, start))
            }
            Some((claim, start)) => {
                let front = start.run(claim, &self.context, StartMode::Fresh).await?;
                self.add(StartedFront::Platform(front));
                None
            }
            None => None,
        };
        let push = match push {
            Some(PushStart::Opened(opened)) => {
                let front = opened.serve(&self.context).await;
                self.add(StartedFront::Push(front));
                None
            }
            Some(PushStart::Waiting(claim, config)) => Some((claim, config)),
            None => None,
        };
        self.context.metrics.config_loaded(true);
        let pending_fronts = usize::from(platform.is_some()) + usize::from(push.is_some());
        self.context.metrics.fronts_waiting(pending_fronts);
        // The point of no return: from here on no error of a front ends this process.
        self.admin.set_ready();
        self.context.control.started(pending_fronts);
        if let Some((claim, start)) = platform {
            let (context, started) = (self.context.clone(), started.clone());
            actix_rt::spawn(async move {
                if let Ok(front) = start.run(claim, &context, StartMode::Successor).await {
                    let _ = started.send(StartedFront::Platform(front));
                }
            });
        }
        if let Some((claim, config)) = push {
            let (context, started) = (self.context.clone(), started);
            actix_rt::spawn(async move {
                let opened = OpenedPushFront::open(config, claim, &context, StartMode::Successor).await;
                if let Ok(opened) = opened {
                    let _ = started.send(StartedFront::Push(opened.serve(&context).await));
                }
            });
        }
        Ok(())
    }

    /// Opens the push front, unless it waits for a predecessor. A predecessor that does not lock the front's folder (a version before
    /// the lock) is known by its address, which it keeps until it ends; it is waited for only if it hands the platform front over.
    async fn open_push(
        &self,
        claimed: FolderClaim,
        config: Rc<PushConfig>,
        platform_waits: bool,
    ) -> Result<Option<PushStart>, Error> {
        if claimed.is_pending() {
            check_journal("push.state", &config.state)?;
            return Ok(Some(PushStart::Waiting(claimed, config)));
        }
        let opened = OpenedPushFront::open(config.clone(), claimed, &self.context, StartMode::Fresh).await;
        match opened {
            Ok(opened) => Ok(Some(PushStart::Opened(Box::new(opened)))),
            Err(Error::InUse(message)) if platform_waits => {
                tracing::warn!(message, "upgrade: the push front waits until its address is free");
                let claimed = claim("push.state", &config.state, self.context.upgrades).await?;
                Ok(Some(PushStart::Waiting(claimed, config)))
            }
            Err(error) => Err(error),
        }
    }

    /// Takes a front that has started into service for operators and other instances.
    fn add(&mut self, front: StartedFront) {
        let divides_limits = self.instances.clone().filter(|instances| instances.shares_limits());
        match front {
            StartedFront::Platform(platform) => {
                let core = platform.front.core.clone();
                self.admin.add_front(core.clone());
                if let Some(instances) = divides_limits {
                    actix_rt::spawn(instances::divide_limits(core, instances));
                }
                self.platform = Some(platform);
            }
            StartedFront::Push(push) => {
                let core = push.front.core.clone();
                self.admin.add_front(core.clone());
                if let Some(instances) = divides_limits {
                    actix_rt::spawn(instances::divide_limits(core, instances));
                }
                self.push = Some(push);
                // The platform front announces itself.
                if self.platform.is_none() {
                    self.context.process.apply_event(AvailabilityEvent::Started);
                }
            }
        }
    }

    /// Reloads all settings. If any of them is invalid, nothing changes on either front.
    async fn reload(&self, file: &Option<PathBuf>) {
        let loaded = Settings::load(file.as_deref()).and_then(|settings| match self.push.is_some() {
            true if settings.push().is_none() => Err("push: the table is gone".into()),
            _ => Ok(settings),
        });
        self.context.metrics.config_loaded(loaded.is_ok());
        let settings = match loaded {
            Ok(settings) => settings,
            Err(error) => {
                // Guards against applying a part of a configuration: none of it is applied.
                tracing::error!(fault = error, "SIGHUP: the configuration is faulty; nothing changes");
                return;
            }
        };
        if let (Some(platform), Some(config)) = (&self.platform, settings.platform) {
            platform.apply(config, settings.relay.idle);
        }
        if let (Some(push), Some(config)) = (&self.push, settings.relay.push) {
            push.apply(config).await;
        }
    }

    /// Stops both fronts after SIGTERM: each hands over to its successor, or winds down.
    async fn stop(&self) {
        if let Some(instances) = &self.instances {
            instances.leave().await;
        }
        // No await until both fronts have begun to stop: they see the same successor, and no call is confirmed in between.
        let drained = self.give_up_control();
        self.context.process.apply_event(AvailabilityEvent::Terminate);
        let platform = async {
            if let Some(platform) = &self.platform {
                platform.stop(drained).await;
            }
        };
        let push = async {
            if let Some(push) = &self.push {
                push.stop(drained).await;
            }
        };
        tokio::join!(platform, push);
    }

    /// Takes no more calls that change the relay. Returns whether it is drained, for the successor.
    fn give_up_control(&self) -> bool {
        let platform_waited_for =
            self.platform.as_ref().is_some_and(|platform| platform.front.has_successor());
        let push_waited_for = self.push.as_ref().is_some_and(|push| push.front.has_successor());
        let shutdown = match platform_waited_for || push_waited_for {
            true => Shutdown::HandOver,
            false => Shutdown::Alone,
        };
        self.context.control.give_up(shutdown)
    }
}

/// A push front before its process says that it is ready.
enum PushStart {
    Opened(Box<OpenedPushFront>),
    /// Its folder or its address is a predecessor's.
    Waiting(FolderClaim, Rc<PushConfig>),
}

/// Checks before a successor says that it is ready what it can know of the folders that it will take over.
fn check_before_waiting(start: &PlatformStart) -> Result<(), Error> {
    if let Some(backlog) = &start.backlog {
        backlog.check_folder(Some(&start.config.state)).map_err(Error::Configuration)?;
    }
    check_journal("BALANCER_STATE", &start.config.state)
}

fn check_journal(key: &str, state: &std::path::Path) -> Result<(), Error> {
    let checked = Journal::check_format(state);
    checked.map_err(|error| Error::Other(format!("{key}: journal in {}: {error}", state.display())))
}

/// Connects to other instances, if the settings name any. They share the lists of the platform front only: the gateways of the push
/// front are in the file.
fn start_instances(settings: &Settings) -> Option<Rc<Instances>> {
    let lists = settings.platform.as_ref().map(|platform| instances::ListSharingLimits {
        max_age: platform.rules.list_max_age(),
        max_bytes: settings.relay.idle.list_limit,
    });
    let name = settings.platform.as_ref().map(|platform| platform.name.clone());
    let config = settings.relay.instances.clone()?;
    let shared = lists.filter(|_| config.lists);
    let instances = Instances::start(config, name, shared);
    if lists.is_none() && instances.shares_lists() {
        tracing::warn!("instances.lists has no effect: there is no list to share without the platform front");
    }
    Some(instances)
}
