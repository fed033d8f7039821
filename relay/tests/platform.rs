//! Scenarios for the platform's front, each named for what it guards against.
mod scenario;

use scenario::play;

#[test]
fn a_job_is_taken_claimed_and_delivered() {
    play(
        None,
        "send list n1:7
         send relay start
         send s GET /ready
         expect s 200
         send s POST /order id=j1 dest=7 left=2000 key=k1
         expect s 202
         expect n1 POST path=/v1/messages x-request-id=j1 idempotency-key=k1 body=j1 x-timeout-ms>0
         send n1 200
         send s POST /notice id=j2 dest=7 left=2000 size=65536
         expect s 202
         expect n1 POST x-request-id=j2 size=65536 connection=0   # the warm connection is used again
         send n1 200
         expect list nothing 300
         expect n1 nothing 50",
    );
}

#[test]
fn bad_input_is_answered_and_harms_nothing() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=GARBAGE||
         expect s1 400
         send s2 POST /order dest=7 left=2000             # no id
         expect s2 400
         send s2 POST /nosuch id=j1 dest=7 left=2000
         expect s2 400
         send s2 POST /order id=j2 dest=7 left=-3
         expect s2 400
         send s2 POST /order id=j3 dest=7 left=99999999999999999999
         expect s2 400
         send s2 POST /order id=j4 dest=seven left=2000
         expect s2 400
         send s2 POST /order id=j5 left=2000
         expect s2 400
         send s2 GET /order
         expect s2 404
         send s3 POST /order id=j6 dest=7 left=2000 size=70000
         expect s3 413
         send s4 POST /order id=j7 dest=7 left=2000
         expect s4 202
         expect n1 POST x-request-id=j7
         send n1 200
         expect n1 nothing 50",
    );
}

/// Plays a scenario after a call that has taken 400 ms.
fn after_a_slow_call(scenario: &str) {
    let slow = "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 left=2000
         expect s1 202
         expect n1 POST
         wait 400
         send n1 200
         expect relay log=Delivered";
    play(None, &format!("{slow}\n{scenario}"));
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once_with_a_time_to_come_again() {
    after_a_slow_call(
        "
         send s1 POST /notice id=j2 dest=7 left=100     # a call takes 400 ms there
         expect s1 429 retry-after>0
         expect n1 nothing 200
         expect list nothing 50",
    );
}

#[test]
fn outcomes_are_told_by_their_answers() {
    play(
        None,
        "send list n1:7 n2:8 n3:9 n4:10
         send relay start
         send s1 POST /notice id=j1 dest=7 left=5000
         expect n1 POST
         send n1 500
         expect relay log=Error
         expect n1 POST                       # may have run, but is safe to repeat
         send n1 200
         send s1 POST /order id=j2 dest=8 left=5000
         expect n2 POST
         send n2 410                          # over: nothing more is owed
         expect relay log=Over
         send s1 POST /order id=j3 dest=9 left=5000
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
fn no_library_follows_a_redirect() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST
         send n1 307 location=/v1/elsewhere
         expect relay log=Error
         expect n1 POST path=/v1/messages     # the module's next claim, not the library's
         send n1 200
         expect n1 nothing 100",
    );
}

#[test]
fn nothing_is_sent_during_a_told_wait() {
    play(
        None,
        "send list n1:7 n2:7 n3:8
         send relay start
         send s1 POST /notice id=j1 dest=7 left=5000
         expect s1 202
         wait 50
         send s1 POST /order id=j2 dest=8 left=5000
         expect n3 POST
         send n3 429 retry-after=0.6
         expect relay log=Full
         send s1 POST /order id=j3 dest=8 left=5000
         expect s1 202
         expect n3 nothing 500
         expect n3 POST                       # then both come, one after the other
         send n3 200
         expect n3 POST
         send n3 200",
    );
}

#[test]
fn a_claim_given_up_closes_its_connection_before_the_next_goes_out() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 left=5500
         expect s1 202
         expect n1 POST connection=0
         expect n1 givenup body=j1
         expect n1 POST connection=1
         send n1 200",
    );
}

#[test]
fn an_order_that_may_have_run_is_sent_again_within_its_memory_only() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start window=400
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST
         close n1 call
         expect relay log=Reset
         expect n1 POST
         wait 450
         send n1 500                          # by now the memory of the first claim has ended
         expect list returned id=j1 after_ms>0
         expect n1 nothing 300",
    );
}

