//! Soak runs: schedules drawn entirely from a seed. A few relays receive series of signals while partners, the list service, system
//! calls, the disk and the wall clock fail; some runs have idle clients. Clients keep using open connections until a process is
//! killed, which happens as early as the platform may do it.
use onyxglade_lab::experiment::Event as Partner;
use onyxglade_lab::model::Trouble;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::hard_clients::{HardClientKind, HardClients};
use crate::idle_clients::IdleClients;
use crate::schedule::{Fault, FaultKind, LinkTo, Schedule};
use crate::system_faults::{Call, Failure};

/// The schedule that all runs begin with; drawn values replace some of its own.
const BASE: &str = include_str!("../soak.toml");

/// Earliest time of a signal, in seconds, by which all relays serve.
const FIRST_SIGNAL: f64 = 2.0;
/// Maximum duration of a system call fault, in seconds.
const LONGEST_FAULT: f64 = 2.0;
/// Time from SIGKILL to the next start, in seconds.
const RESTART_DELAY: f64 = 0.6;
/// How long before a second start its relay's last process has been told to end, by SIGTERM or at once, and for how long it runs on
/// after it: the second process waits a second for the folder, and longer while the folder fails.
const QUIET_AFTER_TERM: f64 = 5.0;
const QUIET_AFTER_KILL: f64 = 2.0;
const QUIET_AFTER_SECOND_START: f64 = 3.5;
/// How many times are tried for the second start of a relay.
const SECOND_START_DRAWS: usize = 4;
/// One run in this many has a script that loops.
const LOOPING_SCRIPT_ONE_IN: u32 = 4;
/// One run in this many has hard clients at one relay.
const HARD_CLIENTS_ONE_IN: u32 = 3;
/// The least memory that relays have on the platform, with the descriptors and disk that they have then.
const LEAST_MEMORY_MB: f64 = 32.0;
const SOCKETS_WITH_LEAST_MEMORY: usize = 1024;
const DISK_MB_WITH_LEAST_MEMORY: f64 = 3.0;
/// One run in this many has idle clients.
const IDLE_CLIENTS_ONE_IN: u32 = 4;

const DISK: [(Call, Failure, bool); 6] = [
    (Call::Write, Failure::Enospc, false),
    (Call::Write, Failure::Eio, false),
    (Call::Write, Failure::Enospc, true),
    (Call::Open, Failure::Eio, false),
    (Call::Rename, Failure::Eio, false),
    (Call::Truncate, Failure::Eio, false),
];

const SOCKETS: [(Call, Failure); 6] = [
    (Call::Accept, Failure::Econnaborted),
    (Call::Accept, Failure::Enfile),
    (Call::Socket, Failure::Enobufs),
    (Call::Connect, Failure::Eaddrnotavail),
    (Call::Connect, Failure::Enetunreach),
    (Call::Wait, Failure::Eintr),
];

const TROUBLES: [Trouble; 5] =
    [Trouble::Hang, Trouble::Fail, Trouble::Slow, Trouble::Shut, Trouble::LoseAnswers];

/// The schedule of a seed, always the same.
pub fn schedule(seed: u64) -> Schedule {
    let mut random = StdRng::seed_from_u64(seed);
    let mut schedule = Schedule::parse(BASE).expect("the base schedule is valid");
    schedule.name = format!("soak-{seed}");
    schedule.seed = seed;
    schedule.relay.count = random.random_range(3..=5);
    if random.random_ratio(1, IDLE_CLIENTS_ONE_IN) {
        schedule.idle_clients = IdleClients { connections: random.random_range(150..300), pause_ms: 20 };
    }
    let mut drawing =
        Drawing { random, seconds: schedule.seconds, relays: schedule.relay.count, faults: Vec::new() };
    drawing.signals();
    drawing.partners();
    drawing.list_service();
    drawing.disk();
    drawing.sockets();
    drawing.clock();
    drawing.repeated_answers();
    drawing.second_starts();
    schedule.looping_script = drawing.looping_script();
    schedule.hard_clients = drawing.hard_clients();
    if schedule.hard_clients.is_some() {
        schedule.relay.memory_mb = LEAST_MEMORY_MB;
        schedule.relay.sockets = SOCKETS_WITH_LEAST_MEMORY;
        schedule.relay.disk_mb = DISK_MB_WITH_LEAST_MEMORY;
    }
    schedule.faults = drawing.faults;
    schedule.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    schedule.check().expect("drawn faults are valid");
    schedule
}

