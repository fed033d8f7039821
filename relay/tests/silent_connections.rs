//! Thousands of clients that connect and send nothing, or a partial request line, to a relay with half of the usual limits.
//!
//! The system limits the relay's descriptors to the configured number of sockets: if clients took descriptors that are
//! reserved for endpoints and notices, calls would fail.
mod scenario;

use scenario::play;

/// Half of the usual 1024 sockets and 2048 MB.
const START: &str = "send relay start sockets=512 files=512 memory_mb=1024 slots=24";
/// What is checked at the end. The memory bound of 100 MB is far below the limit of 1024 MB: two fifths of the sockets are for
/// clients, each of which may buffer a head of 128 KiB in a buffer of twice that size.
const BOUNDS: &str = "expect relay measured descriptors<513 resident_mb<1025
     expect relay measured resident_mb<100
     expect relay never log=cannot_accept_a_connection
     expect relay never exit";

/// Calls to twelve endpoints, whose connections are idle afterwards, and the notice of a message that no node answers.
fn calls_and_a_notice(name: &str) -> String {
    let mut scenario = String::new();
    for node in 1..=12 {
        scenario += &format!(
            "send s{name}x{node} POST /order id={name}x{node} dest={node} timeout=25000
             expect s{name}x{node} 202
             expect n{node} POST body={name}x{node}
             send n{node} 200\n"
        );
    }
    scenario += &format!(
        "send s{name}y POST /notice id={name}y dest=13 timeout=700
         expect s{name}y 202
         expect list id={name}y               # returned, or failed on a slow machine\n"
    );
    scenario
}

fn endpoints() -> String {
    (1..=13).map(|node| format!(" n{node}:{node}")).collect()
}

#[test]
fn thousands_of_silent_clients_leave_descriptors_for_calls_and_notices() {
    let scenario = format!(
        "send list{}
         {START}
         expect relay log=list_of_execute_nodes
         send m1 1000
         expect m1 closed count>499
         {}
         send m1 1000
         expect m1 closed count>1499
         {}
         {BOUNDS}",
        endpoints(),
        calls_and_a_notice("a"),
        calls_and_a_notice("b")
    );
    play(None, &scenario);
}

#[test]
fn a_thousand_partial_request_lines_leave_memory_and_descriptors_for_others() {
    let scenario = format!(
        "send list{}
         {START}
         expect relay log=list_of_execute_nodes
         send m1 1000 partial_line=100000
         expect m1 closed count>199
         expect m1 closed count>399
         {}
         {BOUNDS}",
        endpoints(),
        calls_and_a_notice("a")
    );
    play(None, &scenario);
}

#[test]
fn the_relay_serves_after_discovery_returns_despite_thousands_of_silent_clients() {
    let scenario = format!(
        "send list{}
         {START}
         expect relay log=list_of_execute_nodes
         close list
         expect relay log=discovery_cannot_be_followed
         send m1 1000
         expect m1 closed count>499
         send m1 1000
         expect m1 closed count>1499
         expect relay never exit
         send list{} n14:14
         expect relay log=list_of_execute_nodes
         send s POST /order id=j dest=14 timeout=25000
         expect s 202
         expect n14 POST body=j
         send n14 200
         {}
         {BOUNDS}",
        endpoints(),
        endpoints(),
        calls_and_a_notice("a")
    );
    play(None, &scenario);
}

#[test]
fn the_relay_serves_once_discovery_first_answers_despite_thousands_of_silent_clients() {
    let scenario = format!(
        "close list
         {START}
         expect relay log=discovery_cannot_be_followed
         send m1 1000
         expect m1 closed count>499
         send m1 1000
         expect m1 closed count>1499
         expect relay never exit
         send list{}
         expect relay log=list_of_execute_nodes
         {}
         {BOUNDS}",
        endpoints(),
        calls_and_a_notice("a")
    );
    play(None, &scenario);
}
