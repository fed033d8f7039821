//! Starts the push front, and reloads its settings.
use slatethread::ListSource;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

use super::running_front::{RunningFront, start_tasks};
use super::step::{StartMode, open_journal, retry_socket};
use super::{Error, StartContext};
use crate::config::PushConfig;
use crate::connection_limiter::ConnectionLimiter;
use crate::core::{Core, StoredState};
use crate::disabled::DisabledNodes;
use crate::handover::{FolderClaim, Predecessor};
use crate::journal::OpenJob;
use crate::listener::ReservedAddress;
use crate::push::gateways::{Gateways, maintain_connections};
use crate::push::server::Server;

pub struct PushFront {
    pub front: RunningFront<Gateways>,
    server: Rc<Server<Gateways>>,
    listen: SocketAddr,
    state: PathBuf,
}

/// A push front whose address and folder are this process's, and whose journal is read. It does nothing yet.
pub struct OpenedPushFront {
    config: Rc<PushConfig>,
    core: Rc<Core<Gateways>>,
    open: Vec<OpenJob>,
    address: ReservedAddress,
    predecessor: Option<Predecessor>,
    seed: u64,
}

impl OpenedPushFront {
    /// Takes the folder over, reserves the address, and opens the journal. A process that uses either is not disturbed: nothing is read
    /// or written before both are this one's.
    ///
    /// # Errors
    /// The first step that failed, in a fresh start.
    pub async fn open(
        config: Rc<PushConfig>,
        claim: FolderClaim,
        context: &StartContext,
        mode: StartMode,
    ) -> Result<OpenedPushFront, Error> {
        let (lock, predecessor) = context.take_folder(claim, mode).await;
        let reserve = async || {
            let reserved = retry_socket(|| ReservedAddress::reserve("push.listen", config.listen)).await;
            reserved.map_err(Error::from)
        };
        let address = mode.run("push", "address", reserve).await?;
        let open = async || {
            let opened = open_journal(&lock, config.disk_bytes).await;
            opened.map_err(|error| Error::from(format!("push.state: {error}")))
        };
        let (journal, open) = mode.run("push", "journal", open).await?;
        // From here on only the journal keeps the lock, so that closing the journal releases it.
        drop(lock);
        tracing::info!(recovered = open.len(), "journal read");
        let gateways = Gateways::new(config.pool_limits, config.notices);
        gateways.set_tls(config.gateway_tls.clone());
        // This front is given no seed: it uses a new one for each start.
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let seed = since.as_nanos() as u64;
        let stored = StoredState { journal, disabled: DisabledNodes::open(&config.state) };
        let (rules, hooks, metrics) = (config.rules.clone(), context.hooks.clone(), context.metrics.clone());
        let core = Core::new(gateways, ListSource::File, rules, hooks, seed, stored, metrics);
        Ok(OpenedPushFront { config, core, open, address, predecessor, seed })
    }

    /// Continues the open jobs, and accepts submitters.
    pub async fn serve(self, context: &StartContext) -> PushFront {
        let OpenedPushFront { config, core, open, address, predecessor, seed } = self;
        match predecessor {
            Some(predecessor) => {
                let pending_outcomes = core.take_over(&predecessor.state, open).await;
                actix_rt::spawn(predecessor.follow(core.clone(), pending_outcomes, || {}));
            }
            None => open.into_iter().for_each(|open| core.recover(open)),
        }
        core.apply_list(&config.gateways).await;
        start_tasks(&core, "push");
        actix_rt::spawn(maintain_connections(core.clone()));
        let limiter = Rc::new(ConnectionLimiter::new(config.connections));
        context.process.add_limiter(limiter.clone());
        let front = RunningFront::new(core.clone(), limiter.clone(), &config.state, context);
        let server = Server::new(core, &config, seed, context.memory.budget());
        let listener = address.listen_until_possible().await;
        let address = listener.local_addr().unwrap_or(config.listen);
        actix_rt::spawn(server.clone().accept(listener, limiter));
        tracing::info!(listen = %address, "push front is ready");
        PushFront { front, server, listen: config.listen, state: config.state.clone() }
    }
}

impl PushFront {
    /// Stops the front after SIGTERM.
    pub async fn stop(&self, drained: bool) {
        self.front.stop(drained, |_| {}).await;
    }

    /// Applies reloaded settings without dropping a message or a connection.
    pub async fn apply(&self, push: PushConfig) {
        if (push.listen, &push.state) != (self.listen, &self.state) {
            tracing::warn!("SIGHUP: push.listen and push.state take effect at the next start");
        }
        let RunningFront { core, limiter, .. } = &self.front;
        core.transport.reconfigure(push.pool_limits, push.notices);
        core.transport.set_tls(push.gateway_tls);
        core.apply_rules(push.rules, push.disk_bytes);
        core.apply_list(&push.gateways).await;
        self.server.reconfigure(push.locations, push.body_limit, push.server_tls);
        limiter.set_limit(push.connections);
        tracing::info!(gateways = push.gateways.len(), "SIGHUP: file read anew");
    }
}
