//! Discovery's stand-in, in the platform's protocol: the whole list, watches, notices, lateness and outages.
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

/// Longest that a watch may wait.
const LONGEST_WAIT: u64 = 60_000;

/// A call that discovery got, and what became of it.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct ListCall {
    /// Whose listener it came to.
    pub who: usize,
    pub at: At,
    pub kind: CallKind,
    /// When its turn was over.
    pub done: At,
    #[serde(rename = "fate")]
    pub outcome: ListCallOutcome,
}

/// What was asked for. Watches that go on are no calls.
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
    /// It had waited too long.
    Thrown,
    /// Discovery was down.
    Down,
}

/// An answer with a list or its changes, as it was written.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct ListAnswer {
    /// Whose listener it went out from.
    pub who: usize,
    /// How far it counted.
    pub generation: u64,
    pub at: At,
}

/// Who calls: a listener of its own tells, else a connection of its own.
#[derive(Clone)]
struct Caller {
    who: usize,
    /// When it was last answered: its watch goes on from there.
    last: Rc<Cell<Option<At>>>,
    /// The port at which lists name endpoints to this caller, if not their own.
    port: Option<u16>,
}

/// A whole list's text: its generation, the port that it names endpoints at, and the text.
type Written = (u64, Option<u16>, Rc<Vec<u8>>);

