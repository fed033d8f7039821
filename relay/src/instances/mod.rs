//! The other instances: the sockets (datagrams here, links in [`link`], lists on them in [`lists`]) round [`onyxglade_instances`],
//! and what those who run the relay see of the view. Decides
//! nothing. Without `[instances]` in the relay's own file there is no socket and nothing here runs.
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
use lists::Shared;
pub use lists::{Sharing, Told, take};
pub use shares::divide;

/// Largest datagram that is read; a longer one is none of ours.
const LARGEST: usize = 2048;
/// How often it is tried to listen, where the process before still does or the network is not there yet.
const LISTEN_AGAIN: Duration = Duration::from_millis(200);
/// Others that come and go together, as in a start, are told together.
const TOGETHER: Duration = Duration::from_millis(100);
/// The others, as this instance sees them.
pub struct Instances {
    told: config::Instances,
    begun: Instant,
    swim: RefCell<Option<Swim>>,
    /// Another's view is being asked for.
    comparing: Cell<bool>,
    leaving: Cell<bool>,
    left: Notify,
    leave: Notify,
    /// Where the others are that are there, and whether it is about to be told that this has changed.
    members: watch::Sender<Vec<SocketAddr>>,
    telling: Cell<bool>,
    /// How many limits are divided by, where they are divided among those that are there.
    counted: Cell<Option<u32>>,
    /// Lists pass between instances.
    shared: Option<Rc<Shared>>,
}

impl Instances {
    /// Talks to the others from now on. The relay does not wait for it.
    pub fn start(told: config::Instances, name: Option<String>, lists: Option<Told>) -> Rc<Self> {
        let begun = Instant::now();
        let instances = Rc::new(Instances {
            told,
            begun,
            members: watch::Sender::default(),
            telling: Cell::new(false),
            counted: Cell::default(),
            shared: lists.map(|told| Shared::new(told, begun)),
            swim: RefCell::default(),
            comparing: Cell::new(false),
            leaving: Cell::new(false),
            left: Notify::new(),
            leave: Notify::new(),
        });
        actix_rt::spawn(instances.clone().run(name));
        instances
    }

    /// Both sockets, or neither: the process before may still have them.
    async fn listen(&self) -> (UdpSocket, TcpListener) {
        let mut told = false;
        loop {
            let both = async {
                let socket = UdpSocket::bind(self.told.listen).await?;
                // The port that the system gave, where none was told.
                let listener = TcpListener::bind(socket.local_addr()?).await?;
                Ok::<_, io::Error>((socket, listener))
            };
            match both.await {
                Ok(both) => return both,
                Err(fault) => {
                    if !std::mem::replace(&mut told, true) {
                        let listen = self.told.listen;
                        tracing::warn!(%fault, %listen, "instances: cannot listen yet; trying on");
                    }
                    sleep(LISTEN_AGAIN).await;
                }
            }
        }
    }

    async fn run(self: Rc<Self>, name: Option<String>) {
        let (socket, listener) = self.listen().await;
        let told = &self.told;
        let address = told.advertise.or(socket.local_addr().ok()).unwrap_or(told.listen);
        let unix = unix();
        let me = Member {
            incarnation: unix.as_millis() as u64,
            name: told.name.clone().or(name).unwrap_or_else(|| address.to_string()),
            zone: told.zone.clone(),
            region: told.region.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            capacity: told.capacity,
            ..Member::with_address(address)
        };
        tracing::info!(name = me.name, listen = %address, seeds = told.seeds.len(), "instances: listening");
        let config = SwimConfig { seeds: told.seeds.clone(), size: told.expected };
        // Another for each process, also for those that start in the same moment.
        let seed =
            (unix.as_nanos() as u64) ^ (u64::from(std::process::id()) << 32) ^ u64::from(address.port());
        *self.swim.borrow_mut() = Some(Swim::new(me, config, told.key.clone(), seed, self.begun.elapsed()));
        if let Some(shared) = &self.shared {
            shared.begin(&self, address, seed.rotate_left(17));
        }
        self.members_changed();
        let (views, mut viewed) = mpsc::channel(1);
        let links = actix_rt::spawn(link::accept(self.clone(), listener));
        let mut buffer = [0; LARGEST];
        let mut leaving = std::pin::pin!(self.leave.notified());
        loop {
            let due = self.swim.borrow().as_ref().and_then(Swim::due);
            let due = self.begun + due.unwrap_or(Duration::from_secs(3600));
            let outputs = tokio::select! {
                biased;
                () = &mut leaving => {
                    let outputs = self.handle(SwimInput::Leave);
                    self.carry_out(&socket, &views, outputs).await;
                    links.abort();
                    return self.left.notify_one();
                }
                Some(view) = viewed.recv() => self.handle(SwimInput::View(&view)),
                // What has come is heard before it is judged what has not.
                got = socket.recv_from(&mut buffer) => match got {
                    Ok((length, _)) => self.handle(SwimInput::Datagram(&buffer[..length])),
                    // A datagram of ours met nobody, as the system tells; that nobody answers shows by itself.
                    Err(_) => Vec::new(),
                },
                () = sleep_until(due.into()) => self.handle(SwimInput::TimerDue),
            };
            self.carry_out(&socket, &views, outputs).await;
        }
    }

