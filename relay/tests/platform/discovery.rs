//! The list of execute nodes: watched, pushed, silent, down and back.
use crate::scenario::play;

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
        "send list n1:7
         send relay start must_ask=60         # a fifth of a minute would be twelve seconds
         expect relay log=list_of_execute_nodes
         expect relay log=calling_discovery_held=Some(2)_wait=1ms
         expect relay log=calling_discovery_held=Some(2)_wait=1s
         send list n1:7
         send relay kill
         send relay start must_ask=2
         expect relay log=calling_discovery_held=Some(3)_wait=400ms",
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
         expect relay log=calling_discovery_held=Some(2)
         send list n1:7 n2:8
         expect relay log=list_of_execute_nodes_changed
         send s1 POST /notice id=j1 dest=8 left=2000
         expect s1 202
         expect n2 POST
         send n2 200",
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
         expect relay log=list_of_execute_nodes_changed_generation=3
         send s1 POST /notice id=j2 dest=8 left=2000
         expect s1 202
         expect n2 POST
         send n2 200
         expect list nothing 50",
    );
}
