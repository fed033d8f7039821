//! Client requests: valid, invalid and endless ones.
use crate::scenario::play;

#[test]
fn invalid_requests_are_refused_and_do_not_affect_others() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=GARBAGE||
         expect s1 400
         send s2 POST /order dest=7 timeout=2000          # no id
         expect s2 400
         send s2 POST /nosuch id=j1 dest=7 timeout=2000
         expect s2 400
         send s2 POST /order id=j2 dest=7 timeout=-3
         expect s2 400
         send s2 POST /order id=j3 dest=7 timeout=99999999999999999999
         expect s2 400
         send s2 POST /order id=j4 dest=seven timeout=2000
         expect s2 400
         send s2 POST /order id=j5 timeout=2000
         expect s2 400
         send s2 GET /order
         expect s2 404
         send s3 POST /order id=j6 dest=7 timeout=2000 size=70000
         expect s3 413
         send s4 POST /order id=j7 dest=7 timeout=2000
         expect s4 202
         expect n1 POST x-request-id=j7
         send n1 200
         expect n1 nothing 50",
    );
}

#[test]
fn partial_requests_and_silent_connections_time_out() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 raw=POST_/order_HTTP/1.1|host:_x|
         send s2 raw=POST_/order_HTTP/1.1|host:_x|content-length:_9||abc
         expect s3 nothing 1
         send s4 POST /order id=j1 dest=7 timeout=2000
         expect s4 202
         expect n1 POST
         send n1 200
         expect s1 closed
         expect s2 400                        # the relay stopped waiting for the rest of its body
         expect s3 closed
         expect s4 closed                     # the idle timeout",
    );
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
fn pipelined_requests_are_answered_separately_and_share_no_state() {
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
             expect n1 POST x-request-id=j2 body=j2 !idempotency-key    # on the same client and node connections
             send n1 200
             expect list nothing 50",
            post("j1", "idempotency-key:_k1|"),
            post("j2", "")
        ),
    );
}

#[test]
fn endless_heads_and_bodies_are_cut_off_while_others_are_served() {
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
         send s3 POST /order id=j2 dest=7 timeout=5000
         expect s3 202
         expect n1 POST body=j2
         send n1 200
         expect n1 nothing 50",
    );
}