    /// Asks another for its view, unless one is being asked already.
    fn compare(self: &Rc<Self>, with: SocketAddr, views: mpsc::Sender<View>) {
        if self.comparing.replace(true) {
            return;
        }
        let instances = self.clone();
        actix_rt::spawn(async move {
            match link::ask(&instances, with).await {
                Ok(view) => drop(views.send(view).await),
                Err(fault) => tracing::debug!(%with, %fault, "instances: another's view cannot be had"),
            }
            instances.comparing.set(false);
        });
    }

    /// Whether its file says that lists pass between instances.
    pub fn wants_lists(&self) -> bool {
        self.told.lists
    }

    /// How lists are had, where they pass between instances.
    pub fn sharing(self: &Rc<Self>) -> Option<Sharing> {
        Some(Sharing { instances: self.clone(), shared: self.shared.clone()? })
    }

    /// Whether its file says that limits are divided among those that are there.
    pub fn wants_shares(&self) -> bool {
        self.told.shares
    }

    /// Others have come or gone.
    fn members_changed(self: &Rc<Self>) {
        if self.telling.replace(true) {
            return;
        }
        let instances = self.clone();
        actix_rt::spawn(async move {
            sleep(TOGETHER).await;
            instances.telling.set(false);
            let members = instances.addresses();
            instances.members.send_replace(members.clone());
            if let Some(shared) = &instances.shared {
                shared.handle(&instances, ListsInput::Members(members));
            }
        });
    }

    /// Where the others are that are there.
    fn addresses(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        swim.as_ref()
            .map_or(Vec::new(), |swim| swim.members().iter().map(|seen| seen.member.address).collect())
    }

    /// Frames of a link that stands.
    fn sealed(&self) -> Option<FrameAuthenticator> {
        self.swim.borrow_mut().as_mut().map(Swim::link_authenticator)
    }

    /// A frame for a link.
    fn seal(&self, word: &LinkMessage) -> Vec<u8> {
        self.swim.borrow_mut().as_mut().map_or(Vec::new(), |swim| swim.seal(word, unix()))
    }

    /// What a frame from a link says.
    fn open(&self, frame: &[u8]) -> Option<LinkMessage> {
        self.swim.borrow_mut().as_mut()?.open(frame, self.begun.elapsed(), unix())
    }

    /// All that is known of members.
    fn known(&self) -> Option<View> {
        self.swim.borrow().as_ref().map(Swim::view)
    }

    fn handle(&self, input: SwimInput) -> Vec<SwimOutput> {
        let now = self.begun.elapsed();
        self.swim.borrow_mut().as_mut().map_or(Vec::new(), |swim| swim.handle(now, unix(), input))
    }

    async fn carry_out(
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
                // Datagrams may be lost anyway: what the system refuses is not sent again.
                SwimOutput::Send { to, bytes } => drop(socket.send_to(&bytes, to).await),
                SwimOutput::FetchView(with) => self.compare(with, views.clone()),
                SwimOutput::Changed(MembershipChange::Up(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: one is there");
                }
                SwimOutput::Changed(MembershipChange::Down(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: one is gone");
                }
                SwimOutput::Changed(MembershipChange::Updated(m)) => {
                    tracing::info!(name = m.name, address = %m.address, zone = m.zone, "instances: one is there anew");
                }
                SwimOutput::Changed(MembershipChange::Refuted(life)) => {
                    tracing::warn!(
                        life,
                        "instances: others took this one for gone; it says that it is there"
                    );
                }
            }
        }
    }

    /// Tells the others that this instance goes, so that nobody has to find out.
    pub async fn leave(&self) {
        if self.swim.borrow().is_some() && !self.leaving.replace(true) {
            self.leave.notify_one();
            // One turn of the task that talks to them.
            let _ = timeout(Duration::from_millis(50), self.left.notified()).await;
        }
    }

    /// The view, for those who run the relay.
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
            "counted": self.counted.get(),
            "list": self.shared.as_ref().map(|shared| shared.view()),
        })
    }
}

fn unix() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// Asks a running relay for its view.
pub async fn ask(address: SocketAddr) -> Result<Value, String> {
    let body = admin_client::get(address, "/-/instances").await?;
    serde_json::from_slice(&body).map_err(|e| format!("its answer cannot be read: {e}"))
}

/// The view as a table.
pub fn table(view: &Value) -> String {
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
        false => return "it does not listen yet\n".to_owned(),
    }
    others.iter().for_each(|m| row(m, &text(&m["state"])));
    table
}
