//! Upgrades with two real processes, which together keep every rule as one relay.
mod scenario;

use scenario::play;

/// Plays a scenario in which `relay` (the predecessor) runs, and `relay2` (the successor) is started beside it.
fn upgrade(before: &str, after: &str) {
    let first = "send list n1:7 n2:8
         send relay start passed=yes
         expect relay log=list_of_execute_nodes
         expect relay log=submitters_are_told";
    let second = "send relay2 start passed=yes
         send b GET /-/ready
         expect b 200";
    play(None, &format!("{first}\n{before}\n{second}\n{after}"));
}

#[test]
fn queued_messages_and_submitters_move_to_the_successor() {
    upgrade(
        "send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST x-request-id=j1
         send s1 POST /notice id=j2 dest=7 timeout=9000   # queued behind j1
         expect s1 202",
        "send relay term
         expect relay2 log=platform_front_is_ready
         expect s1 closed
         send s2 GET /ready
         expect s2 200
         send s2 POST /notice id=j3 dest=8 timeout=9000
         expect s2 202
         expect n2 POST x-request-id=j3
         send n2 200
         send n1 200                                   # j1 completes at the predecessor
         expect relay2 log=claim_of_the_previous_process_has_ended
         expect n1 POST x-request-id=j2
         send n1 200
         expect relay exit
         expect list nothing 300
         expect n1 nothing 50
         send c GET /-/metrics
         expect c 200 edge_balancer_handled_total:notice:passed=3 edge_balancer_in_progress=0",
    );
}

#[test]
fn a_claim_in_flight_is_not_repeated_by_the_successor() {
    upgrade(
        "send s1 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s1 202
         expect n1 POST x-request-id=j1",
        "send relay term
         expect relay2 log=platform_front_is_ready
         expect n1 nothing 400                         # well within the time for calls in flight to complete
         expect n1 cancelled                           # the predecessor stops waiting for it
         expect n1 POST x-request-id=j1
         expect relay exit
         send n1 200
         expect relay2 log=Delivered",
    );
}

// Guards against a second upgrade, while the first process still waits for an answer, that has the message called twice at once.
#[test]
fn a_claim_in_flight_over_two_upgrades_is_not_repeated() {
    upgrade(
        "send s1 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s1 202
         expect n1 POST x-request-id=j1",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send relay3 start passed=yes
         send relay2 term
         expect relay3 log=platform_front_is_ready
         expect n1 nothing 500                         # well within the time that the call may take
         send n1 200
         expect relay3 log=claim_of_the_previous_process_has_ended
         expect relay exit
         expect relay2 exit
         expect n1 nothing 300
         expect list nothing 50",
    );
}

#[test]
fn outcomes_at_the_predecessor_reach_the_successor() {
    upgrade(
        "send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST
         send s1 POST /notice id=j2 dest=8 timeout=9000
         expect s1 202
         expect n2 POST",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send n1 503
         expect relay2 log=outcome=Full
         expect n1 POST x-request-id=j1
         send n1 200
         send n2 410
         expect relay2 log=outcome=Over
         expect n2 nothing 300
         expect list nothing 50",
    );
}

#[test]
fn retry_after_received_by_the_predecessor_binds_the_successor() {
    upgrade(
        "send s1 POST /notice id=j1 dest=7 timeout=9000
         expect n1 POST
         send n1 429 retry-after=2.5
         expect relay log=Full
         send s1 POST /notice id=j2 dest=8 timeout=9000
         expect n2 POST",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send n2 429 retry-after=1.5                   # and one received during the handover
         expect relay2 log=outcome=Full
         expect n2 nothing 1200
         expect n1 nothing 100
         expect n1 POST
         expect n2 POST",
    );
}

#[test]
fn a_disabled_endpoint_and_a_drain_persist_over_two_upgrades() {
    upgrade(
        "send a PUT /-/endpoints/n1/disable
         expect a 200
         send a PUT /-/drain
         expect a 200
         send s1 POST /notice id=j1 dest=7 timeout=20000
         expect s1 202",
        "send relay term
         expect relay2 log=platform_front_is_ready
         expect relay exit
         send s2 GET /ready
         expect s2 503
         send c GET /-/metrics
         expect c 200 edge_balancer_skipped_endpoints=1 edge_balancer_in_progress=1
         send relay3 start passed=yes
         send relay2 term
         expect relay3 log=platform_front_is_ready
         expect relay2 exit
         send s3 GET /ready
         expect s3 503
         expect n1 nothing 200
         send d PUT /-/resume
         expect d 200
         send s4 GET /ready
         expect s4 200
         send d PUT /-/endpoints/n1/enable
         expect d 200
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay3 log=Delivered",
    );
}