#[test]
fn a_refused_connection_never_ran() {
    play(
        None,
        "send list n1:7
         send relay start window=1
         close n1
         send s1 POST /order id=j1 dest=7 left=1500
         expect s1 202
         expect relay log=Unconnected
         expect list returned id=j1           # not past its time, and no sooner failed for a memory that ended",
    );
}

#[test]
fn a_draining_node_gets_nothing_new() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j0 dest=7 left=5000
         expect n1 POST
         send n1 200
         expect relay log=Delivered           # the window is two now
         send s1 POST /notice id=j1 dest=7 left=5000
         expect n1 POST body=j1
         send list n1:7:DRAINING n2:7
         expect relay log=changed
         send s1 POST /notice id=j2 dest=7 left=5000
         expect n2 POST body=j2
         send n2 200
         send n1 200                          # it finishes what it has
         send list n2:7
         expect relay log=changed
         expect n1 nothing 200",
    );
}

#[test]
fn jobs_outlast_the_process_and_ended_ones_do_not_come_back() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         send s1 POST /order id=j1 dest=7 left=9000
         expect n1 POST
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=8 left=9000
         expect s1 202
         expect n2 POST body=j2
         send relay kill
         expect relay exit
         send relay start
         expect relay log=recovered=1
         expect n2 POST body=j2 x-timeout-ms<9000     # within its memory
         send n2 200
         expect relay log=Delivered
         send relay kill
         expect relay exit
         send relay start
         expect relay log=recovered=0
         expect n1 nothing 200
         expect list nothing 50",
    );
}

#[test]
fn after_a_restart_an_order_past_its_memory_is_ended_not_sent() {
    play(
        None,
        "send list n1:7
         send relay start window=300
         send s1 POST /order id=j1 dest=7 left=9000
         expect n1 POST
         send relay kill
         expect relay exit
         wait 300
         send relay start window=300
         expect list returned id=j1
         expect n1 nothing 200",
    );
}

#[test]
fn a_notice_that_was_not_heard_is_told_after_a_restart() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 left=600
         expect s1 202
         expect n1 POST
         expect relay log=list                # discovery goes down, and notices with it
         close list
         expect relay log=could_not_be_told
         send relay kill
         expect relay exit
         send list n1:7
         send relay start
         expect list returned id=j1
         expect n1 nothing 200",
    );
}

#[test]
fn many_ends_at_once_are_all_told_in_time() {
    let mut scenario = String::from("send list n1:7\nsend relay start held=400   # n1 answers nothing\n");
    for job in 0..35 {
        scenario += &format!("send s POST /notice id=j{job} dest=7 left=1500\nexpect s 202\n");
    }
    for job in 0..35 {
        scenario += &format!("expect list returned id=j{job}\n");
    }
    scenario += "expect list nothing 100";
    play(None, &scenario);
}

#[test]
fn a_planned_restart_goes_on_answering_and_loses_nothing() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         send s3 GET /ready
         expect s3 200
         send s1 POST /notice id=j1 dest=7 left=20000
         expect n1 POST
         send relay term
         wait 200
         send s2 POST /order id=j2 dest=8 left=20000
         expect s2 202 connection=close
         send s1 GET /ready
         expect s1 200 connection=close
         expect n2 POST
         send n2 200
         expect s3 closed                     # idle: a request that crosses the end would be lost
         expect relay log=no_connections_are_taken
         expect relay exit
         send relay start
         expect relay log=recovered=1
         expect n1 POST body=j1 connection=2  # two time-outs lie before
         send n1 200",
    );
}

#[test]
fn idle_connections_are_closed_before_the_node_closes_them() {
    play(
        None,
        "send list n1:7
         send relay start idle=1000
         send s1 POST /notice id=j1 dest=7 left=5000
         expect n1 POST connection=0
         send n1 200
         expect n1 closed connection=0
         send s1 POST /notice id=j2 dest=7 left=5000
         expect n1 POST connection=1
         send n1 200",
    );
}

