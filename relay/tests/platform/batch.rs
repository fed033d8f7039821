//! Batches: several messages in one call to an execute node.
use crate::scenario::play;

/// Plays `scenario` after three messages, queued behind the first call, were sent in one batch.
fn after_a_batch(scenario: &str) {
    let setup = "send list n1:7
         send relay start bundle=3 slots=2
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST path=/v1/messages
         send s1 POST /notice id=j2 dest=7 timeout=9000
         expect s1 202
         send s1 POST /order id=j3 dest=7 timeout=9000 key=k
         expect s1 202
         send s1 POST /notice id=j4 dest=7 timeout=9000
         expect s1 202
         send n1 200
         expect n1 POST path=/v1/messages:batch size=36 idempotency-key=none";
    play(None, &format!("{}\n{scenario}", setup.replace(" idempotency-key=none", "")));
}

#[test]
fn messages_to_one_node_in_one_round_share_a_call_with_an_outcome_each() {
    after_a_batch(
        "send n1 raw=HTTP/1.1_200_OK|Content-Length:_30||j4_gone|j2_ok|j3_exhausted|
         expect relay log=Over
         expect n1 POST x-request-id=j3 idempotency-key=k   # it never ran
         send n1 200
         expect n1 nothing 200
         expect list nothing 50
         send a GET /-/metrics
         expect a 200 edge_balancer_handled_total:notice:passed=2 edge_balancer_handled_total:order:passed=1 edge_balancer_upstream_tries_total=5",
    );
}

#[test]
fn a_batch_that_is_not_accepted_has_run_for_no_message() {
    after_a_batch(
        "send n1 413
         expect relay log=was_not_accepted
         expect relay log=NotSent
         expect relay log=NotSent
         expect relay log=NotSent
         expect n1 POST path=/v1/messages:batch
         send n1 raw=HTTP/1.1_200_OK|Content-Length:_21||j4_ok|j2_ok|j3_ok|
         expect relay log=Delivered
         expect list nothing 100",
    );
}

#[test]
fn a_batch_whose_connection_breaks_may_have_run_for_each_message() {
    after_a_batch(
        "close n1 connections
         expect relay log=Reset
         expect relay log=Reset
         expect relay log=Reset
         expect n1 POST path=/v1/messages:batch
         send n1 raw=HTTP/1.1_200_OK|Content-Length:_12||j4_ok|j2_o   # truncated: the same
         close n1 connections
         expect relay log=Error
         expect n1 POST",
    );
}

#[test]
fn retry_after_of_a_batch_applies_though_all_messages_are_delivered() {
    after_a_batch(
        "send n1 raw=HTTP/1.1_200_OK|Retry-After:_1.5|Content-Length:_21||j4_ok|j2_ok|j3_ok||
         send s1 POST /notice id=j5 dest=7 timeout=9000
         expect s1 202
         expect n1 nothing 1200
         expect n1 POST x-request-id=j5",
    );
}

#[test]
fn outcomes_in_a_truncated_batch_response_are_ignored() {
    after_a_batch(
        "send n1 raw=HTTP/1.1_200_OK|Transfer-Encoding:_chunked||7|j4_ok|||
         wait 50
         close n1 connections
         expect relay log=Error
         expect relay log=Error
         expect relay log=Error
         expect n1 POST",
    );
}
