//! Admission: which messages are accepted, and which are refused at once with Retry-After.
use crate::scenario::play;

/// Plays a scenario after a call that took 400 ms.
fn after_a_slow_call(scenario: &str) {
    let slow = "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n1 POST
         wait 400
         send n1 200
         expect relay log=Delivered";
    play(None, &format!("{slow}\n{scenario}"));
}

#[test]
fn messages_that_cannot_be_served_in_time_are_refused_with_retry_after() {
    after_a_slow_call(
        "
         send s1 POST /notice id=j2 dest=7 timeout=100  # a call to it takes 400 ms
         expect s1 429 retry-after>0
         expect n1 nothing 200
         expect list nothing 50",
    );
}

#[test]
fn a_known_id_repeats_its_answer_and_an_unknown_destination_is_refused() {
    after_a_slow_call(
        "
         send s2 POST /notice id=j1 dest=7 timeout=2000  # resubmitted after its delivery
         expect s2 202
         send s1 POST /notice id=j2 dest=7 timeout=100   # a call to it takes 400 ms
         expect s1 429
         send s1 POST /notice id=j2 dest=7 timeout=5000  # resubmitted at once
         expect s1 429
         send s1 POST /notice id=j3 dest=99 timeout=5000
         expect s1 429
         expect n1 nothing 100",
    );
}

#[test]
fn a_job_that_does_not_fit_into_the_journal_is_refused() {
    play(
        None,
        "send list n1:7
         send relay start disk_mb=0.1
         send s1 POST /notice id=j1 dest=7 timeout=5000 size=60000
         expect s1 429 retry-after>0
         send s1 POST /notice id=j2 dest=7 timeout=5000
         expect s1 202
         expect n1 POST body=j2
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn an_unused_node_starts_at_a_reduced_rate_where_configured() {
    play(
        None,
        "send list n1:7
         send relay start idle_setting=cold_after_s:60
         send s1 POST /order id=j1 dest=7 timeout=9000
         send s2 POST /order id=j2 dest=7 timeout=9000
         send s3 POST /order id=j3 dest=7 timeout=9000
         expect s1 202
         expect s2 202
         expect s3 202
         expect n1 POST
         send n1 200
         expect n1 nothing 60                 # seven a second at first: the list gives it fifty
         expect n1 POST
         send n1 200
         expect n1 nothing 50
         expect n1 POST
         send n1 200
         expect list nothing 50",
    );
}