#[test]
fn a_job_that_the_journal_cannot_hold_is_refused() {
    play(
        None,
        "send list n1:7
         send relay start disk_mb=0.1
         send s1 POST /notice id=j1 dest=7 left=5000 size=60000
         expect s1 429 retry-after>0
         send s1 POST /notice id=j2 dest=7 left=5000
         expect s1 202
         expect n1 POST body=j2
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn the_same_message_once_more_is_one_job() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 left=5000
         expect s1 202
         send s2 POST /order id=j1 dest=7 left=5000
         expect s2 202
         expect n1 POST
         expect n1 nothing 200
         send n1 200",
    );
}

#[test]
fn a_faulty_configuration_names_its_key() {
    play(
        None,
        "send relay start faulty listen=nowhere
         expect relay log=CONFIG:_listen:
         expect relay exit
         send relay start faulty slots=many
         expect relay log=CONFIG:_settings.extra
         expect relay exit
         send relay start faulty disk_mb=0
         expect relay log=CONFIG:_limits.disk
         expect relay exit",
    );
}

#[test]
fn half_requests_and_silent_connections_end_in_time() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=POST_/order_HTTP/1.1|host:_x|
         send s2 raw=POST_/order_HTTP/1.1|host:_x|content-length:_9||abc
         expect s3 nothing 1
         send s4 POST /order id=j1 dest=7 left=2000
         expect s4 202
         expect n1 POST
         send n1 200
         expect s1 closed
         expect s2 400                        # its body ended early, as far as the relay lets it
         expect s3 closed
         expect s4 closed                     # idle for long",
    );
}

#[test]
fn silent_and_idle_connections_make_room_for_the_next() {
    let mut scenario = String::from("send list n1:7\nsend relay start sockets=10   # four places\n");
    for guest in 0..8 {
        scenario += &format!("expect s{guest} nothing 1\n");
    }
    for guest in 10..15 {
        scenario += &format!("send s{guest} GET /ready\nexpect s{guest} 200\n");
    }
    play(None, &scenario);
}

#[test]
fn a_body_too_large_or_with_two_lengths_is_refused_from_its_head() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=POST_/order_HTTP/1.1|host:_x|x-request-id:_j1|x-timeout-ms:_900|x-envelope:_dest=7|content-length:_60000000||
         expect s1 413
         send s2 raw=POST_/order_HTTP/1.1|host:_x|x-request-id:_j2|x-timeout-ms:_900|x-envelope:_dest=7|content-length:_3|transfer-encoding:_chunked||0||
         expect s2 400
         expect n1 nothing 50",
    );
}

#[test]
fn spoilt_answers_count_as_run_and_end_their_connections() {
    play(
        None,
        "send list n1:7 n2:8 n3:9 n4:10
         send relay start window=500
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_200_OK|content-length:_-5||    # true by its first line
         expect relay log=Delivered
         send s1 POST /notice id=j2 dest=7 left=5000
         expect n1 POST connection=1
         send n1 raw=noise||                  # failed, and safe to repeat
         expect relay log=Error
         expect n1 POST connection=2
         send n1 raw=HTTP/1.1_200_OK|content-length:_3000000000||and_so_on
         expect relay log=Delivered
         send s1 POST /order id=j3 dest=8 left=5000
         expect n2 POST
         wait 600
         send n2 raw=HTTP/1.1_503_no|content-length:_3000000000||ab   # says never ran, but cannot be trusted
         expect list returned id=j3           # so its memory has ended by now
         expect n2 nothing 100
         send s1 POST /order id=j4 dest=9 left=5000
         expect n3 POST
         send n3 raw=HTTP/1.1_200_OK|endless: # the rest of the head never comes
         expect relay log=Delivered
         expect n3 nothing 100",
    );
}

#[test]
fn early_answers_are_passed_over_and_surplus_is_no_answer() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_103_x|link:_y||HTTP/1.1_100_x||HTTP/1.1_200_x|content-length:_2||ok
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=7 left=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_200_x|content-length:_2||okHTTP/1.1_200_x|content-length:_2||ok
         expect relay log=Delivered
         send s1 POST /order id=j3 dest=7 left=5000
         expect n1 POST connection=1
         send n1 200
         expect n1 nothing 100",
    );
}

