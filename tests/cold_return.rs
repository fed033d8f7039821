//! Which returns from an outage count as cold starts, and for how long the rate of calls is bounded
//! afterwards.
mod common;
use common::*;
use slatethread::*;

/// Listed rate in calls a second; a cold destination can serve a fifth of it.
const LISTED: f64 = 100.0;
/// Time from a call to its answer.
const ROUND_TRIP: Nanos = 10 * MS;

/// A single relay that calls the endpoints of one destination, with the outcomes that a test chooses.
struct Scenario {
    world: World,
    next: u32,
    in_flight: Vec<(u32, u32, u32, Nanos)>,
    attempts: std::collections::BTreeMap<u32, u32>,
}

fn listed_endpoint(id: u32, started: Nanos) -> Endpoint {
    Endpoint { weight: Some(LISTED), started, ..endpoint(id, 5) }
}

fn settings_with_ample_limits() -> Settings {
    Settings { slots: Some(64), max_open_messages: Some(4000), max_attempts: None, ..settings() }
}

impl Scenario {
    fn new(endpoints: u32) -> Self {
        let world = World::new(
            settings_with_ample_limits(),
            (1..=endpoints).map(|id| listed_endpoint(id, 0)).collect(),
        );
        Scenario { world, next: 1, in_flight: Vec::new(), attempts: Default::default() }
    }

    /// Submits 200 messages a second for `time`; returns the number of calls to each endpoint, by its id.
    fn run(&mut self, time: Nanos, outcome: impl Fn(u32) -> Outcome) -> [usize; 3] {
        let mut calls = [0; 3];
        let end = self.world.now + time;
        while self.world.now < end {
            let now = self.world.now + 5 * MS;
            let (due, in_flight) = self.in_flight.drain(..).partition(|(.., sent)| sent + ROUND_TRIP <= now);
            self.in_flight = in_flight;
            let due: Vec<_> = due;
            let answers = due
                .into_iter()
                .map(|(msg, attempt, to, _)| attempt_ended(msg, attempt, to, outcome(to), ROUND_TRIP));
            let events: Vec<_> = answers.chain([Event::Request(request(self.next, 5, 0))]).collect();
            self.next += 1;
            for action in self.world.round(5 * MS, &events) {
                if let Action::Send { msg, endpoint, .. } = action {
                    let attempt = self.attempts.entry(msg.0).or_default();
                    self.in_flight.push((msg.0, *attempt, endpoint.0, now));
                    *attempt += 1;
                    calls[endpoint.0 as usize] += 1;
                }
            }
        }
        calls
    }

    /// Answers calls until the endpoint is called regularly again, within a time limit.
    fn until_served(&mut self) {
        for _ in 0..200 {
            if self.run(50 * MS, |_| Outcome::Ok)[1] > 1 {
                return;
            }
        }
        panic!("not called again");
    }
}

/// Maximum number of calls within two seconds that start `age` seconds after a cold start.
fn max_calls_after(age: f64) -> usize {
    let warm = (age + 1.0) / 10.0;
    let allowed = 2.0 * 2.0 * LISTED * (0.2 + 0.8 * warm);
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

#[test]
fn a_destination_that_refused_connections_is_bounded_while_it_warms_up() {
    let mut scenario = Scenario::new(1);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    scenario.run(6 * SECOND, |_| Outcome::ConnectFailed);
    scenario.until_served();
    let first = scenario.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!((20..=max_calls_after(0.5)).contains(&first), "{first} calls");
    scenario.run(8 * SECOND, |_| Outcome::Ok);
    let warm = scenario.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(warm > 180, "{warm} calls once it is warm");
}

#[test]
fn a_second_outage_restarts_the_bound() {
    let mut scenario = Scenario::new(1);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    scenario.run(6 * SECOND, |_| Outcome::ConnectFailed);
    scenario.until_served();
    scenario.run(4 * SECOND, |_| Outcome::Ok);
    scenario.run(4 * SECOND, |_| Outcome::ConnectFailed);
    scenario.until_served();
    let calls = scenario.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls <= max_calls_after(0.5), "{calls} calls");
}

#[test]
fn silence_ended_by_two_close_answers_is_no_cold_start() {
    let mut scenario = Scenario::new(1);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    scenario.run(6 * SECOND, |_| Outcome::Timeout);
    scenario.until_served();
    let calls = scenario.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls > 150, "{calls} calls");
}

#[test]
fn a_start_in_the_list_is_a_cold_start_even_if_no_connection_failed() {
    let mut scenario = Scenario::new(1);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    scenario.run(5 * SECOND, |_| Outcome::Timeout);
    let entries = vec![listed_endpoint(1, scenario.world.now - SECOND)];
    scenario.world.round(0, &[Event::List { scope: ListScope::Patch, entries }]);
    scenario.until_served();
    let calls = scenario.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!(calls <= max_calls_after(1.5), "{calls} calls");
}

#[test]
fn only_the_failed_endpoint_is_spaced_if_another_served_throughout() {
    let mut scenario = Scenario::new(2);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    let failing = |id| if id == 1 { Outcome::ConnectFailed } else { Outcome::Ok };
    scenario.run(6 * SECOND, failing);
    scenario.until_served();
    let calls = scenario.run(2 * SECOND, |_| Outcome::Ok);
    assert!(calls[1] <= max_calls_after(0.5), "{calls:?}");
    assert!(calls[1] + calls[2] > 150, "{calls:?}");
}

#[test]
fn an_upgrade_during_a_cold_return_keeps_the_bound() {
    let mut scenario = Scenario::new(1);
    scenario.run(2 * SECOND, |_| Outcome::Ok);
    scenario.run(6 * SECOND, |_| Outcome::ConnectFailed);
    scenario.until_served();
    let mut next = Scenario::new(1);
    next.world.now = 77 * SECOND;
    for snapshot in scenario.world.dispatcher.snapshot(scenario.world.now) {
        next.world.dispatcher.restore(next.world.now, &snapshot);
    }
    let calls = next.run(2 * SECOND, |_| Outcome::Ok)[1];
    assert!((10..=max_calls_after(0.5)).contains(&calls), "{calls} calls");
}
