//! Soak runs: schedules that are drawn whole from a seed. A handful of relays under signals in series, with partners, the list service,
//! system calls, the disk and the wall clock failing beside them; some have a crowd of idle clients. Clients keep using open connections
//! until a process is killed, which is at the platform's earliest.
use onyxglade_lab::experiment::Event as Partner;
use onyxglade_lab::model::Trouble;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::crowd::Crowd;
use crate::schedule::{Fault, Kind, Schedule};
use crate::system_faults::{Call, Failure};

/// What all of them have; its figures are replaced by drawn ones.
const BASE: &str = include_str!("../soak.toml");

/// Signals begin after this time, in seconds, when all relays serve.
const FIRST: f64 = 2.0;
/// Faults of system calls last so long at most, in seconds.
const LONGEST_FAULT: f64 = 2.0;
/// From SIGKILL to the next start, in seconds.
const BACK: f64 = 0.6;
/// One run in so many has a crowd.
const CROWD_IN: u32 = 4;

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

/// The schedule of a seed: always the same.
pub fn schedule(seed: u64) -> Schedule {
    let mut random = StdRng::seed_from_u64(seed);
    let mut schedule = Schedule::parse(BASE).expect("the base is sound");
    schedule.name = format!("soak-{seed}");
    schedule.seed = seed;
    schedule.relay.count = random.random_range(3..=5);
    if random.random_ratio(1, CROWD_IN) {
        schedule.crowd = Crowd { connections: random.random_range(150..300), pause_ms: 20 };
    }
    let mut draw =
        Draw { random, seconds: schedule.seconds, relays: schedule.relay.count, faults: Vec::new() };
    draw.signals();
    draw.partners();
    draw.list_service();
    draw.disk();
    draw.sockets();
    draw.clock();
    schedule.faults = draw.faults;
    schedule.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    schedule.check().expect("only sound faults are drawn");
    schedule
}

struct Draw {
    random: StdRng,
    seconds: f64,
    relays: usize,
    faults: Vec<Fault>,
}

impl Draw {
    /// A time in tenths of a second, so that a schedule reads well.
    fn tenths(&mut self, from: f64, to: f64) -> f64 {
        (self.random.random_range(from..to) * 10.0).round() / 10.0
    }

    fn one_relay(&mut self) -> String {
        format!("r{}", self.random.random_range(0..self.relays))
    }

    /// Each relay has a series of its own: it is told to end, killed, or told to read its configuration, over and over.
    fn signals(&mut self) {
        for relay in 0..self.relays {
            let mut at = self.tenths(FIRST, FIRST + 4.0);
            while at < self.seconds - 6.0 {
                let (kind, lasts) = match self.random.random_range(0..10) {
                    0..=3 => (Kind::Term, 3.7 + BACK),
                    4..=6 => (Kind::Kill, BACK),
                    7 => (Kind::Stop, 0.1),
                    _ => (Kind::Hup, 0.0),
                };
                let is_end = kind.is_end();
                let for_s = is_end.then_some(BACK).or((kind == Kind::Stop).then_some(lasts));
                self.faults.push(Fault { relays: format!("r{relay}"), for_s, ..Fault::plain(at, kind) });
                at = (at + lasts + self.random.random_range(0.2..5.0)) * 10.0;
                at = at.round() / 10.0;
            }
        }
    }

    fn partners(&mut self) {
        for dest in 0..3 {
            let trouble = TROUBLES[self.random.random_range(0..TROUBLES.len())];
            let at = self.tenths(FIRST, self.seconds - 8.0);
            let for_s = Some(self.tenths(1.0, 6.0));
            let (dest, trouble) = (Some(dest), Some(Partner::Trouble(trouble)));
            self.faults.push(Fault { for_s, dest, trouble, ..Fault::plain(at, Kind::Partner) });
        }
    }

    fn list_service(&mut self) {
        let at = self.tenths(FIRST, self.seconds - 8.0);
        let for_s = Some(self.tenths(0.5, 4.0));
        self.faults.push(Fault { for_s, ..Fault::plain(at, Kind::ListDown) });
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
                ..Fault::plain(at, Kind::Call)
            });
        }
        if self.random.random_bool(0.5) {
            let at = self.tenths(FIRST, self.seconds - 8.0);
            let after_bytes = self.random.random_range(0..600);
            let relays = self.one_relay();
            self.faults.push(Fault {
                relays,
                for_s: Some(1.0),
                after_bytes,
                ..Fault::plain(at, Kind::TornWrite)
            });
        }
    }

    fn sockets(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            let (call, failure) = SOCKETS[self.random.random_range(0..SOCKETS.len())];
            let one_in = [1, 2, 3][self.random.random_range(0..3)];
            // A wait that always fails at once is none.
            let one_in = if call == Call::Wait { one_in + 1 } else { one_in };
            let at = self.tenths(FIRST, self.seconds - 6.0);
            let for_s = Some(self.tenths(0.1, LONGEST_FAULT));
            let relays = self.one_relay();
            let (call, failure) = (Some(call), Some(failure));
            self.faults.push(Fault { relays, for_s, call, failure, one_in, ..Fault::plain(at, Kind::Call) });
        }
    }

    fn clock(&mut self) {
        for _ in 0..self.random.random_range(0..3) {
            let step_s = [-3600, -5, 5, 3600][self.random.random_range(0..4)];
            let at = self.tenths(0.0, self.seconds - 4.0);
            let for_s = Some(self.tenths(0.5, 8.0));
            let relays = self.one_relay();
            self.faults.push(Fault { relays, for_s, step_s, ..Fault::plain(at, Kind::Clock) });
        }
    }
}

#[cfg(test)]
mod tests;