// Guards against a yes of the old process of an upgrade, behind the handover, to a call that then reaches nobody.
#[test]
fn calls_at_the_predecessor_after_the_handover_are_refused_and_the_successor_takes_them() {
    upgrade(
        "send a GET /-/ready
         expect a 200
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST                                # the predecessor runs on with this claim",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send a PUT /-/drain
         expect a 503
         send a PUT /-/endpoints/n2/disable
         expect a 503
         send a GET /-/backlog
         expect a 503
         send s2 GET /ready
         expect s2 200
         send b PUT /-/drain
         expect b 200
         send a PUT /-/resume
         expect a 503
         send s3 GET /ready
         expect s3 503
         send n1 200
         expect relay exit
         send s4 GET /ready
         expect s4 503
         send b PUT /-/resume
         expect b 200
         send s5 GET /ready
         expect s5 200",
    );
}

// Guards against the same while the successor waits: the predecessor runs the relay, and its yes is handed over.
#[test]
fn until_sigterm_the_predecessor_takes_calls_and_the_successor_refuses_them() {
    upgrade(
        "send a GET /-/ready
         expect a 200",
        "send b PUT /-/drain
         expect b 503
         send a PUT /-/drain
         expect a 200
         send relay term
         expect relay2 log=platform_front_is_ready
         send s1 GET /ready
         expect s1 503",
    );
}

// Guards against a drain that dies with the old process of an upgrade, while the new one runs on: the two are one relay.
#[test]
fn a_drain_at_a_predecessor_that_is_killed_binds_the_waiting_successor() {
    upgrade(
        "send a GET /-/ready
         expect a 200",
        "send a PUT /-/drain
         expect a 200
         send relay kill
         expect relay2 log=platform_front_is_ready
         send s1 GET /ready
         expect s1 503
         send b PUT /-/resume
         expect b 200
         send s2 GET /ready
         expect s2 200
         send relay3 start passed=yes
         send relay2 kill
         expect relay3 log=platform_front_is_ready
         send s3 GET /ready
         expect s3 200",
    );
}

// Guards against the same where the old process cannot hand over, as one of another version.
#[test]
fn a_drain_binds_a_process_that_waits_for_the_lock_and_ends_with_a_restart() {
    upgrade(
        "send a PUT /-/drain
         expect a 200",
        "send relay3 start passed=yes                  # refused: one waits already
         send relay2 kill
         expect relay log=the_successor_is_gone
         send relay term
         expect relay3 log=platform_front_is_ready
         send s1 GET /ready
         expect s1 503
         send relay3 kill
         expect relay3 exit
         send relay start passed=yes
         expect relay log=submitters_are_told
         send s2 GET /ready
         expect s2 200",
    );
}

// Guards against a yes to a drain that ends with the process: the next one is not drained.
#[test]
fn a_process_that_shuts_down_alone_refuses_drains_and_takes_what_its_folder_keeps() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start passed=yes
         expect relay log=submitters_are_told
         send a GET /-/ready
         expect a 200
         send relay term
         expect relay log=shutting_down
         send a PUT /-/drain
         expect a 409
         send a PUT /-/endpoints/n1/disable
         expect a 200
         expect relay exit
         send relay2 start passed=yes
         expect relay2 log=list_of_execute_nodes
         send s1 GET /ready
         expect s1 200
         send b GET /-/metrics
         expect b 200 edge_balancer_skipped_endpoints=1",
    );
}

#[test]
fn a_successor_that_dies_leaves_the_predecessor_running() {
    upgrade(
        "",
        "send relay2 kill
         expect relay2 exit
         expect relay log=the_successor_is_gone
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST
         send n1 200
         expect relay log=Delivered
         send relay3 start passed=yes
         send relay term
         expect relay3 log=platform_front_is_ready",
    );
}

#[test]
fn a_predecessor_that_dies_leaves_its_journal_to_the_successor() {
    upgrade(
        "send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST",
        "send relay kill
         expect relay2 log=its_journal_is_taken_over
         expect relay2 log=platform_front_is_ready
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay2 log=Delivered",
    );
}

#[test]
fn claims_of_a_predecessor_killed_after_the_handover_may_have_run() {
    upgrade(
        "send s1 POST /order id=j1 dest=7 timeout=9000 key=k
         expect s1 202
         expect n1 POST",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send relay kill
         expect relay2 log=outcome=Cancelled
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay2 log=Delivered",
    );
}

