//! Upgrades of a relay with a push front, alone or beside the platform front, with real processes.
mod scenario;

use scenario::{ORDERS_FILE, play};

// Guards against a successor that says that it is ready, takes the platform front over, and ends since the push front's address is
// taken: no process was left, and accepted messages were lost.
#[test]
fn both_fronts_are_taken_over_by_a_successor_that_said_it_was_ready() {
    play(
        Some(ORDERS_FILE),
        "send list n1:7
         send relay start both passed=yes
         expect relay log=list_of_execute_nodes
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1                        # in flight during the upgrade
         send p POST /order/b ttl=20 body=m2
         expect p 201 to=m2
         expect g1 nothing 100                         # queued behind it during the upgrade
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST x-request-id=j1
         send relay2 start both passed=yes same_address
         send b GET /-/ready
         expect b 200
         send relay term
         expect relay2 log=platform_front_is_ready
         expect relay2 log=push_front_is_ready
         send p2 POST /order/c ttl=20 body=m3
         expect p2 201 to=m3
         send g1 201 to=m1                             # its outcome goes from the first process to the second
         expect relay2 log=claim_of_the_previous_process_has_ended
         send n1 200
         expect g1 POST body=m2
         send g1 201 to=m2
         expect g1 POST body=m3
         send g1 201 to=m3
         expect relay exit
         send s2 POST /notice id=j2 dest=7 timeout=9000
         expect s2 202
         expect n1 POST x-request-id=j2
         send n1 200
         expect g1 nothing 300
         expect n1 nothing 50
         expect ends nothing 50
         send c GET /-/metrics
         expect c 200 edge_balancer_fronts_waiting=0 edge_balancer_in_progress=0",
    );
}

// Guards against the same with a push front alone, whose claims and queue move as those of the platform front.
#[test]
fn a_push_front_alone_is_handed_over() {
    play(
        Some(ORDERS_FILE),
        "send relay start admin=on
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send relay2 start admin=on same_address
         send b GET /-/ready
         expect b 200
         send relay term
         expect relay2 log=push_front_is_ready
         expect g1 nothing 300                         # in flight at the first process, and not sent again
         send p2 POST /order/b ttl=20 body=m2
         expect p2 201 to=m2
         expect g1 POST body=m2
         send g1 201 to=m2
         send g1 201 to=m1
         expect relay2 log=claim_of_the_previous_process_has_ended
         expect relay exit
         expect g1 nothing 300
         expect ends nothing 50",
    );
}

// Guards against a successor of a version that does not lock the push front's folder: only its address shows that it runs.
#[test]
fn a_push_front_whose_address_is_taken_waits_while_the_platform_front_serves() {
    play(
        Some(ORDERS_FILE),
        "send list n1:7
         send relay start both passed=yes
         expect relay log=list_of_execute_nodes
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send relay2 start both passed=yes same_address own_folder
         send b GET /-/ready
         expect b 200
         send c GET /-/metrics
         expect c 200 edge_balancer_fronts_waiting=2
         send relay term
         expect relay2 log=platform_front_is_ready
         send s2 POST /notice id=j2 dest=7 timeout=9000
         expect s2 202
         expect n1 POST x-request-id=j2
         send n1 200
         send g1 201 to=m1
         expect relay exit
         expect relay2 log=push_front_is_ready
         send p2 POST /order/b ttl=20 body=m2
         expect p2 201 to=m2
         expect g1 POST body=m2
         send g1 201 to=m2
         expect relay2 log=Delivered
         expect g1 nothing 300",
    );
}

// Guards against a yes to a drain that drains nobody since the process has a push front only, also behind an upgrade.
#[test]
fn a_drained_push_front_ends_its_connections_and_stays_drained_over_an_upgrade() {
    play(
        Some(ORDERS_FILE),
        "send relay start admin=on
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send a PUT /-/drain
         expect a 200
         expect p closed                               # by GOAWAY
         send p2 POST /order/b ttl=20 body=m2          # new requests are served all the same
         expect p2 201 to=m2
         expect p2 closed
         send relay2 start admin=on same_address
         send b GET /-/ready
         expect b 200
         send relay term
         expect relay2 log=push_front_is_ready
         send p3 POST /order/c ttl=20 body=m3
         expect p3 201 to=m3
         expect p3 closed
         send b PUT /-/resume
         expect b 200
         send p4 POST /order/d ttl=20 body=m4
         expect p4 201 to=m4
         wait 900
         expect p4 never closed",
    );
}

// Guards against a drain that ends the connections of one front only, and a drain or resume that the second front undoes as it opens.
#[test]
fn both_fronts_are_drained_and_resumed_together_over_an_upgrade() {
    play(
        Some(ORDERS_FILE),
        "send list n1:7
         send relay start both passed=yes
         expect relay log=submitters_are_told
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send a PUT /-/drain
         expect a 200
         expect p closed
         send relay2 start both passed=yes same_address
         send b GET /-/ready
         expect b 200
         send relay term
         expect relay2 log=platform_front_is_ready
         expect relay2 log=push_front_is_ready
         send s1 GET /ready
         expect s1 503
         send p2 POST /order/b ttl=20 body=m2
         expect p2 201 to=m2
         expect p2 closed
         send a PUT /-/resume
         expect a 503
         send b PUT /-/resume
         expect b 200
         send s2 GET /ready
         expect s2 200
         send p3 POST /order/c ttl=20 body=m3
         expect p3 201 to=m3
         wait 900
         expect p3 never closed",
    );
}
