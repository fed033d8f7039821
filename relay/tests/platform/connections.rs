//! Connections to execute nodes.
use crate::scenario::play;

#[test]
fn idle_connections_are_closed_before_the_node_closes_them() {
    play(
        None,
        "send list n1:7
         send relay start idle=1000
         send s1 POST /notice id=j1 dest=7 timeout=5000
         expect n1 POST connection=0
         send n1 200
         expect n1 closed connection=0
         send s1 POST /notice id=j2 dest=7 timeout=5000
         expect n1 POST connection=1
         send n1 200",
    );
}

#[test]
fn a_connection_established_after_its_message_was_rerouted_sends_nothing() {
    play(
        None,
        "send list x1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=6000
         expect s1 202
         expect relay log=connecting
         send list n1:7 x1:7:DRAINING
         expect relay log=Unconnected
         expect n1 POST body=j1
         send x1 open                         # the system repeats the handshake a second later
         send n1 200
         expect relay log=Delivered
         expect x1 nothing 1200",
    );
}

#[test]
fn an_idle_connection_that_the_node_closed_is_not_used() {
    play(
        None,
        "send list n1:7
         send relay start window=1
         send s1 POST /order id=j1 dest=7 timeout=5000
         expect n1 POST connection=0
         send n1 200
         expect relay log=Delivered
         close n1 connections
         send s1 POST /order id=j2 dest=7 timeout=5000
         expect n1 POST connection=1          # sent on the closed connection it would count as run
         send n1 200
         expect relay log=Delivered
         expect list nothing 50",
    );
}
