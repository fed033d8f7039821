//! Responses of execute nodes that are malformed, interim, truncated or too long.
use crate::scenario::play;

#[test]
fn malformed_responses_count_as_run_and_close_their_connections() {
    play(
        None,
        "send list n1:7 n2:8 n3:9 n4:10
         send relay start window=500
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_200_OK|content-length:_-5||    # delivered by its status line
         expect relay log=Delivered
         send s1 POST /notice id=j2 dest=7 timeout=5000
         expect n1 POST connection=1
         send n1 raw=noise||                  # an error, and safe to repeat
         expect relay log=Error
         expect n1 POST connection=2
         send n1 raw=HTTP/1.1_200_OK|content-length:_3000000000||and_so_on
         expect relay log=Delivered
         send s1 POST /order id=j3 dest=8 timeout=5000
         expect n2 POST
         wait 600
         send n2 raw=HTTP/1.1_503_no|content-length:_3000000000||ab   # 503 means never ran, but the response is truncated
         expect list returned id=j3           # so it may have run, and its idempotency window has passed
         expect n2 nothing 100
         send s1 POST /order id=j4 dest=9 timeout=5000
         expect n3 POST
         send n3 raw=HTTP/1.1_200_OK|endless: # the rest of the head never arrives
         expect relay log=Delivered
         expect n3 nothing 100",
    );
}

// Guards against attempts that are used up because a requested wait applies only once its answer is certain.
#[test]
fn a_wait_applies_at_once_though_its_answer_is_not_certain() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect n1 POST connection=0
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=7 timeout=9000
         expect n1 POST connection=0
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j3 dest=7 timeout=9000
         expect n1 POST connection=0
         send n1 429 retry-after=1
         expect relay log=status=429
         send s2 POST /order id=j4 dest=7 timeout=9000
         expect s2 202
         expect n1 nothing 400
         expect relay never log=NotSent
         expect n1 POST body=j3
         send n1 200
         expect n1 POST body=j4
         send n1 200
         expect list nothing 50",
    );
}

#[test]
fn interim_responses_are_skipped_and_surplus_bytes_are_no_response() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_103_x|link:_y||HTTP/1.1_100_x||HTTP/1.1_200_x|content-length:_2||ok
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=7 timeout=5000
         expect n1 POST connection=0
         send n1 raw=HTTP/1.1_200_x|content-length:_2||okHTTP/1.1_200_x|content-length:_2||ok
         expect relay log=answer_no_call
         expect n1 POST body=j2 connection=1  # one of the two answers may be j1's: it is sent again, within its window
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j3 dest=7 timeout=5000
         expect n1 POST body=j3 connection=2  # a connection for each call from now on
         send n1 200
         expect n1 nothing 100
         expect list nothing 50",
    );
}

/// Incident 53: a copy of an answer, and the end of the connection right behind it, counted as the delivery of the next call.
#[test]
fn a_late_answer_before_the_end_of_the_connection_leaves_a_reused_connections_call_in_doubt() {
    for (window, end) in [
        // Past its idempotency window it is not sent again, and not lost either.
        (1, "expect list returned id=j2\n expect n1 nothing 100"),
        (
            60000,
            "expect n1 POST body=j2 connection=1\n send n1 200\n expect relay log=Delivered\n expect list nothing 50",
        ),
    ] {
        play(
            None,
            &format!(
                "send list n1:7
                 send relay start window={window}
                 send s1 POST /order id=j1 dest=7 timeout=9000
                 expect n1 POST connection=0
                 send n1 200
                 expect relay log=Delivered
                 send s1 POST /order id=j2 dest=7 timeout=9000
                 expect n1 POST connection=0
                 send n1 200
                 close n1 connections
                 {end}"
            ),
        );
    }
}

#[test]
fn a_truncated_status_line_is_no_response() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start window=1
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect n1 POST
         send n1 raw=HTTP/1.1_200_O
         close n1 connections
         expect relay log=Error
         expect n1 POST                       # may have run, but is safe to repeat
         send n1 200
         send s1 POST /order id=j2 dest=8 timeout=5000
         expect n2 POST
         send n2 raw=HTTP/1.1_503_Ser         # 503 means never ran, but the line is truncated
         close n2 connections
         expect relay log=Error
         expect list returned id=j2           # past its idempotency window
         expect n2 nothing 100",
    );
}

#[test]
fn retry_after_applies_once_the_head_is_read_though_the_body_never_arrives() {
    play(
        None,
        "send list n1:7
         send relay start slots=12
         send s1 POST /notice id=j0 dest=7 timeout=9000
         expect n1 POST body=j0
         send n1 200
         expect relay log=Delivered           # the concurrency window is two now
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST body=j1
         send n1 raw=HTTP/1.1_429_x|retry-after:_1.7|content-length:_50||ab
         wait 50                              # so that the head is read
         send s1 POST /notice id=j2 dest=7 timeout=9000
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
fn a_truncated_response_head_counts_as_run_whatever_its_status() {
    play(
        None,
        "send list n1:7
         send relay start window=1
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect n1 POST
         send n1 raw=HTTP/1.1_503_x|retry-after:_1|
         close n1 connections
         expect relay log=Error
         expect list returned id=j1           # past its idempotency window
         expect n1 nothing 100",
    );
}

#[test]
fn an_answer_whose_head_does_not_end_is_given_up_and_not_kept() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect s1 202
         expect n1 POST body=j1
         send n1 raw=HTTP/1.1_500_x|long:_ flood=20000
         expect relay log=head_is_longer
         expect n1 closed
         expect n1 POST body=j1               # it may be repeated
         send n1 200
         expect relay log=Delivered",
    );
}
