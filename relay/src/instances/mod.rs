//! Membership of the relay's instances: the I/O for the state machines in [`onyxglade_instances`] (datagrams here, links in
//! [`link`], shared lists in [`lists`]), and the membership view for operators. All decisions are made in the state
//! machines. Without `[instances]` in the relay's own file no socket is opened and nothing here runs.
mod link;
mod lists;
mod shares;

use onyxglade_instances::{
    FrameAuthenticator, LinkMessage, ListsInput, Member, MembershipChange, Swim, SwimConfig, SwimInput,
    SwimOutput, View,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout};

use crate::admin_client;
use crate::config;
use lists::SharedLists;
pub use lists::{ListSharing, ListSharingLimits, apply_lists};
pub use shares::divide_limits;

/// Size of the receive buffer. Longer datagrams are not from an instance.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Interval between attempts to listen while a predecessor process still does or the network is not up yet.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Membership changes within this time, as at startup, are published together.
const MEMBERSHIP_DEBOUNCE: Duration = Duration::from_millis(100);

/// The other instances, as this instance sees them.
pub struct Instances {
    settings: config::InstancesConfig,
    started_at: Instant,
    swim: RefCell<Option<Swim>>,
    /// Whether another instance's view is being fetched.
    fetching_view: Cell<bool>,
    leaving: Cell<bool>,
    left: Notify,
    leave_requested: Notify,
    /// The addresses of the other live instances, and whether publishing a change of them is pending.
    members: watch::Sender<Vec<SocketAddr>>,
    update_pending: Cell<bool>,
    /// The number by which limits are divided, if they are divided among live instances.
    limit_divisor: Cell<Option<u32>>,
    /// List sharing, if it is enabled.
    shared_lists: Option<Rc<SharedLists>>,
}

impl Instances {
    /// Starts the communication with other instances in the background; the relay does not wait for it.
    pub fn start(
        settings: config::InstancesConfig,
        name: Option<String>,
        lists: Option<ListSharingLimits>,
    ) -> Rc<Self> {
        let started_at = Instant::now();
        let instances = Rc::new(Instances {
            settings,
            started_at,
            members: watch::Sender::default(),
            update_pending: Cell::new(false),
            limit_divisor: Cell::default(),
            shared_lists: lists.map(|limits| SharedLists::new(limits, started_at)),
            swim: RefCell::default(),
            fetching_view: Cell::new(false),
            leaving: Cell::new(false),
            left: Notify::new(),
            leave_requested: Notify::new(),
        });
        actix_rt::spawn(instances.clone().run(name));
        instances
    }