struct Drawing {
    random: StdRng,
    seconds: f64,
    relays: usize,
    faults: Vec<Fault>,
}

impl Drawing {
    /// A time in tenths of a second, which keeps schedules readable.
    fn tenths(&mut self, from: f64, to: f64) -> f64 {
        (self.random.random_range(from..to) * 10.0).round() / 10.0
    }

    fn one_relay(&mut self) -> String {
        format!("r{}", self.random.random_range(0..self.relays))
    }

    /// Draws a series of signals for each relay: SIGTERM, SIGKILL, SIGSTOP and SIGHUP, over and over.
    fn signals(&mut self) {
        for relay in 0..self.relays {
            let mut at = self.tenths(FIRST_SIGNAL, FIRST_SIGNAL + 4.0);
            while at < self.seconds - 6.0 {
                let (kind, duration) = match self.random.random_range(0..10) {
                    0..=3 => (FaultKind::Term, 3.7 + RESTART_DELAY),
                    4..=6 => (FaultKind::Kill, RESTART_DELAY),
                    7 => (FaultKind::Stop, 0.1),
                    _ => (FaultKind::Hup, 0.0),
                };
                let ends_process = kind.ends_process();
                let for_s =
                    ends_process.then_some(RESTART_DELAY).or((kind == FaultKind::Stop).then_some(duration));
                self.faults.push(Fault { relays: format!("r{relay}"), for_s, ..Fault::new(at, kind) });
                at = (at + duration + self.random.random_range(0.2..5.0)) * 10.0;
                at = at.round() / 10.0;
            }
        }
    }

    fn partners(&mut self) {
        for dest in 0..3 {
            let trouble = TROUBLES[self.random.random_range(0..TROUBLES.len())];
            let at = self.tenths(FIRST_SIGNAL, self.seconds - 8.0);
            let for_s = Some(self.tenths(1.0, 6.0));
            let (dest, trouble) = (Some(dest), Some(Partner::Trouble(trouble)));
            self.faults.push(Fault { for_s, dest, trouble, ..Fault::new(at, FaultKind::Partner) });
        }
    }

    fn list_service(&mut self) {
        let at = self.tenths(FIRST_SIGNAL, self.seconds - 8.0);
        let for_s = Some(self.tenths(0.5, 4.0));
        self.faults.push(Fault { for_s, ..Fault::new(at, FaultKind::ListDown) });
    }

    fn disk(&mut self) {
        for _ in 0..self.random.random_range(2..6) {
            let (call, failure, half) = DISK[self.random.random_range(0..DISK.len())];
            let one_in = if half { 0 } else { [1, 1, 2, 5][self.random.random_range(0..4)] };
            let at = self.tenths(0.0, self.seconds - 6.0);
            let for_s = Some(self.tenths(0.1, LONGEST_FAULT));
            let relays = self.one_relay();
            let (call, failure) = (Some(call), Some(failure));
            self.faults.push(Fault {
                relays,
                for_s,
                call,
                failure,
                half,
                one_in,
                ..Fault::new(at, FaultKind::Call)
            });
        }
        if self.random.random_bool(0.5) {
            let at = self.tenths(FIRST_SIGNAL, self.seconds - 8.0);
            let after_bytes = self.random.random_range(0..600);
            let relays = self.one_relay();
            self.faults.push(Fault {
                relays,
                for_s: Some(1.0),
                after_bytes,
                ..Fault::new(at, FaultKind::TornWrite)
            });
        }
    }