#[test]
fn a_new_configuration_moves_notices_and_the_watch_and_drops_nothing() {
    play(
        None,
        "send list n1:7
         send relay start held=400
         send s1 POST /notice id=j1 dest=7 left=1500
         expect s1 202
         expect n1 POST body=j1
         send relay hup slots=many      # faulty: nothing changes
         expect relay log=SIGHUP:_the_configuration_is_faulty
         send relay hup discovery=list2 held=0
         expect relay log=configuration_read_anew
         expect relay log=list_of_execute_nodes
         close list                           # the old one is gone
         expect list2 returned id=j1
         send list2 n1:7 n2:8                 # news come from the new one
         expect relay log=changed
         send s1 POST /notice id=j2 dest=8 left=1500
         expect s1 429                        # by the new settings, on the old connection
         expect n2 nothing 50",
    );
}

#[test]
fn an_id_that_is_known_is_answered_as_before_and_a_destination_that_is_not_is_refused() {
    after_a_slow_call(
        "
         send s2 POST /notice id=j1 dest=7 left=2000     # once more, after its delivery
         expect s2 202
         send s1 POST /notice id=j2 dest=7 left=100      # a call takes 400 ms there
         expect s1 429
         send s1 POST /notice id=j2 dest=7 left=5000     # the same again at once
         expect s1 429
         send s1 POST /notice id=j3 dest=99 left=5000
         expect s1 429
         expect n1 nothing 100",
    );
}

#[test]
fn while_most_places_are_taken_answers_end_their_connections() {
    play(
        None,
        "send list n1:7
         send relay start sockets=15          # six places
         send s1 POST /notice id=j1 dest=7 left=2000
         expect s1 202
         expect n1 POST
         send n1 200
         expect s2 nothing 1
         expect s3 nothing 1
         send s4 POST /notice id=j2 dest=7 left=2000
         expect s4 202 connection=close
         expect s4 closed
         expect n1 POST body=j2
         send n1 200
         expect s1 nothing 1                  # the others stay",
    );
}

#[test]
fn a_watch_that_is_never_answered_is_given_up_and_the_list_asked_for_again() {
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
fn a_watch_is_never_held_so_long_that_its_silence_would_be_noticed_too_late() {
    play(
        None,
        "send list n1:7:HANG
         send relay start must_ask=60         # a sixth of a minute would be twelve seconds
         expect relay log=list_of_execute_nodes
         expect relay log=discovery_is_asked_held=Some(2)_wait=2s
         send list n1:7
         send relay kill
         send relay start must_ask=5
         expect relay log=discovery_is_asked_held=Some(3)_wait=1s",
    );
}

/// A drain that a watch stops telling of, in such a way, is heard: by the whole list, asked for anew.
fn silent_watch(how: &str, mode: &str) {
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
             send s1 POST /notice id=j1 dest=7 left=2000
             expect s1 202
             expect n2 POST x-request-id=j1
             send n2 200
             expect n1 nothing 50"
        ),
    );
}

#[test]
fn a_watch_that_falls_silent_behind_its_head_is_given_up_and_what_it_missed_is_heard() {
    silent_watch("HEAD", "subscribe");
}

#[test]
fn a_watch_that_falls_silent_in_the_middle_of_its_answer_is_given_up_and_what_it_missed_is_heard() {
    silent_watch("HALF", "subscribe");
}

#[test]
fn where_lists_are_pushed_a_silent_watch_is_given_up_as_well() {
    silent_watch("HALF", "push");
}

#[test]
fn a_new_configuration_leaves_a_silent_watch_for_where_discovery_is_now() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         send list n1:7:HALF
         expect list silent
         send list2 n2:7
         send relay hup discovery=list2
         expect relay log=configuration_read_anew
         expect relay log=list_of_execute_nodes_generation=4    # at once, not when the silence is noticed
         send s1 POST /notice id=j1 dest=7 left=2000
         expect s1 202
         expect n2 POST x-request-id=j1
         send n2 200",
    );
}

#[test]
fn a_discovery_that_lost_its_memory_is_asked_for_the_whole_list() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         close list                           # it is down, and comes back with a lower generation
         expect relay log=discovery_cannot_be_followed
         send list n1:7:LOWER n2:7
         expect relay log=list_of_execute_nodes_generation=1
         send s1 POST /notice id=j1 dest=7 left=2000
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
         send s1 POST /notice id=j1 dest=7 left=2000
         expect s1 202
         expect n2 POST x-request-id=j1
         send n2 200
         expect n1 nothing 50",
    );
}

