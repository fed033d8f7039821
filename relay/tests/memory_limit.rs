//! Clients whose requests take memory, to a relay with the least memory that the pages name and 1,024 descriptors.
mod scenario;

use scenario::play;

const START: &str = "send list n1:7 o1:8
     send relay start sockets=1024 files=1024 memory_mb=32 slots=24
     expect relay log=list_of_execute_nodes";

/// A request of another client: it is served.
fn served(id: &str) -> String {
    format!(
        "send s{id} POST /order id={id} dest=7 timeout=9000
         expect s{id} 202
         expect n1 POST body={id}
         send n1 200"
    )
}

/// Plays clients of which each sends part of a request, until the relay has closed hundreds of them.
fn within_the_limit(clients: &str) {
    play(
        None,
        &format!(
            "{START}
             send m1 {clients}
             expect m1 connected count>299
             {}
             expect m1 closed count>299
             {}
             expect relay measured resident_mb<32
             expect relay never exit",
            served("during"),
            served("after")
        ),
    );
}

#[test]
fn hundreds_of_half_sent_bodies_stay_within_the_memory_limit() {
    within_the_limit("340 body=61440");
}

#[test]
fn hundreds_of_bodies_sent_slowly_stay_within_the_memory_limit() {
    within_the_limit("340 body=61440 per_interval=2048");
}

#[test]
fn hundreds_of_heads_of_short_fields_stay_within_the_memory_limit() {
    within_the_limit("340 fields=80 body=65535");
}

#[test]
fn hundreds_of_heads_with_a_long_field_stay_within_the_memory_limit() {
    within_the_limit("340 field_bytes=127000");
}

/// Plays a client that floods one connection, until `enough` has happened.
fn a_flood(kind: &str, enough: &str) {
    play(
        None,
        &format!(
            "{START}
             send f1 {kind}
             expect f1 {enough}
             {}
             expect relay measured resident_mb<32
             expect relay never exit",
            served("during")
        ),
    );
}

#[test]
fn a_client_that_reads_no_answers_is_read_no_further() {
    a_flood("ready", "blocked");
}

#[test]
fn a_flood_of_unsound_requests_under_new_names_leaves_memory_for_others() {
    a_flood("unsound read=yes", "written kilobytes>500");
}

#[test]
fn a_flood_of_sound_requests_under_new_ids_leaves_memory_for_others() {
    a_flood("orders read=yes", "written kilobytes>250");
}

/// Plays an upgrade beside clients of which each sends part of a request.
fn an_upgrade_within_the_limit(clients: &str) {
    play(
        None,
        &format!(
            "send list n1:7 o1:8
             send relay start passed=yes sockets=1024 memory_mb=64 slots=24
             expect relay log=list_of_execute_nodes
             send m1 {clients}
             expect m1 connected count>299
             wait 500                              # the clients have what the budget gives them
             send relay2 start passed=yes sockets=1024 memory_mb=64 slots=24
             send b GET /-/ready
             expect b 200
             {}
             send relay term
             expect relay2 log=platform_front_is_ready
             {}
             expect relay exit
             expect relay2 measured together_mb<64
             expect relay2 never exit",
            served("during"),
            served("after")
        ),
    );
}

#[test]
fn both_processes_of_an_upgrade_stay_within_one_limit_beside_half_sent_bodies() {
    an_upgrade_within_the_limit("340 body=61440");
}
