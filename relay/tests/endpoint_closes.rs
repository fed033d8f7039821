//! Resets by an endpoint during a call and long after: what counts as run, and what is sent again.
//!
//! The endpoint forces the order: it reads a part of the call and then resets. Closes before the last byte of a call is written
//! are covered by `relay/src/platform/carrier/tests.rs`, because over a real connection the system buffers a whole call at
//! once.
mod scenario;

use scenario::play;

/// A connection to n1 that is idle after a delivery.
const IDLE_CONNECTION: &str = "send s POST /notice id=j0 dest=7 timeout=9000
     expect n1 POST connection=0
     send n1 200
     expect relay log=Delivered";

/// A reset after the endpoint has read `bytes` of a call on an idle connection.
fn reset_within_a_call(bytes: usize) {
    // Past its idempotency window the claim is not repeated: it may have run.
    let scenario = format!(
        "send list n1:7
         send relay start window=1
         {IDLE_CONNECTION}
         close n1 after={bytes}
         send s POST /order id=j1 dest=7 timeout=9000 size=4000
         expect s 202
         expect n1 partial
         expect relay log=Reset
         expect list returned id=j1
         expect n1 nothing 300"
    );
    play(None, &scenario);
    // Within the window, and where a repeat is safe, it is.
    for (class, window) in [("order", 60000), ("notice", 1)] {
        let scenario = format!(
            "send list n1:7
             send relay start window={window}
             {IDLE_CONNECTION}
             close n1 after={bytes}
             send s POST /{class} id=j1 dest=7 timeout=5000 size=4000
             expect s 202
             expect n1 partial
             expect relay log=Reset
             expect n1 POST x-request-id=j1 size=4000 connection=1
             send n1 200
             expect relay log=Delivered
             expect n1 nothing 100
             expect list nothing 50"
        );
        play(None, &scenario);
    }
}

#[test]
fn a_reset_within_the_head_of_a_call_that_was_written_counts_as_run() {
    reset_within_a_call(40);
}

#[test]
fn a_reset_within_the_body_of_a_call_that_was_written_counts_as_run() {
    reset_within_a_call(2000);
}

/// A call so slow that the relay waits for the next one, on the same connection, for seconds.
const SLOW_CALL: &str = "send s POST /notice id=j0 dest=7 timeout=9000
     expect n1 POST connection=0
     wait 600
     send n1 200
     expect relay log=Delivered";

#[test]
fn a_reset_long_after_the_last_byte_of_a_call_counts_as_run() {
    let reset_after_wait = |window: u32, end: &str| {
        let scenario = format!(
            "send list n1:7
             send relay start window={window}
             {SLOW_CALL}
             send s POST /order id=j1 dest=7 timeout=20000
             expect s 202
             expect n1 POST body=j1 connection=0
             wait 1000                        # the call is in flight without a response
             close n1 reset
             expect relay log=Reset
             {end}"
        );
        play(None, &scenario);
    };
    // Past its idempotency window by then.
    reset_after_wait(500, "expect list returned id=j1\nexpect n1 nothing 300");
    reset_after_wait(
        60000,
        "expect n1 POST body=j1 connection=1
         send n1 200
         expect relay log=Delivered
         expect n1 nothing 100
         expect list nothing 50",
    );
}

#[test]
fn a_reset_of_a_long_idle_connection_loses_nothing() {
    let scenario = format!(
        "send list n1:7
         send relay start window=1
         {IDLE_CONNECTION}
         wait 2500
         close n1 reset
         send s POST /order id=j1 dest=7 timeout=9000
         expect s 202
         expect n1 POST body=j1 connection=1
         send n1 200
         expect relay log=Delivered
         expect relay never log=Reset
         expect relay never log=Unconnected
         expect list nothing 50"
    );
    play(None, &scenario);
}