#[test]
fn a_list_that_is_held_is_watched_from_and_not_had_whole_again() {
    play(
        None,
        "send list n1:7
         send relay start known=2             # as the list stands
         expect relay log=discovery_is_asked_held=Some(2)
         send list n1:7 n2:8
         expect relay log=list_of_execute_nodes_changed
         send s1 POST /notice id=j1 dest=8 left=2000
         expect s1 202
         expect n2 POST
         send n2 200",
    );
}

#[test]
fn what_was_never_used_begins_slowly_where_the_operators_ask_for_it() {
    play(
        None,
        "send list n1:7
         send relay start own=cold_after_s:60
         send s1 POST /order id=j1 dest=7 left=9000
         send s2 POST /order id=j2 dest=7 left=9000
         send s3 POST /order id=j3 dest=7 left=9000
         expect s1 202
         expect s2 202
         expect s3 202
         expect n1 POST
         send n1 200
         expect n1 nothing 60                 # seven a second to begin with, as the list has fifty
         expect n1 POST
         send n1 200
         expect n1 nothing 50
         expect n1 POST
         send n1 200
         expect list nothing 50",
    );
}

#[test]
fn lists_that_are_pushed_are_followed_from_the_start() {
    play(
        None,
        "send list n1:7
         send relay start mode=push
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 left=9000
         expect n1 POST
         send list n2:7
         expect relay log=list_of_execute_nodes_changed
         send n1 500
         expect n2 POST x-request-id=j1
         send n2 200
         expect relay log=Delivered",
    );
}

/// Three messages wait for the first call to a node that takes several in one; then `scenario`.
fn together(scenario: &str) {
    let begin = "send list n1:7
         send relay start bundle=3 slots=2
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 left=9000
         expect s1 202
         expect n1 POST path=/v1/messages
         send s1 POST /notice id=j2 dest=7 left=9000
         expect s1 202
         send s1 POST /order id=j3 dest=7 left=9000 key=k
         expect s1 202
         send s1 POST /notice id=j4 dest=7 left=9000
         expect s1 202
         send n1 200
         expect n1 POST path=/v1/messages:batch size=36 idempotency-key=none";
    play(None, &format!("{}\n{scenario}", begin.replace(" idempotency-key=none", "")));
}

#[test]
fn messages_that_go_to_one_node_in_one_round_travel_in_one_call_with_an_end_each() {
    together(
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
fn a_call_with_several_messages_that_is_not_accepted_has_run_for_none() {
    together(
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
fn a_call_with_several_messages_that_breaks_may_have_run_for_each() {
    together(
        "close n1 call
         expect relay log=Reset
         expect relay log=Reset
         expect relay log=Reset
         expect n1 POST path=/v1/messages:batch
         send n1 raw=HTTP/1.1_200_OK|Content-Length:_12||j4_ok|j2_o   # cut short: the same
         close n1 call
         expect relay log=Error
         expect n1 POST",
    );
}

#[test]
fn a_wait_told_with_the_ends_of_several_binds_though_all_are_delivered() {
    together(
        "send n1 raw=HTTP/1.1_200_OK|Retry-After:_1.5|Content-Length:_21||j4_ok|j2_ok|j3_ok||
         send s1 POST /notice id=j5 dest=7 left=9000
         expect s1 202
         expect n1 nothing 1200
         expect n1 POST x-request-id=j5",
    );
}

#[test]
fn what_answers_tell_of_a_limit_is_taken_up() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 left=9000
         expect n1 POST
         send n1 200 x-server-load=x0=0.5,x1=2     # two calls a second, not fifty
         expect relay log=limit=Some(2.0)",
    );
}

#[test]
fn ends_of_an_answer_that_broke_off_count_for_nothing() {
    together(
        "send n1 raw=HTTP/1.1_200_OK|Transfer-Encoding:_chunked||7|j4_ok|||
         wait 50
         close n1 call
         expect relay log=Error
         expect relay log=Error
         expect relay log=Error
         expect n1 POST",
    );
}

#[test]
fn half_a_first_line_is_no_answer() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start window=1
         send s1 POST /notice id=j1 dest=7 left=5000
         expect n1 POST
         send n1 raw=HTTP/1.1_200_O
         close n1 call
         expect relay log=Error
         expect n1 POST                       # may have run, but is safe to repeat
         send n1 200
         send s1 POST /order id=j2 dest=8 left=5000
         expect n2 POST
         send n2 raw=HTTP/1.1_503_Ser         # says that it never ran, but not to the end
         close n2 call
         expect relay log=Error
         expect list returned id=j2           # past its memory
         expect n2 nothing 100",
    );
}

