//! Emulated discovery service. It speaks the platform's protocol, with full lists, watches and notices, and
//! can be late or unavailable.
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::emulator::{Emulator, ReceivedRequest, RequestReader};
use crate::model::At;
use crate::service::{Costs, Service};
use crate::world::{Entry, State, World};

/// Longest time that a watch may wait, in milliseconds.
const LONGEST_WAIT: u64 = 60_000;

/// A call received by discovery, and its outcome.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct ListCall {
    /// Number of the listener that accepted the call.
    pub who: usize,
    pub at: At,
    pub kind: CallKind,
    /// When processing of the call ended.
    pub done: At,
    #[serde(rename = "fate")]
    pub outcome: ListCallOutcome,
}

/// Kind of a call. A watch that continues an earlier one is not recorded as a call.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    Whole,
    Watch,
}

#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ListCallOutcome {
    Answered,
    /// Discarded because it had been queued too long.
    Thrown,
    /// Rejected because discovery was unavailable.
    Down,
}

/// An answer that was sent with a full list or with changes.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct ListAnswer {
    /// Number of the listener that sent the answer.
    pub who: usize,
    /// Generation of the list in the answer.
    pub generation: u64,
    pub at: At,
}

/// Identity of a caller: the listener's number, if the caller has its own listener. State is kept per caller
/// if it has its own listener, per connection otherwise.
#[derive(Clone)]
struct Caller {
    who: usize,
    /// Time of the last successful answer, from which a watch may continue.
    last: Rc<Cell<Option<At>>>,
    /// Port of all endpoints in lists for this caller; their own ports if absent.
    port: Option<u16>,
}

/// A serialized full list: its generation, the port of its endpoints, and the text.
type CachedList = (u64, Option<u16>, Rc<Vec<u8>>);

/// The emulated discovery service.
pub struct Discovery {
    pub address: SocketAddr,
    world: Rc<RefCell<World>>,
    emulator: Rc<Emulator>,
    start: Instant,
    /// Wall-clock time at which the experiment started.
    wall_clock_start: SystemTime,
    generation: watch::Sender<u64>,
    /// Published entries with the generation of each.
    changes: RefCell<Vec<(u64, Entry)>>,
    /// Published generations with the time of each.
    pub published: RefCell<Vec<(u64, At)>>,
    /// Last generation at which the full list was published.
    last_full_generation: Cell<u64>,
    cached_list: RefCell<Option<CachedList>>,
    down: RefCell<Vec<(f64, f64)>>,
    /// Accepts one in this many calls; 0 or 1 accepts all.
    one_in: Cell<u32>,
    /// Callers that receive lists with a false generation.
    false_generation_callers: RefCell<HashSet<usize>>,
    /// Times at which the state was lost, with the generation reached by then.
    pub state_losses: RefCell<Vec<(At, u64)>>,
    costs: Costs,
    service: RefCell<Service>,
    /// All calls, in the order of their arrival.
    pub calls: RefCell<Vec<ListCall>>,
    /// All answers with a list, including those to continued watches.
    pub answers: RefCell<Vec<ListAnswer>>,
    /// Factor applied to the weights in lists.
    weight_scale: Cell<f64>,
    /// Lists are serialized one at a time.
    writing_lock: Mutex<()>,
    /// Number of full lists that were served.
    pub lists: Cell<u32>,
}

