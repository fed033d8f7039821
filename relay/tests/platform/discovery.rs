//! The list of execute nodes: watches and pushed lists, and discovery that stalls, goes down or returns.
use crate::scenario::play;

#[test]
fn an_unanswered_watch_times_out_and_the_list_is_requested_again() {
    play(
        None,
        "send list n1:7:HANG
         send relay start
         expect relay log=list_of_execute_nodes
         expect relay log=discovery_cannot_be_followed
         expect relay log=list_of_execute_nodes",
    );
}

#[test]
fn watches_are_short_enough_that_a_stalled_one_is_noticed_in_time() {
    play(
        None,
        "send list n1:7
         send relay start must_ask=60         # a fifth of it would be twelve seconds
         expect relay log=list_of_execute_nodes
         expect relay log=calling_discovery_held=Some(2)_wait=1ms
         expect relay log=calling_discovery_held=Some(2)_wait=1s
         send list n1:7
         send relay kill
         send relay start must_ask=2
         expect relay log=calling_discovery_held=Some(3)_wait=400ms",
    );
}

/// A drain whose watch response stalls (`how`: HEAD or HALF) takes effect through a new request for the whole list.
fn stalled_watch(how: &str, mode: &str) {
    play(
        None,
        &format!(
            "send list n1:7
             send relay start mode={mode}
             expect relay log=list_of_execute_nodes
             send list n1:7:{how} n2:7
             expect list silent
             expect relay log=discovery_cannot_be_followed
             expect relay log=list_of_execute_nodes_generation=3
             send s1 POST /notice id=j1 dest=7 timeout=2000
             expect s1 202
             expect n2 POST x-request-id=j1
             send n2 200
             expect n1 nothing 50"
        ),
    );
}

#[test]
fn a_watch_that_stalls_after_its_response_head_is_abandoned_and_its_changes_are_fetched() {
    stalled_watch("HEAD", "subscribe");
}

#[test]
fn a_watch_that_stalls_within_its_response_body_is_abandoned_and_its_changes_are_fetched() {
    stalled_watch("HALF", "subscribe");
}

#[test]
fn in_push_mode_a_stalled_watch_is_abandoned_as_well() {
    stalled_watch("HALF", "push");
}

#[test]
fn a_discovery_whose_generation_went_back_is_asked_for_the_whole_list() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         close list                           # down; it returns with a lower generation
         expect relay log=discovery_cannot_be_followed
         send list n1:7:LOWER n2:7
         expect relay log=list_of_execute_nodes_generation=1
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n2 POST x-request-id=j1
         send n2 200
         expect n1 nothing 50",
    );
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         send list n1:7:LOWER n2:7            # while the watch is open
         expect relay log=lower_generation
         expect relay log=list_of_execute_nodes_generation=1
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n2 POST x-request-id=j1
         send n2 200
         expect n1 nothing 50",
    );
}

#[test]
fn a_configured_list_is_watched_from_its_generation_without_a_full_request() {
    play(
        None,
        "send list n1:7
         send relay start known=2             # the current generation
         expect relay log=calling_discovery_held=Some(2)
         send list n1:7 n2:8
         expect relay log=list_of_execute_nodes_changed
         send s1 POST /notice id=j1 dest=8 timeout=2000
         expect s1 202
         expect n2 POST
         send n2 200",
    );
}

#[test]
fn in_push_mode_lists_are_followed_from_the_start() {
    play(
        None,
        "send list n1:7
         send relay start mode=push
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect n1 POST
         send list n2:7
         expect relay log=list_of_execute_nodes_changed
         send n1 500
         expect n2 POST x-request-id=j1
         send n2 200
         expect relay log=Delivered",
    );
}

#[test]
fn a_list_whose_watch_went_silent_is_requested_on_a_new_connection() {
    play(
        None,
        "send list n1:7
         send relay start must_ask=5
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 timeout=400
         expect s1 202
         expect n1 POST
         expect list returned id=j1           # the connection for notices is idle by now
         close list quiet                     # all open connections, the watch's too
         send list n2:8
         expect relay log=discovery_cannot_be_followed
         expect relay log=list_of_execute_nodes_changed_generation=3
         send s1 POST /notice id=j2 dest=8 timeout=2000
         expect s1 202
         expect n2 POST
         send n2 200
         expect list nothing 50",
    );
}

