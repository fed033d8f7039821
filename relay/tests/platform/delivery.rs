//! Messages from a client to an execute node, and what the node's response means for them.
use crate::scenario::play;

#[test]
fn a_job_is_accepted_claimed_and_delivered() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=submitters_are_told
         send s GET /ready
         expect s 200
         send s POST /order id=j1 dest=7 timeout=2000 key=k1
         expect s 202
         expect n1 POST path=/v1/messages x-request-id=j1 idempotency-key=k1 body=j1 x-timeout-ms>0
         send n1 200
         send s POST /notice id=j2 dest=7 timeout=2000 size=65536
         expect s 202
         expect n1 POST x-request-id=j2 size=65536 connection=0   # the idle connection is reused
         send n1 200
         expect list nothing 300
         expect n1 nothing 50",
    );
}

#[test]
fn response_statuses_map_to_outcomes() {
    play(
        None,
        "send list n1:7 n2:8 n3:9 n4:10
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect n1 POST
         send n1 500
         expect relay log=Error
         expect n1 POST                       # may have run, but is safe to repeat
         send n1 200
         send s1 POST /order id=j2 dest=8 timeout=5000
         expect n2 POST
         send n2 410                          # final: nothing more is sent
         expect relay log=Over
         send s1 POST /order id=j3 dest=9 timeout=5000
         expect n3 POST
         send n3 503 x-no-slot=1
         expect n3 POST
         send n3 504
         expect n3 POST
         send n3 200
         expect list nothing 300
         expect n2 nothing 50",
    );
}

#[test]
fn redirects_are_not_followed() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect n1 POST
         send n1 307 location=/v1/elsewhere
         expect relay log=Error
         expect n1 POST path=/v1/messages     # the decision module's next claim, not a redirect
         send n1 200
         expect n1 nothing 100",
    );
}

#[test]
fn nothing_is_sent_before_retry_after_has_passed() {
    play(
        None,
        "send list n1:7 n2:7 n3:8
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect s1 202
         wait 50
         send s1 POST /order id=j2 dest=8 timeout=5000
         expect n3 POST
         send n3 429 retry-after=0.6
         expect relay log=Full
         send s1 POST /order id=j3 dest=8 timeout=5000
         expect s1 202
         expect n3 nothing 500
         expect n3 POST                       # then both are sent, one after the other
         send n3 200
         expect n3 POST
         send n3 200",
    );
}

#[test]
fn a_draining_node_gets_nothing_new() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j0 dest=7 timeout=5000
         expect n1 POST
         send n1 200
         expect relay log=Delivered           # the concurrency window is two now
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect n1 POST body=j1
         send list n1:7:DRAINING n2:7
         expect relay log=changed
         send s1 POST /notice id=j2 dest=7 timeout=5000
         expect n2 POST body=j2
         send n2 200
         send n1 200                          # it completes what is in flight
         send list n2:7
         expect relay log=changed
         expect n1 nothing 200",
    );
}

#[test]
fn a_rate_limit_reported_in_responses_is_applied() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect n1 POST
         send n1 200 x-server-load=x0=0.5,x1=2     # two calls a second instead of fifty
         expect relay log=limit=Some(2.0)",
    );
}
