//! Which returns from an outage are cold, and for how long the pace of calls is bounded then.
mod common;
use common::*;
use slatethread::*;

/// Calls a second that the list names; a cold destination takes a fifth of it.
const LISTED: f64 = 100.0;
/// Time from a call to its answer.
const TRIP: Nanos = 10 * MS;

/// A lone courier before the endpoints of one destination, with each answer as the test says.
struct Play {
    world: World,
    next: u32,
    out: Vec<(u32, u32, u32, Nanos)>,
    attempts: std::collections::BTreeMap<u32, u32>,
}

fn listed(id: u32, started: Nanos) -> Endpoint {
    Endpoint { weight: Some(LISTED), started, ..endpoint(id, 5) }
}

fn long_lived() -> Settings {
    Settings { slots: Some(64), max_queued: Some(4000), max_attempts: None, ..settings() }
}

impl Play {
    fn new(endpoints: u32) -> Self {
        let world = World::new(long_lived(), (1..=endpoints).map(|id| listed(id, 0)).collect());
        Play { world, next: 1, out: Vec::new(), attempts: Default::default() }
    }

    /// Hands in 200 messages a second for so long; gives the calls to each endpoint, by its id.
    fn run(&mut self, time: Nanos, outcome: impl Fn(u32) -> Outcome) -> [usize; 3] {
        let mut calls = [0; 3];
        let end = self.world.now + time;
        while self.world.now < end {
            let now = self.world.now + 5 * MS;
            let (due, out) = self.out.drain(..).partition(|(.., sent)| sent + TRIP <= now);
            self.out = out;
            let due: Vec<_> = due;
            let answers =
                due.into_iter().map(|(msg, attempt, to, _)| closed(msg, attempt, to, outcome(to), TRIP));
            let events: Vec<_> = answers.chain([Event::Request(request(self.next, 5, 0))]).collect();
            self.next += 1;
            for action in self.world.round(5 * MS, &events) {
                if let Action::Send { msg, endpoint, .. } = action {
                    let attempt = self.attempts.entry(msg.0).or_default();
                    self.out.push((msg.0, *attempt, endpoint.0, now));
                    *attempt += 1;
                    calls[endpoint.0 as usize] += 1;
                }
            }
        }
        calls
    }

    /// Answers until the endpoint is called well again, at most so long.
    fn until_served(&mut self) {
        for _ in 0..200 {
            if self.run(50 * MS, |_| Outcome::Ok)[1] > 1 {
                return;
            }
        }
        panic!("not called again");
    }
}

/// Most calls that a destination may get in two seconds which begin so long after its cold start.
fn most_after(age: f64) -> usize {
    let warm = (age + 1.0) / 10.0;
    let allowed = 2.0 * 2.0 * LISTED * (0.2 + 0.8 * warm);
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

#[test]
fn a_destination_that_refused_connections_is_bounded_while_it_warms_up() {
    let mut play = Play::new(1);
    play.run(2 * SECOND, |_| Outcome::Ok);
    play.run(6 * SECOND, |_| Outcome::ConnectFailed);
    play.until_served();
    let first = play.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!((20..=most_after(0.5)).contains(&first), "{first} calls");
    play.run(8 * SECOND, |_| Outcome::Ok);
    let warm = play.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(warm > 180, "{warm} calls once it is warm");
}

#[test]
fn a_second_outage_restarts_the_bound() {
    let mut play = Play::new(1);
    play.run(2 * SECOND, |_| Outcome::Ok);
    play.run(6 * SECOND, |_| Outcome::ConnectFailed);
    play.until_served();
    play.run(4 * SECOND, |_| Outcome::Ok);
    play.run(4 * SECOND, |_| Outcome::ConnectFailed);
    play.until_served();
    let calls = play.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls <= most_after(0.5), "{calls} calls");
}

#[test]
fn silence_ended_by_two_close_answers_is_no_cold_start() {
    let mut play = Play::new(1);
    play.run(2 * SECOND, |_| Outcome::Ok);
    play.run(6 * SECOND, |_| Outcome::Timeout);
    play.until_served();
    let calls = play.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls > 150, "{calls} calls");
}

#[test]
fn a_start_in_the_list_is_a_cold_start_even_if_no_connection_failed() {
    let mut play = Play::new(1);
    play.run(2 * SECOND, |_| Outcome::Ok);
    play.run(5 * SECOND, |_| Outcome::Timeout);
    let entries = vec![listed(1, play.world.now - SECOND)];
    play.world.round(0, &[Event::List { scope: ListScope::Patch, entries }]);
    play.until_served();
    let calls = play.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls <= most_after(1.5), "{calls} calls");
}

#[test]
fn only_the_failed_endpoint_is_spaced_if_another_served_throughout() {
    let mut play = Play::new(2);
    play.run(2 * SECOND, |_| Outcome::Ok);
    let failing = |id| if id == 1 { Outcome::ConnectFailed } else { Outcome::Ok };
    play.run(6 * SECOND, failing);
    play.until_served();
    let calls = play.run(2 * SECOND, |_| Outcome::Ok);
    assert!(calls[1] <= most_after(0.5), "{calls:?}");
    assert!(calls[1] + calls[2] > 150, "{calls:?}");
}

#[test]
fn an_upgrade_during_a_cold_return_keeps_the_bound() {
    let mut play = Play::new(1);
    play.run(2 * SECOND, |_| Outcome::Ok);
    play.run(6 * SECOND, |_| Outcome::ConnectFailed);
    play.until_served();
    let mut next = Play::new(1);
    next.world.now = 77 * SECOND;
    for learned in play.world.courier.snapshot(play.world.now) {
        next.world.courier.restore(next.world.now, &learned);
    }
    let calls = next.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!((10..=most_after(0.5)).contains(&calls), "{calls} calls");
}