#[test]
fn a_node_at_the_address_of_another_takes_its_place_at_once() {
    play(
        None,
        "send list n1:7:SERVING:old
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect s1 202
         expect n1 POST body=j1
         send n1 200
         expect relay log=Delivered
         send list n1:7:SERVING:old n1:8:SERVING:new
         expect relay log=another_node_has_the_address
         send s1 POST /order id=j2 dest=8 timeout=5000
         expect s1 202
         expect n1 POST body=j2
         send n1 200
         send s1 POST /order id=j3 dest=7 timeout=900
         expect s1 202
         expect list returned id=j3
         expect n1 nothing 50
         send list n1:8:SERVING:new n1:7:DRAINING:old     # in another order
         send s2 POST /order id=j4 dest=8 timeout=5000
         expect s2 202
         expect n1 POST body=j4
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn a_connection_begun_to_a_node_that_lost_its_address_sends_nothing() {
    play(
        None,
        "send list x1:7:SERVING:old
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=6000
         expect s1 202
         expect relay log=connecting
         send list n1:7 x1:7:SERVING:old x1:8:SERVING:new
         expect relay log=another_node_has_the_address
         expect n1 POST body=j1
         send x1 open                         # the system repeats the handshake a second later
         send n1 200
         expect relay log=Delivered
         expect x1 nothing 1200",
    );
}

// Guards against a relay whose machine was lost: its configuration names addresses that are other nodes' by now, and discovery is down.
#[test]
fn a_configured_list_is_not_used_before_discovery_has_confirmed_it() {
    play(
        None,
        "send list n1:7
         close list
         send relay start known=2
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 nothing 300
         send list n1:8 n2:7
         expect n2 POST body=j1
         send n2 200
         expect relay log=Delivered
         expect n1 nothing 50",
    );
}

// Guards against a restart beside a silent agent: addresses of the configured list are other nodes' by now, as the agent knows.
#[test]
fn in_push_mode_a_configured_list_is_not_used_before_the_agent_has_answered() {
    play(
        None,
        "send list n1:7 n9:9:HANG             # the agent is silent
         send relay start mode=push known=2
         send s1 GET /ready
         expect s1 503
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 nothing 300
         send list n1:8 n2:7
         expect n2 POST body=j1
         send n2 200
         expect relay log=Delivered
         expect n1 nothing 50",
    );
}

// Guards against a relay that stops sending in an outage of discovery, in which the agent is silent and learns nothing.
#[test]
fn in_push_mode_a_list_is_used_on_while_the_agent_is_silent() {
    play(
        None,
        "send list n1:7
         send relay start mode=push
         expect relay log=list_of_execute_nodes
         send list n1:7 n9:9:HANG
         expect relay log=list_of_execute_nodes_changed
         expect relay log=discovery_cannot_be_followed
         expect relay log=discovery_cannot_be_followed
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n1 POST body=j1
         send n1 200",
    );
}

// Guards against instances that go on by one another's lists while discovery is down: addresses in them are other nodes' by then.
#[test]
fn a_list_between_instances_is_not_used_longer_than_one_that_is_asked_for() {
    play(
        None,
        "send list n1:7
         send relay start instances=yes must_ask=4
         expect relay log=list_of_execute_nodes
         close list
         wait 4700                            # the lease is 4.3 s long
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect n1 nothing 300
         send list n1:8 n2:7
         expect n2 POST body=j1
         send n2 200
         expect relay log=Delivered
         expect n1 nothing 50",
    );
}

// Guards against a relay that takes submitters from relays that can serve them, and against one that is away for a whole outage.
#[test]
fn a_relay_without_a_confirmed_list_is_not_ready_for_some_seconds() {
    play(
        None,
        "send list n1:7
         close list
         send relay start known=2
         send s1 GET /ready
         expect s1 503
         expect relay log=submitters_are_told_that_the_relay_is_ready_confirmed=false
         send s1 GET /ready
         expect s1 200
         send relay kill
         expect relay exit
         send list n1:7
         send relay start known=2
         expect relay log=submitters_are_told_that_the_relay_is_ready_confirmed=true
         send s2 GET /ready
         expect s2 200",
    );
}