    /// Binds both sockets, retrying until it succeeds: a predecessor process may still have them.
    async fn listen(&self) -> (UdpSocket, TcpListener) {
        let mut warned = false;
        loop {
            let bind = async {
                let socket = UdpSocket::bind(self.settings.listen).await?;
                // With port 0, the system has chosen the port.
                let listener = TcpListener::bind(socket.local_addr()?).await?;
                Ok::<_, io::Error>((socket, listener))
            };
            match bind.await {
                Ok(sockets) => return sockets,
                Err(fault) => {
                    if !std::mem::replace(&mut warned, true) {
                        let listen = self.settings.listen;
                        tracing::warn!(%fault, %listen, "instances: cannot listen yet; retrying");
                    }
                    sleep(LISTEN_RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn run(self: Rc<Self>, name: Option<String>) {
        let (socket, listener) = self.listen().await;
        let settings = &self.settings;
        let address = settings.advertise.or(socket.local_addr().ok()).unwrap_or(settings.listen);
        let now = unix_time();
        let me = Member {
            incarnation: now.as_millis() as u64,
            name: settings.name.clone().or(name).unwrap_or_else(|| address.to_string()),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            capacity: settings.capacity,
            ..Member::with_address(address)
        };
        tracing::info!(name = me.name, listen = %address, seeds = settings.seeds.len(), "instances: listening");
        let config = SwimConfig { seeds: settings.seeds.clone(), size: settings.expected };
        // Differs between processes, even if they start at the same moment.
        let seed =
            (now.as_nanos() as u64) ^ (u64::from(std::process::id()) << 32) ^ u64::from(address.port());
        *self.swim.borrow_mut() =
            Some(Swim::new(me, config, settings.key.clone(), seed, self.started_at.elapsed()));
        if let Some(shared) = &self.shared_lists {
            shared.start(&self, address, seed.rotate_left(17));
        }
        self.members_changed();
        let (views, mut fetched_views) = mpsc::channel(1);
        let links = actix_rt::spawn(link::accept(self.clone(), listener));
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut leaving = std::pin::pin!(self.leave_requested.notified());
        loop {
            let due = self.swim.borrow().as_ref().and_then(Swim::due);
            let due = self.started_at + due.unwrap_or(Duration::from_secs(3600));
            let outputs = tokio::select! {
                biased;
                () = &mut leaving => {
                    let outputs = self.handle(SwimInput::Leave);
                    self.execute(&socket, &views, outputs).await;
                    links.abort();
                    return self.left.notify_one();
                }
                Some(view) = fetched_views.recv() => self.handle(SwimInput::View(&view)),
                // Received datagrams are handled before timeouts.
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.handle(SwimInput::Datagram(&buffer[..length])),
                    // The system reports that a sent datagram was not delivered. The protocol detects missing responses itself.
                    Err(_) => Vec::new(),
                },
                () = sleep_until(due.into()) => self.handle(SwimInput::TimerDue),
            };
            self.execute(&socket, &views, outputs).await;
        }
    }

    /// Fetches the view of another instance, unless a view is already being fetched.
    fn fetch_view_of(self: &Rc<Self>, address: SocketAddr, views: mpsc::Sender<View>) {
        if self.fetching_view.replace(true) {
            return;
        }
        let instances = self.clone();
        actix_rt::spawn(async move {
            match link::request_view(&instances, address).await {
                Ok(view) => drop(views.send(view).await),
                Err(fault) => {
                    tracing::debug!(with = %address, %fault, "instances: cannot fetch the view of another instance")
                }
            }
            instances.fetching_view.set(false);
        });
    }

    /// Whether `instances.lists` is set.
    pub fn shares_lists(&self) -> bool {
        self.settings.lists
    }

    /// List sharing, if it is enabled.
    pub fn list_sharing(self: &Rc<Self>) -> Option<ListSharing> {
        Some(ListSharing { instances: self.clone(), shared: self.shared_lists.clone()? })
    }

    /// Whether `instances.shares` is set.
    pub fn shares_limits(&self) -> bool {
        self.settings.shares
    }

    /// Publishes a membership change, after the debounce time.
    fn members_changed(self: &Rc<Self>) {
        if self.update_pending.replace(true) {
            return;
        }
        let instances = self.clone();
        actix_rt::spawn(async move {
            sleep(MEMBERSHIP_DEBOUNCE).await;
            instances.update_pending.set(false);
            let members = instances.member_addresses();
            instances.members.send_replace(members.clone());
            if let Some(shared) = &instances.shared_lists {
                shared.handle(&instances, ListsInput::Members(members));
            }
        });
    }

    /// The addresses of the other live instances.
    fn member_addresses(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        swim.as_ref()
            .map_or(Vec::new(), |swim| swim.members().iter().map(|seen| seen.member.address).collect())
    }

    /// Seals the frames of a persistent link.
    fn link_sealer(&self) -> Option<FrameAuthenticator> {
        self.swim.borrow_mut().as_mut().map(Swim::link_authenticator)
    }

    /// Seals a message as a frame for a link.
    fn seal(&self, message: &LinkMessage) -> Vec<u8> {
        self.swim.borrow_mut().as_mut().map_or(Vec::new(), |swim| swim.seal(message, unix_time()))
    }

    /// Opens a frame from a link; `None` if it is invalid.
    fn open(&self, frame: &[u8]) -> Option<LinkMessage> {
        self.swim.borrow_mut().as_mut()?.open(frame, self.started_at.elapsed(), unix_time())
    }

    /// The membership view to send to another instance.
    fn membership_view(&self) -> Option<View> {
        self.swim.borrow().as_ref().map(Swim::view)
    }

    fn handle(&self, input: SwimInput) -> Vec<SwimOutput> {
        let now = self.started_at.elapsed();
        self.swim.borrow_mut().as_mut().map_or(Vec::new(), |swim| swim.handle(now, unix_time(), input))
    }

    async fn execute(
        self: &Rc<Self>,
        socket: &UdpSocket,
        views: &mpsc::Sender<View>,
        outputs: Vec<SwimOutput>,
    ) {
        if outputs.iter().any(|output| matches!(output, SwimOutput::Changed(_))) {
            self.members_changed();
        }
        for output in outputs {
            match output {
                // Send errors are ignored: the protocol tolerates lost datagrams.
                SwimOutput::Send { to, bytes } => drop(socket.send_to(&bytes, to).await),
                SwimOutput::FetchView(address) => self.fetch_view_of(address, views.clone()),
                SwimOutput::Changed(MembershipChange::Up(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: member is up");
                }
                SwimOutput::Changed(MembershipChange::Down(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: member is down");
                }
                SwimOutput::Changed(MembershipChange::Updated(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: member is up again (restarted or changed)");
                }
                SwimOutput::Changed(MembershipChange::Refuted(incarnation)) => {
                    tracing::warn!(
                        life = incarnation,
                        "instances: other members considered this one down; it has refuted that"
                    );
                }
            }
        }
    }

    /// Announces that this instance leaves, so that the others need not detect it.
    pub async fn leave(&self) {
        if self.swim.borrow().is_some() && !self.leaving.replace(true) {
            self.leave_requested.notify_one();
            // Gives the communication task time to send the announcement.
            let _ = timeout(Duration::from_millis(50), self.left.notified()).await;
        }
    }

    /// The membership view for the admin API.
    pub fn view(&self) -> Value {
        let swim = self.swim.borrow();
        let Some(swim) = &*swim else {
            return json!({"listening": false, "instances": []});
        };
        let member = |m: &Member| {
            json!({"name": m.name, "address": m.address.to_string(), "life": m.incarnation, "zone": m.zone, "region": m.region,
                "version": m.version, "capacity": m.capacity})
        };
        let others = swim.members().into_iter().map(|seen| {
            let mut other = member(&seen.member);
            other["state"] = if seen.suspected { "suspected" } else { "there" }.into();
            other
        });
        let counts = swim.counters();
        json!({
            "listening": true,
            "me": member(swim.me()),
            "instances": others.collect::<Vec<_>>(),
            "counts": {"sent": counts.sent, "sent_bytes": counts.sent_bytes, "taken": counts.accepted,
                "strange": counts.unauthenticated, "unfit": counts.malformed, "slept": counts.pauses},
            "counted": self.limit_divisor.get(),
            "list": self.shared_lists.as_ref().map(|shared| shared.view()),
        })
    }
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// Fetches the membership view of a running relay from its admin API.
pub async fn fetch_view(address: SocketAddr) -> Result<Value, String> {
    let body = admin_client::get(address, "/-/instances").await?;
    serde_json::from_slice(&body).map_err(|e| format!("cannot decode the response: {e}"))
}

/// Formats the view as a table.
pub fn format_view(view: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or(v.to_string(), str::to_owned);
    let others = view["instances"].as_array().map_or(&[][..], Vec::as_slice);
    let mut table =
        format!("{:<20} {:<22} {:<10} {:<10} {:<8} state\n", "name", "address", "zone", "region", "version");
    let mut row = |m: &Value, state: &str| {
        let [name, address, zone, region, version] =
            ["name", "address", "zone", "region", "version"].map(|key| text(&m[key]));
        table.push_str(&format!("{name:<20} {address:<22} {zone:<10} {region:<10} {version:<8} {state}\n"));
    };
    match view["me"].is_object() {
        true => row(&view["me"], "asked"),
        false => return "the relay does not listen for other instances yet\n".to_owned(),
    }
    others.iter().for_each(|m| row(m, &text(&m["state"])));
    table
}
