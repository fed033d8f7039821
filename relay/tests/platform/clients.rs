//! Client connections: their limit, and clients that disconnect.
use crate::scenario::play;

#[test]
fn silent_and_idle_connections_are_closed_for_new_ones() {
    let mut scenario = String::from(
        "send list n1:7\nsend relay start sockets=10   # four client connections\nexpect relay log=submitters_are_told\n",
    );
    for client in 0..8 {
        scenario += &format!("expect s{client} nothing 1\n");
    }
    for client in 10..15 {
        scenario += &format!("send s{client} GET /ready\nexpect s{client} 200\n");
    }
    play(None, &scenario);
}

#[test]
fn near_the_connection_limit_responses_close_their_connections() {
    play(
        None,
        "send list n1:7
         send relay start sockets=15          # six client connections
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n1 POST
         send n1 200
         expect s2 nothing 1
         expect s3 nothing 1
         send s4 POST /notice id=j2 dest=7 timeout=2000
         expect s4 202 connection=close
         expect s4 closed
         expect n1 POST body=j2
         send n1 200
         expect s1 nothing 1                  # the others stay open",
    );
}

#[test]
fn clients_that_disconnect_before_their_responses_leak_nothing() {
    let mut scenario = String::from(
        "send list n1:7\nsend relay start max_open=400\nexpect relay log=list_of_execute_nodes\n",
    );
    for client in 0..30 {
        scenario += &format!(
            "send s{client} POST /notice id=j{client} dest=7 timeout=1500 detached=yes\nclose s{client}\n"
        );
    }
    // Messages that were accepted all the same must complete.
    scenario += "send s99 POST /order id=last dest=7 timeout=5000
         expect s99 202
         wait 1800
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress<2";
    play(None, &scenario);
}

#[test]
fn hundreds_of_silent_or_flooding_clients_do_not_block_others() {
    let mut scenario = String::from(
        "send list n1:7
         send relay start sockets=60          # twenty-four client connections
         expect relay log=list_of_execute_nodes\n",
    );
    for round in 0..2 {
        // If silent clients were not closed for others, the last one would wait for 15 s.
        for client in 0..150 {
            scenario += &format!("expect s{round}x{client} nothing 1\n");
        }
        for client in 0..10 {
            let name = format!("s{round}y{client}");
            scenario += &format!(
                "send {name} raw=POST_/order_HTTP/1.1|host:_x|content-length:_65000|| flood=60000 detached=yes\n"
            );
            scenario += &format!("close {name}\n");
        }
        scenario += &format!(
            "send s{round}z POST /order id=j{round} dest=7 timeout=9000
             expect s{round}z 202
             expect n1 POST body=j{round}
             send n1 200\n"
        );
    }
    scenario += "expect list nothing 50";
    play(None, &scenario);
}