#[test]
fn a_wait_binds_from_the_head_of_its_answer_on_though_the_rest_never_comes() {
    play(
        None,
        "send list n1:7
         send relay start slots=12
         send s1 POST /notice id=j0 dest=7 left=9000
         expect n1 POST body=j0
         send n1 200
         expect relay log=Delivered           # the window is two now
         send s1 POST /notice id=j1 dest=7 left=9000
         expect s1 202
         expect n1 POST body=j1
         send n1 raw=HTTP/1.1_429_x|retry-after:_1.7|content-length:_50||ab
         wait 50                              # so that the head is read
         send s1 POST /notice id=j2 dest=7 left=9000
         expect s1 202
         expect n1 nothing 1500
         expect n1 POST
         send n1 200
         expect n1 POST
         send n1 200
         expect list nothing 50",
    );
}

#[test]
fn a_claim_whose_connection_never_came_up_has_not_run_when_the_process_is_killed() {
    play(
        None,
        "send list x1:7
         send relay start window=1
         send s1 POST /order id=j1 dest=7 left=9000
         expect s1 202
         expect relay log=connecting
         send relay kill
         expect relay exit
         send list n1:7
         send relay start window=1            # were it sent, its memory would be over
         expect relay log=recovered=1
         expect n1 POST body=j1
         send n1 200
         expect relay log=Delivered
         expect list nothing 50",
    );
}

#[test]
fn a_message_keeps_the_rules_under_which_it_was_taken_through_a_reload_and_a_restart() {
    play(
        None,
        "send list n1:7
         send relay start window=700
         send s1 POST /order id=j1 dest=7 left=9000
         expect n1 POST
         send relay hup window=60000          # for those that come from now on
         expect relay log=configuration_read_anew
         wait 800                             # its own memory has ended by now
         close n1 call
         expect relay log=Reset
         expect list returned id=j1
         expect n1 nothing 300
         send s1 POST /order id=j2 dest=7 left=9000
         expect n1 POST body=j2
         wait 800
         close n1 call
         expect n1 POST body=j2
         send n1 200
         expect relay log=Delivered",
    );
    play(
        None,
        "send list n1:7
         send relay start window=700
         send s1 POST /order id=j1 dest=7 left=9000
         expect n1 POST
         send relay kill
         expect relay exit
         wait 700
         send relay start window=60000
         expect list returned id=j1
         expect n1 nothing 300",
    );
}

#[test]
fn a_list_that_went_quiet_is_asked_for_on_a_connection_of_its_own() {
    play(
        None,
        "send list n1:7
         send relay start must_ask=5
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 left=400
         expect s1 202
         expect n1 POST
         expect list returned id=j1           # the notice's connection rests by now
         close list quiet                     # all connections there are, the watch's too
         send list n2:8
         expect relay log=discovery_cannot_be_followed
         expect relay log=list_of_execute_nodes_generation=3
         send s1 POST /notice id=j2 dest=8 left=2000
         expect s1 202
         expect n2 POST
         send n2 200
         expect list nothing 50",
    );
}

#[test]
fn a_notice_that_nobody_answers_is_not_told_on_one_silent_connection_after_another() {
    play(
        None,
        "send list n1:7 n2:8 n3:9
         send relay start
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=j1 dest=7 left=600
         send s2 POST /notice id=j2 dest=8 left=600
         send s3 POST /notice id=j3 dest=9 left=600
         expect list returned id=j1
         expect list returned id=j2
         expect list returned id=j3
         close list quiet
         send s1 POST /notice id=j4 dest=7 left=600
         expect list unheard path=/reports
         expect list returned id=j4           # at the second try
         expect list nothing 50",
    );
}

#[test]
fn a_request_that_is_half_read_as_the_relay_ends_may_be_handed_in_elsewhere() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 GET /ready
         expect s1 200
         send relay term
         expect relay log=SIGTERM
         send s2 raw=POST_/order_HTTP/1.1|host:_x|x-request-id:_j1|x-timeout-ms:_9000|x-envelope:_dest=7|content-length:_9||abc
         expect s1 closed
         expect s2 503
         expect relay exit
         expect n1 nothing 1",
    );
}