impl Discovery {
    pub async fn start(
        world: Rc<RefCell<World>>,
        emulator: Rc<Emulator>,
        start: Instant,
        down: Vec<(f64, f64)>,
        costs: Costs,
    ) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let discovery = Rc::new(Discovery {
            address: listener.local_addr()?,
            world,
            emulator,
            start,
            wall_clock_start: SystemTime::now() - start.elapsed(),
            generation: watch::Sender::new(1),
            changes: RefCell::default(),
            published: RefCell::default(),
            last_full_generation: Cell::new(1),
            cached_list: RefCell::default(),
            down: RefCell::new(down),
            one_in: Cell::new(0),
            false_generation_callers: RefCell::default(),
            state_losses: RefCell::default(),
            costs,
            service: RefCell::default(),
            calls: RefCell::default(),
            answers: RefCell::default(),
            weight_scale: Cell::new(1.0),
            writing_lock: Mutex::new(()),
            lists: Cell::new(0),
        });
        spawn_local(discovery.clone().accept(listener, || Caller {
            who: 0,
            last: Rc::default(),
            port: None,
        }));
        Ok(discovery)
    }

    /// Opens a listener for one caller. If a port is given, its lists contain all endpoints at this port.
    pub async fn listen(self: &Rc<Self>, who: usize, port: Option<u16>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let caller = Caller { who, last: Rc::default(), port };
        spawn_local(self.clone().accept(listener, move || caller.clone()));
        Ok(address)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, caller: impl Fn() -> Caller) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream, caller()))),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Returns the start of the experiment's clock.
    pub fn clock_start(&self) -> Instant {
        self.start
    }

    /// Returns the current full list, for a caller that is to start with an earlier copy. This is not
    /// recorded as a call.
    pub async fn current_list(&self, port: Option<u16>) -> Vec<u8> {
        self.whole_list(port).await.to_vec()
    }

    /// Makes discovery unavailable from now on for the given time.
    pub fn start_outage(&self, time: Duration) {
        let now = self.start.elapsed().as_secs_f64();
        self.down.borrow_mut().push((now, now + time.as_secs_f64()));
    }

    /// Returns the outages as start and end, in seconds.
    pub fn outages(&self) -> Vec<(f64, f64)> {
        self.down.borrow().clone()
    }

    /// Accepts only one in `calls` calls from now on and rejects the others; 0 or 1 accepts all.
    pub fn accept_one_in(&self, calls: u32) {
        self.one_in.set(calls);
    }

    /// Simulates the loss of discovery's state: the list is unchanged, but its generations restart at 1.
    pub fn lose_state(&self) {
        self.generation.send_modify(|g| {
            self.state_losses.borrow_mut().push((self.start.elapsed(), *g));
            *g = 1;
        });
        // Earlier changes remain published, at the first generation.
        self.changes.borrow_mut().iter_mut().for_each(|(g, _)| *g = 1);
        self.published.borrow_mut().clear();
        self.last_full_generation.set(1);
        *self.cached_list.borrow_mut() = None;
    }

    /// Starts or stops sending the given callers full lists with a generation that does not exist.
    pub fn set_false_generation(&self, who: &[usize], enabled: bool) {
        let mut false_generation_callers = self.false_generation_callers.borrow_mut();
        if enabled {
            false_generation_callers.extend(who);
        } else {
            false_generation_callers.retain(|one| !who.contains(one));
        }
    }

    /// Returns the time that the service spent on answered calls and on discarded calls.
    pub fn service_time(&self) -> (Duration, Duration) {
        let service = self.service.borrow();
        (service.answering_time, service.discarding_time)
    }

    /// Publishes a change now.
    pub fn publish(&self, entry: Entry) {
        let now = self.start.elapsed();
        let draining = (entry.state == State::Draining).then_some(now);
        if entry.state != State::Removed {
            self.world.borrow_mut().checker.drain(entry.endpoint, draining);
        }
        self.generation.send_modify(|g| {
            *g += 1;
            self.changes.borrow_mut().push((*g, entry));
            self.published.borrow_mut().push((*g, now));
        });
    }

    /// Publishes the full list again.
    pub fn publish_all(&self) {
        self.generation.send_modify(|g| {
            *g += 1;
            self.last_full_generation.set(*g);
            self.published.borrow_mut().push((*g, self.start.elapsed()));
        });
    }

    /// Publishes the full list with other weights, so that every entry has changed.
    pub fn publish_all_reweighted(&self) {
        self.weight_scale.set(self.weight_scale.get() * 1.01);
        self.publish_all();
    }

    fn is_down(&self) -> bool {
        let now = self.start.elapsed().as_secs_f64();
        self.down.borrow().iter().any(|(from, to)| now >= *from && now < *to)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, caller: Caller) {
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new(stream);
        while let Ok(Some(request)) = reader.next().await {
            // No answer is sent if the caller disconnects, but the time the service spent on the call is not
            // refunded.
            let (status, body) = tokio::select! {
                answer = self.answer(&request, &caller) => answer,
                () = reader.closed() => return,
            };
            if reader.answer(status, &[], &body).await.is_err() {
                return;
            }
            if request.path != "/reports" {
                if status == 200 {
                    let (who, generation) = (caller.who, *self.generation.borrow());
                    let at = self.start.elapsed();
                    self.answers.borrow_mut().push(ListAnswer { who, generation, at });
                }
                caller.last.set((status == 200).then(|| self.start.elapsed()));
            }
        }
    }

    /// Queues a call and waits until it is processed. Returns false if it was rejected or discarded.
    async fn process_call(&self, caller: &Caller, kind: CallKind) -> bool {
        let at = self.start.elapsed();
        let cost = match kind {
            CallKind::Whole => self.costs.whole_ms,
            CallKind::Watch => self.costs.watch_ms,
        };
        let one_in = self.one_in.get();
        let turned_away = one_in > 1 && !(self.calls.borrow().len() as u32).is_multiple_of(one_in);
        let down = self.is_down() || turned_away;
        let completion = (!down)
            .then(|| self.service.borrow_mut().call(&self.costs, at, Duration::from_secs_f64(cost / 1000.0)));
        let outcome = match completion {
            None => ListCallOutcome::Down,
            Some(completion) if completion.discarded => ListCallOutcome::Thrown,
            Some(_) => ListCallOutcome::Answered,
        };
        let done = completion.map_or(at, |completion| completion.done);
        self.calls.borrow_mut().push(ListCall { who: caller.who, at, kind, done, outcome });
        if done > at {
            tokio::time::sleep_until((self.start + done).into()).await;
        }
        outcome == ListCallOutcome::Answered
    }

    async fn answer(&self, request: &ReceivedRequest, caller: &Caller) -> (u16, Rc<Vec<u8>>) {
        let nothing = Rc::new(Vec::new());
        if request.method == "POST" && request.path == "/reports" {
            let valid = self.world.borrow_mut().receive_notices(&request.body, self.start.elapsed());
            return (if valid { 204 } else { 400 }, nothing);
        }
        let Some(query) = request.path.strip_prefix("/v1/endpoints") else { return (404, nothing) };
        let value = |name: &str| -> Option<u64> {
            let pairs = query.trim_start_matches('?').split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse().ok())
        };
        let Some(index) = value("index") else {
            if !self.process_call(caller, CallKind::Whole).await {
                return (503, nothing);
            }
            let _writing = self.writing_lock.lock().await;
            let text = self.whole_list(caller.port).await;
            let falsified = self
                .false_generation_callers
                .borrow()
                .contains(&caller.who)
                .then(|| with_false_generation(&text));
            return (200, falsified.map_or(text, Rc::new));
        };
        let renewed = caller
            .last
            .get()
            .is_some_and(|at| self.start.elapsed() <= at + Duration::from_millis(self.costs.renew_ms));
        let accepted =
            if renewed { !self.is_down() } else { self.process_call(caller, CallKind::Watch).await };
        if !accepted {
            return (503, nothing);
        }
        let wait = Duration::from_millis(value("wait").unwrap_or(0).min(LONGEST_WAIT));
        let mut generation = self.generation.subscribe();
        let newer = async { generation.wait_for(|g| *g > index).await.is_ok() };
        let outage = async {
            while !self.is_down() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            _ = timeout(wait, newer) => {}
            () = outage => return (503, nothing),
        }
        let _writing = self.writing_lock.lock().await;
        let is_full = self.last_full_generation.get() > index;
        let port = caller.port;
        (200, if is_full { self.whole_list(port).await } else { self.changes_since(index, port) })
    }

    /// Serializes the full list. Yields regularly, because submitters run on the same thread.
    async fn whole_list(&self, port: Option<u16>) -> Rc<Vec<u8>> {
        self.lists.set(self.lists.get() + 1);
        let generation = *self.generation.borrow();
        if let Some((.., text)) =
            self.cached_list.borrow().as_ref().filter(|(g, p, _)| (*g, *p) == (generation, port))
        {
            return text.clone();
        }
        // The last published state, which may be older than the actual one.
        let published: std::collections::HashMap<u32, Entry> =
            self.changes.borrow().iter().map(|(_, e)| (e.endpoint, e.clone())).collect();
        let mut text = format!(r#"{{"generation":{generation},"reset":true,"instances":["#);
        let (head, dests) = (text.len(), self.world.borrow().dests);
        for dest in 0..dests {
            if dest % 200 == 0 {
                tokio::task::yield_now().await;
            }
            let endpoints = self.world.borrow().endpoints_of(dest);
            for endpoint in endpoints {
                let plain = self.world.borrow().entry(dest, endpoint);
                let first = Entry { generation: 0, moved: 0, started: None, ..plain };
                let entry = published.get(&endpoint).cloned().unwrap_or(first);
                if entry.state != State::Removed {
                    text.push_str(if text.len() > head { "," } else { "" });
                    text.push_str(&self.instance_json(&entry, port));
                }
            }
        }
        text.push_str("]}");
        let text = Rc::new(text.into_bytes());
        *self.cached_list.borrow_mut() = Some((generation, port, text.clone()));
        text
    }

    fn changes_since(&self, index: u64, port: Option<u16>) -> Rc<Vec<u8>> {
        let generation = *self.generation.borrow();
        let changes = self.changes.borrow();
        let lines: Vec<_> =
            changes.iter().filter(|(g, _)| *g > index).map(|(_, e)| self.instance_json(e, port)).collect();
        Rc::new(
            format!(r#"{{"generation":{generation},"reset":false,"instances":[{}]}}"#, lines.join(","))
                .into_bytes(),
        )
    }

    fn instance_json(&self, entry: &Entry, port: Option<u16>) -> String {
        let mut address = self.emulator.address(entry.endpoint, entry.moved);
        address.set_port(port.unwrap_or(address.port()));
        let state = match entry.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Removed => "DELETED",
        };
        let started = entry
            .started
            .and_then(|at| (self.wall_clock_start + at).duration_since(SystemTime::UNIX_EPOCH).ok());
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m","cell":{},"lifecycle":"{state}","weight":{},"startedAtMs":{}}}"#,
            entry.name(),
            address,
            entry.dest,
            entry.weight.unwrap_or(1.0) * self.weight_scale.get(),
            started.map_or(0, |at| at.as_millis()),
        )
    }
}

/// The false generation.
pub const FALSE_GENERATION: u64 = u64::MAX / 2;

/// Replaces the generation of a full list with the false one.
fn with_false_generation(text: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(text);
    let rest = text.split_once(',').map_or("", |(_, rest)| rest);
    format!(r#"{{"generation":{FALSE_GENERATION},{rest}"#).into_bytes()
}
