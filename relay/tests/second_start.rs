//! A second start of the command beside a running relay, which it must not disturb.
mod scenario;

use scenario::{ORDERS_FILE, play};

// Guards against a second start that renames a new file over the running process's journal before it finds the address taken:
// orders were delivered twice, or lost, after the next restart.
#[test]
fn a_second_start_beside_a_push_front_leaves_its_journal_alone() {
    play(
        Some(ORDERS_FILE),
        "send relay start
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send g1 201
         expect relay log=Delivered
         send relay2 start same_address faulty
         expect relay2 exit
         send p POST /order/b ttl=20 body=m2
         expect p 201 to=m2
         expect g1 POST body=m2
         send g1 201
         expect relay log=Delivered
         send p POST /order/c ttl=20 body=m3
         expect p 201 to=m3
         expect g1 POST body=m3
         send g1 503 retry-after=5
         expect relay log=outcome=Full
         send relay term
         expect relay exit
         send relay start same_address
         expect g1 POST body=m3                        # accepted after the second start, and not lost
         send g1 201
         expect relay log=Delivered
         expect g1 nothing 300                         # m1 and m2 ran once
         expect ends nothing 50",
    );
}

// Guards against two processes with one push.state whose addresses differ.
#[test]
fn a_second_start_says_who_uses_the_folder_of_a_push_front() {
    play(
        Some(ORDERS_FILE),
        "send relay start
         send relay2 start faulty
         expect relay2 log=is_in_use_by_process
         expect relay2 exit
         send p POST /order/a ttl=20 body=m1
         expect g1 POST body=m1
         send g1 201
         expect relay log=Delivered",
    );
}

// Guards against a platform front without an admin address that takes no lock.
#[test]
fn a_second_start_beside_a_platform_front_without_an_admin_address_changes_nothing() {
    play(
        None,
        "send list n1:7
         send relay start admin=off
         expect relay log=list_of_execute_nodes
         send s1 POST /order id=j1 dest=7 timeout=20000
         expect s1 202
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay log=Delivered
         send relay2 start admin=off faulty
         expect relay2 log=is_in_use_by_process
         expect relay2 exit
         send s1 POST /order id=j2 dest=7 timeout=20000
         expect s1 202
         expect n1 POST x-request-id=j2
         send n1 503 retry-after=2
         expect relay log=outcome=Full
         send relay kill
         expect relay exit
         send relay start admin=off
         expect n1 POST x-request-id=j2
         send n1 200
         expect relay log=Delivered
         expect n1 nothing 300",
    );
}