#[test]
fn a_second_sigterm_and_a_reload_change_nothing_once_the_relay_ends() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         send s1 POST /order id=j1 dest=7 left=9000
         expect s1 202
         expect n1 POST
         send relay term
         expect relay log=SIGTERM
         send relay term
         send relay hup held=0
         send s2 POST /order id=j2 dest=8 left=9000   # not by the new settings: nothing is read any more
         expect s2 202
         expect n2 POST
         send n2 200
         send n1 200
         expect relay log=no_connections_are_taken
         expect relay exit
         send relay start
         expect relay log=recovered=0
         expect list nothing 50",
    );
}

#[test]
fn sigterm_during_the_start_ends_it_and_leaves_the_journal_as_it_was() {
    play(
        None,
        "send list n1:7
         send relay start passed=yes
         send s1 POST /order id=j1 dest=7 left=9000
         expect s1 202
         expect n1 POST
         send relay2 start passed=yes         # waits for the first, and has not begun
         send b GET /-/ready
         expect b 200
         send relay2 term
         expect relay2 exit
         send n1 500
         expect n1 POST body=j1               # the first goes on
         send n1 200
         expect relay log=Delivered
         send s1 GET /ready                   # so that it has been put down
         expect s1 200
         send relay kill
         expect relay exit
         send relay start passed=yes
         expect relay log=recovered=0",
    );
}

#[test]
fn the_same_id_twice_at_the_same_time_is_one_job() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 left=5000
         send s2 POST /order id=j1 dest=7 left=5000
         send s3 POST /order id=j1 dest=7 left=5000
         expect s1 202
         expect s2 202
         expect s3 202
         expect n1 POST
         send n1 200
         expect n1 nothing 200
         expect list nothing 50",
    );
}

#[test]
fn clients_that_leave_while_their_answers_are_due_leave_nothing_behind() {
    let mut scenario =
        String::from("send list n1:7\nsend relay start held=400\nexpect relay log=list_of_execute_nodes\n");
    for client in 0..30 {
        scenario +=
            &format!("send s{client} POST /notice id=j{client} dest=7 left=1500 half=yes\nclose s{client}\n");
    }
    // What was taken on all the same is owed its end.
    scenario += "send s99 POST /order id=last dest=7 left=5000
         expect s99 202
         wait 1800
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress<2";
    play(None, &scenario);
}

#[test]
fn what_is_read_and_not_decided_on_as_the_relay_ends_is_refused() {
    play(
        None,
        "send list n1:7
         send relay start step=4000           # the next round would be after the end
         send s1 GET /ready
         expect s1 200
         send s1 POST /order id=j1 dest=7 left=9000
         send relay term
         expect s1 429 retry-after>0
         expect relay exit
         send relay start
         expect relay log=recovered=0
         expect n1 nothing 50",
    );
}

#[test]
fn what_a_restart_finds_untried_is_tried_where_its_node_hangs() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 left=6000
         expect s1 202
         expect n1 POST body=j1
         send s1 POST /notice id=j2 dest=7 left=6000
         expect s1 202
         send s1 POST /notice id=j3 dest=7 left=6000
         expect s1 202
         send s1 POST /order id=j4 dest=7 left=6000
         expect s1 202
         send relay kill
         expect relay exit
         send relay start
         expect relay log=recovered=4
         expect n1 POST body=j2               # none is ever answered
         expect n1 POST body=j3
         expect n1 POST body=j4",
    );
}

#[test]
fn a_connection_that_comes_up_after_its_message_went_elsewhere_carries_nothing() {
    play(
        None,
        "send list x1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 left=6000
         expect s1 202
         expect relay log=connecting
         send list n1:7 x1:7:DRAINING
         expect relay log=Unconnected
         expect n1 POST body=j1
         send x1 open                         # a second later the system comes again
         send n1 200
         expect relay log=Delivered
         expect x1 nothing 1200",
    );
}