/// What discovery says.
pub struct Discovery {
    pub address: SocketAddr,
    world: Rc<RefCell<World>>,
    emulator: Rc<Emulator>,
    start: Instant,
    /// When the experiment began, by the wall clock.
    begun: SystemTime,
    generation: watch::Sender<u64>,
    /// Entries as they were told, and at which generation.
    changes: RefCell<Vec<(u64, Entry)>>,
    /// ... and when.
    pub published: RefCell<Vec<(u64, At)>>,
    /// Generations at which the whole list was told again.
    whole: Cell<u64>,
    text: RefCell<Option<Written>>,
    down: RefCell<Vec<(f64, f64)>>,
    /// Of so many calls one is taken; 0 or 1 is all.
    one_in: Cell<u32>,
    /// Callers to whom it tells a false generation.
    lied_to: RefCell<HashSet<usize>>,
    /// When it lost its memory, and how far it had counted.
    pub state_losses: RefCell<Vec<(At, u64)>>,
    costs: Costs,
    service: RefCell<Service>,
    /// All calls, in the order in which they came.
    pub calls: RefCell<Vec<ListCall>>,
    /// All answers with a list, those of watches that go on among them.
    pub answers: RefCell<Vec<ListAnswer>>,
    /// Weights are told times this.
    scale: Cell<f64>,
    /// Texts are written one after another.
    writing: Mutex<()>,
    /// Whole lists that were asked for or told.
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
            begun: SystemTime::now() - start.elapsed(),
            generation: watch::Sender::new(1),
            changes: RefCell::default(),
            published: RefCell::default(),
            whole: Cell::new(1),
            text: RefCell::default(),
            down: RefCell::new(down),
            one_in: Cell::new(0),
            lied_to: RefCell::default(),
            state_losses: RefCell::default(),
            costs,
            service: RefCell::default(),
            calls: RefCell::default(),
            answers: RefCell::default(),
            scale: Cell::new(1.0),
            writing: Mutex::new(()),
            lists: Cell::new(0),
        });
        spawn_local(discovery.clone().accept(listener, || Caller {
            who: 0,
            last: Rc::default(),
            port: None,
        }));
        Ok(discovery)
    }

    /// A listener of a caller's own, whose lists name all endpoints at one port, if one is given.
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

    /// When its clock began.
    pub fn clock_start(&self) -> Instant {
        self.start
    }

    /// The whole list as it stands, for a caller that held it before; no call.
    pub async fn current_list(&self, port: Option<u16>) -> Vec<u8> {
        self.whole_list(port).await.to_vec()
    }

    /// It is down from now on for so long.
    pub fn start_outage(&self, time: Duration) {
        let now = self.start.elapsed().as_secs_f64();
        self.down.borrow_mut().push((now, now + time.as_secs_f64()));
    }

    /// The spans in which it is down, in seconds.
    pub fn outages(&self) -> Vec<(f64, f64)> {
        self.down.borrow().clone()
    }

    /// Takes one of so many calls from now on, and turns the others away; 0 or 1 takes all.
    pub fn accept_one_in(&self, calls: u32) {
        self.one_in.set(calls);
    }

    /// Loses its memory: the list is what it is, and is counted anew from 1.
    pub fn lose_state(&self) {
        self.generation.send_modify(|g| {
            self.state_losses.borrow_mut().push((self.start.elapsed(), *g));
            *g = 1;
        });
        // What was told stays told, as of the beginning.
        self.changes.borrow_mut().iter_mut().for_each(|(g, _)| *g = 1);
        self.published.borrow_mut().clear();
        self.whole.set(1);
        *self.text.borrow_mut() = None;
    }

    /// Tells callers a generation that it never had, or no longer does.
    pub fn set_false_generation(&self, who: &[usize], lies: bool) {
        let mut lied_to = self.lied_to.borrow_mut();
        if lies {
            lied_to.extend(who);
        } else {
            lied_to.retain(|one| !who.contains(one));
        }
    }

    /// The time that the service gave to calls it answered, and to those it threw away.
    pub fn service_time(&self) -> (Duration, Duration) {
        let service = self.service.borrow();
        (service.answering, service.throwing)
    }

    /// Tells a change from now on.
    pub fn publish(&self, entry: Entry) {
        let now = self.start.elapsed();
        let draining = (entry.state == State::Draining).then_some(now);
        if entry.state != State::Gone {
            self.world.borrow_mut().checker.drain(entry.endpoint, draining);
        }
        self.generation.send_modify(|g| {
            *g += 1;
            self.changes.borrow_mut().push((*g, entry));
            self.published.borrow_mut().push((*g, now));
        });
    }

    /// Tells the whole list once more.
    pub fn publish_all(&self) {
        self.generation.send_modify(|g| {
            *g += 1;
            self.whole.set(*g);
            self.published.borrow_mut().push((*g, self.start.elapsed()));
        });
    }

    /// The same with other weights, so that every entry has changed.
    pub fn publish_all_reweighted(&self) {
        self.scale.set(self.scale.get() * 1.01);
        self.publish_all();
    }

    fn is_down(&self) -> bool {
        let now = self.start.elapsed().as_secs_f64();
        self.down.borrow().iter().any(|(from, to)| now >= *from && now < *to)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, caller: Caller) {
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new(stream);
        while let Ok(Some(got)) = reader.next().await {
            // Nothing is written to who has gone meanwhile; what the call cost the service stays spent.
            let (status, body) = tokio::select! {
                answer = self.answer(&got, &caller) => answer,
                () = reader.closed() => return,
            };
            if reader.answer(status, &[], &body).await.is_err() {
                return;
            }
            if got.path != "/reports" {
                if status == 200 {
                    let (who, generation) = (caller.who, *self.generation.borrow());
                    let at = self.start.elapsed();
                    self.answers.borrow_mut().push(ListAnswer { who, generation, at });
                }
                caller.last.set((status == 200).then(|| self.start.elapsed()));
            }
        }
    }

    /// Waits for a call's turn; false if nothing is to come of it.
    async fn turn(&self, caller: &Caller, kind: CallKind) -> bool {
        let at = self.start.elapsed();
        let cost = match kind {
            CallKind::Whole => self.costs.whole_ms,
            CallKind::Watch => self.costs.watch_ms,
        };
        let few = self.one_in.get();
        let turned_away = few > 1 && !(self.calls.borrow().len() as u32).is_multiple_of(few);
        let down = self.is_down() || turned_away;
        let turn = (!down)
            .then(|| self.service.borrow_mut().call(&self.costs, at, Duration::from_secs_f64(cost / 1000.0)));
        let outcome = match turn {
            None => ListCallOutcome::Down,
            Some(turn) if turn.thrown => ListCallOutcome::Thrown,
            Some(_) => ListCallOutcome::Answered,
        };
        let done = turn.map_or(at, |turn| turn.done);
        self.calls.borrow_mut().push(ListCall { who: caller.who, at, kind, done, outcome });
        if done > at {
            tokio::time::sleep_until((self.start + done).into()).await;
        }
        outcome == ListCallOutcome::Answered
    }

    async fn answer(&self, got: &ReceivedRequest, caller: &Caller) -> (u16, Rc<Vec<u8>>) {
        let nothing = Rc::new(Vec::new());
        if got.method == "POST" && got.path == "/reports" {
            let read = self.world.borrow_mut().report(&got.body, self.start.elapsed());
            return (if read { 204 } else { 400 }, nothing);
        }
        let Some(query) = got.path.strip_prefix("/v1/endpoints") else { return (404, nothing) };
        let value = |name: &str| -> Option<u64> {
            let pairs = query.trim_start_matches('?').split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse().ok())
        };
        let Some(index) = value("index") else {
            if !self.turn(caller, CallKind::Whole).await {
                return (503, nothing);
            }
            let _writing = self.writing.lock().await;
            let text = self.whole_list(caller.port).await;
            let lied = self.lied_to.borrow().contains(&caller.who).then(|| falsified(&text));
            return (200, lied.map_or(text, Rc::new));
        };
        let renewed = caller
            .last
            .get()
            .is_some_and(|at| self.start.elapsed() <= at + Duration::from_millis(self.costs.renew_ms));
        let goes_on = if renewed { !self.is_down() } else { self.turn(caller, CallKind::Watch).await };
        if !goes_on {
            return (503, nothing);
        }
        let wait = Duration::from_millis(value("wait").unwrap_or(0).min(LONGEST_WAIT));
        let mut generation = self.generation.subscribe();
        let newer = async { generation.wait_for(|g| *g > index).await.is_ok() };
        let ended = async {
            while !self.is_down() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            _ = timeout(wait, newer) => {}
            () = ended => return (503, nothing),
        }
        let _writing = self.writing.lock().await;
        let whole = self.whole.get() > index;
        let port = caller.port;
        (200, if whole { self.whole_list(port).await } else { self.changes_since(index, port) })
    }

    /// The whole list's text, written out by parts: those who hand messages in share the thread.
    async fn whole_list(&self, port: Option<u16>) -> Rc<Vec<u8>> {
        self.lists.set(self.lists.get() + 1);
        let generation = *self.generation.borrow();
        if let Some((.., text)) =
            self.text.borrow().as_ref().filter(|(g, p, _)| (*g, *p) == (generation, port))
        {
            return text.clone();
        }
        // As it was told, which may be older than it is.
        let told: std::collections::HashMap<u32, Entry> =
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
                let entry = told.get(&endpoint).cloned().unwrap_or(first);
                if entry.state != State::Gone {
                    text.push_str(if text.len() > head { "," } else { "" });
                    text.push_str(&self.line(&entry, port));
                }
            }
        }
        text.push_str("]}");
        let text = Rc::new(text.into_bytes());
        *self.text.borrow_mut() = Some((generation, port, text.clone()));
        text
    }

    fn changes_since(&self, index: u64, port: Option<u16>) -> Rc<Vec<u8>> {
        let generation = *self.generation.borrow();
        let changes = self.changes.borrow();
        let lines: Vec<_> =
            changes.iter().filter(|(g, _)| *g > index).map(|(_, e)| self.line(e, port)).collect();
        Rc::new(
            format!(r#"{{"generation":{generation},"reset":false,"instances":[{}]}}"#, lines.join(","))
                .into_bytes(),
        )
    }

    fn line(&self, entry: &Entry, port: Option<u16>) -> String {
        let mut address = self.emulator.address(entry.endpoint, entry.moved);
        address.set_port(port.unwrap_or(address.port()));
        let state = match entry.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Gone => "DELETED",
        };
        let started =
            entry.started.and_then(|at| (self.begun + at).duration_since(SystemTime::UNIX_EPOCH).ok());
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m","cell":{},"lifecycle":"{state}","weight":{},"startedAtMs":{}}}"#,
            entry.name(),
            address,
            entry.dest,
            entry.weight.unwrap_or(1.0) * self.scale.get(),
            started.map_or(0, |at| at.as_millis()),
        )
    }
}

/// How far a false generation is counted.
pub const FALSE_GENERATION: u64 = u64::MAX / 2;

/// A whole list under a generation that never was.
fn falsified(text: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(text);
    let rest = text.split_once(',').map_or("", |(_, rest)| rest);
    format!(r#"{{"generation":{FALSE_GENERATION},{rest}"#).into_bytes()
}