    fn sockets(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            let (call, failure) = SOCKETS[self.random.random_range(0..SOCKETS.len())];
            let one_in = [1, 2, 3][self.random.random_range(0..3)];
            // If every wait failed at once, the process would never wait.
            let one_in = if call == Call::Wait { one_in + 1 } else { one_in };
            let at = self.tenths(FIRST_SIGNAL, self.seconds - 6.0);
            let for_s = Some(self.tenths(0.1, LONGEST_FAULT));
            let relays = self.one_relay();
            let (call, failure) = (Some(call), Some(failure));
            self.faults.push(Fault {
                relays,
                for_s,
                call,
                failure,
                one_in,
                ..Fault::new(at, FaultKind::Call)
            });
        }
    }

    fn clock(&mut self) {
        for _ in 0..self.random.random_range(0..3) {
            let step_s = [-3600, -5, 5, 3600][self.random.random_range(0..4)];
            let at = self.tenths(0.0, self.seconds - 4.0);
            let for_s = Some(self.tenths(0.5, 8.0));
            let relays = self.one_relay();
            self.faults.push(Fault { relays, for_s, step_s, ..Fault::new(at, FaultKind::Clock) });
        }
    }

    /// Draws answers that come twice, from endpoints in two runs of three, and from the list service in one of three.
    fn repeated_answers(&mut self) {
        for (link, share) in [(LinkTo::Endpoints, 2), (LinkTo::List, 1)] {
            if !self.random.random_ratio(share, 3) {
                continue;
            }
            let at = self.tenths(0.0, self.seconds - 8.0);
            let for_s = Some(self.tenths(2.0, 8.0));
            let one_in = self.random.random_range(1..6);
            let delay_ms = [0, 8, 40, 120, 400][self.random.random_range(0..5)];
            let jitter_ms = self.random.random_range(0..=2 * delay_ms + 5);
            let torn = self.random.random_bool(0.25);
            self.faults.push(Fault {
                for_s,
                link: Some(link),
                one_in,
                delay_ms,
                jitter_ms,
                torn,
                ..Fault::new(at, FaultKind::Repeat)
            });
        }
    }

    /// Draws second starts beside processes that run undisturbed for a while.
    fn second_starts(&mut self) {
        for relay in 0..self.relays {
            let name = format!("r{relay}");
            let times: Vec<f64> =
                (0..SECOND_START_DRAWS).map(|_| self.tenths(FIRST_SIGNAL, self.seconds - 4.0)).collect();
            let ends: Vec<_> =
                self.faults.iter().filter(|fault| fault.relays == name).filter_map(end_of_process).collect();
            let undisturbed = |at: &f64| {
                ends.iter().all(|(end, quiet)| !(at - quiet..at + QUIET_AFTER_SECOND_START).contains(end))
            };
            if let Some(at) = times.into_iter().find(undisturbed) {
                self.faults.push(Fault { relays: name, ..Fault::new(at, FaultKind::SecondStart) });
            }
        }
    }

    /// Draws the destination on whose messages a script loops, in some runs.
    fn looping_script(&mut self) -> Option<usize> {
        let dest = self.random.random_range(0..3);
        self.random.random_ratio(1, LOOPING_SCRIPT_ONE_IN).then_some(dest)
    }

    /// Draws clients that send slowly, in part, or without a pause, in some runs.
    fn hard_clients(&mut self) -> Option<HardClients> {
        let kind = HardClientKind::ALL[self.random.random_range(0..HardClientKind::ALL.len())];
        let connections = match kind {
            HardClientKind::FloodUnread | HardClientKind::FloodInvalid => self.random.random_range(1..4),
            HardClientKind::Leavers => self.random.random_range(5..20),
            _ => self.random.random_range(150..=340),
        };
        let relay = self.random.random_range(0..self.relays);
        let clients = HardClients { kind, connections, relay };
        self.random.random_ratio(1, HARD_CLIENTS_ONE_IN).then_some(clients)
    }
}

/// When a fault ends its relay's process, and how long after that no second start is drawn.
fn end_of_process(fault: &Fault) -> Option<(f64, f64)> {
    match fault.kind {
        FaultKind::Term => Some((fault.at_s, QUIET_AFTER_TERM)),
        FaultKind::Kill => Some((fault.at_s, QUIET_AFTER_KILL)),
        FaultKind::TornWrite => Some((fault.at_s, QUIET_AFTER_KILL + fault.for_s.unwrap_or_default())),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