#[test]
fn half_a_head_counts_as_run_whatever_it_says() {
    play(
        None,
        "send list n1:7
         send relay start window=1
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST
         send n1 raw=HTTP/1.1_503_x|retry-after:_1|
         close n1 call
         expect relay log=Error
         expect list returned id=j1           # past its memory
         expect n1 nothing 100",
    );
}

#[test]
fn a_connection_that_the_node_closed_while_it_rested_carries_nothing() {
    play(
        None,
        "send list n1:7
         send relay start window=1
         send s1 POST /order id=j1 dest=7 left=5000
         expect n1 POST connection=0
         send n1 200
         expect relay log=Delivered
         close n1 call
         send s1 POST /order id=j2 dest=7 left=5000
         expect n1 POST connection=1          # sent on the other it would count as run
         send n1 200
         expect relay log=Delivered
         expect list nothing 50",
    );
}

#[test]
fn requests_in_one_piece_are_answered_each_and_share_nothing() {
    let post = |id: &str, key: &str| {
        format!(
            "POST_/order_HTTP/1.1|host:_x|x-request-id:_{id}|x-timeout-ms:_9000|x-envelope:_dest=7|{key}content-length:_2||{id}"
        )
    };
    play(
        None,
        &format!(
            "send list n1:7
             send relay start slots=12
             send s1 raw={}{} answers=2
             expect s1 202
             expect s1 202
             expect n1 POST x-request-id=j1 body=j1 idempotency-key=k1
             send n1 200
             expect n1 POST x-request-id=j2 body=j2 !idempotency-key    # on the same connections, both ways
             send n1 200
             expect list nothing 50",
            post("j1", "idempotency-key:_k1|"),
            post("j2", "")
        ),
    );
}

#[test]
fn heads_and_bodies_without_end_are_cut_off_and_others_served_meanwhile() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=POST_/order_HTTP/1.1|host:_x|long:_ flood=400000
         expect s1 431
         expect s1 closed
         send s2 raw=POST_/order_HTTP/1.1|host:_x|x-request-id:_j1|x-timeout-ms:_900|x-envelope:_dest=7|transfer-encoding:_chunked||fffff| flood=400000
         expect s2 413
         expect s2 closed
         send s3 POST /order id=j2 dest=7 left=5000
         expect s3 202
         expect n1 POST body=j2
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn a_message_handed_in_again_under_another_id_is_another_message() {
    play(
        None,
        "send list n1:7
         send relay start slots=12
         send s1 POST /order id=j1 dest=7 left=5000 key=k half=yes
         expect n1 POST x-request-id=j1 idempotency-key=k
         expect s1 closed                     # it leaves without reading its answer
         send s2 POST /order id=j2 dest=7 left=5000 key=k x-retried=again
         expect s2 202
         expect n1 nothing 100                # one call at a time there at first
         send n1 200
         expect n1 POST x-request-id=j2 idempotency-key=k
         send n1 200
         expect n1 nothing 50
         expect list nothing 50",
    );
}

#[test]
fn hundreds_that_say_nothing_or_much_and_go_keep_nobody_out() {
    let mut scenario = String::from(
        "send list n1:7
         send relay start sockets=60          # twenty-four places
         expect relay log=list_of_execute_nodes\n",
    );
    for round in 0..2 {
        // Without room made for others the last would wait for 15 s.
        for guest in 0..150 {
            scenario += &format!("expect s{round}x{guest} nothing 1\n");
        }
        for guest in 0..10 {
            let name = format!("s{round}y{guest}");
            scenario += &format!(
                "send {name} raw=POST_/order_HTTP/1.1|host:_x|content-length:_65000|| flood=60000 half=yes\n"
            );
            scenario += &format!("close {name}\n");
        }
        scenario += &format!(
            "send s{round}z POST /order id=j{round} dest=7 left=9000
             expect s{round}z 202
             expect n1 POST body=j{round}
             send n1 200\n"
        );
    }
    scenario += "expect list nothing 50";
    play(None, &scenario);
}

#[test]
fn sigterm_in_the_middle_of_a_reload_loses_nothing() {
    play(
        None,
        r#"send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 left=20000
         expect s1 202
         expect n1 POST
         send relay hup discovery=list2       # whichever is looked at first
         send relay term
         expect relay log=SIGTERM
         expect relay exit
         send relay start
         expect relay log=recovered=1
         expect relay log=goes_on_from_the_journal_id="j1""#,
    );
}