#[test]
fn a_partly_read_request_at_the_predecessor_is_answered() {
    upgrade(
        "send s1 GET /ready
         expect s1 200
         send s1 raw=POST_/notice_HTTP/1.1|Host:_r|X-Request-ID:_j1|X-Envelope:_dest=7|X-Timeout-Ms:_9000|Content-Length:_2||a detached=yes",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send s1 raw=b
         expect s1 202 connection=close
         expect n1 POST x-request-id=j1 body=ab
         send n1 200
         expect relay2 log=Delivered
         expect relay exit",
    );
}

#[test]
fn invalid_handover_connections_change_nothing() {
    play(
        None,
        "send list n1:7
         send relay start passed=yes
         expect relay log=list_of_execute_nodes
         send relay bad-handover
         expect relay log=does_not_speak_this_protocol
         send relay bad-handover truncated=yes
         expect relay log=does_not_speak_this_protocol
         send relay2 start passed=yes
         send relay term
         expect relay2 log=platform_front_is_ready
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST
         send n1 200
         expect relay2 log=Delivered",
    );
}

#[test]
fn with_the_state_folder_full_the_successor_takes_over_and_refuses_what_it_cannot_store() {
    let full: String = (0..4)
        .map(|n| {
            let status = if n < 3 { 202 } else { 429 };
            format!("send s{n} POST /notice id=f{n} dest=7 timeout=20000 size=9000\nexpect s{n} {status}\n")
        })
        .collect();
    let scenario = format!(
        "send list n1:7
         send relay start passed=yes disk_mb=0.1
         expect relay log=list_of_execute_nodes
         {full}
         send relay2 start passed=yes disk_mb=0.1
         send relay term
         expect relay2 log=platform_front_is_ready
         expect n1 POST x-request-id=f0
         send s9 POST /notice id=j9 dest=7 timeout=20000 size=9000
         expect s9 429
         send n1 200
         expect relay2 log=claim_of_the_previous_process_has_ended
         expect n1 POST
         send n1 200
         expect n1 POST
         send n1 200
         expect list nothing 200"
    );
    play(None, &scenario);
}

#[test]
fn a_claim_that_has_not_started_at_an_upgrade_does_not_hide_an_earlier_one() {
    play(
        None,
        "send list n1:7
         send relay start passed=yes window=3000
         expect relay log=list_of_execute_nodes
         send s1 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s1 202
         expect n1 POST
         send list x1:7
         expect relay log=list_of_execute_nodes_changed
         close n1 connections
         expect relay log=Reset                        # it may have run
         expect relay log=connecting                   # to a node that accepts no connections
         send relay2 start passed=yes window=3000
         send b GET /-/ready
         expect b 200
         send relay term
         expect relay2 log=claim_of_the_previous_process_has_ended
         expect list returned id=j1                    # its idempotency window has passed
         send list n2:7
         expect n2 nothing 300",
    );
}

#[test]
fn a_node_that_lost_its_address_does_not_get_it_back_at_the_successor() {
    upgrade(
        "send list n1:7:SERVING:old
         expect relay log=list_of_execute_nodes
         send list n1:7:SERVING:old n1:8:SERVING:new
         expect relay log=another_node_has_the_address",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send list n1:8:SERVING:new n1:7:SERVING:old n2:9     # in another order
         expect relay2 log=list_of_execute_nodes
         send s1 POST /order id=j1 dest=9 timeout=5000
         expect s1 202
         expect n2 POST body=j1
         send n2 200
         send s1 POST /order id=j2 dest=7 timeout=900
         expect s1 202
         expect list returned id=j2
         send s1 POST /order id=j3 dest=8 timeout=5000
         expect s1 202
         expect n1 POST body=j3
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn an_id_that_comes_again_at_the_successor_while_its_call_is_out_runs_once() {
    upgrade(
        "send s1 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s1 202
         expect n1 POST x-request-id=j1
         close s1",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send s2 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s2 202
         send n1 200
         expect relay2 log=claim_of_the_previous_process_has_ended
         expect relay exit
         send s2 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s2 202
         expect n1 nothing 300",
    );
}

#[test]
fn an_id_that_was_delivered_by_the_predecessor_does_not_run_again_at_the_successor() {
    upgrade(
        "send s1 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s1 202
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay log=Delivered
         close s1",
        "send relay term
         expect relay2 log=platform_front_is_ready
         send s2 POST /order id=j1 dest=7 timeout=20000 key=k
         expect s2 202
         expect n1 nothing 300",
    );
}
