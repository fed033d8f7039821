//! Scenarios of daily operation over the admin address.
mod scenario;

use scenario::play;

#[test]
fn the_admin_metrics_count_the_outcome_of_each_message() {
    play(
        None,
        "send list n1:7 n2:8:DRAINING
         send relay start
         send a GET /-/ready
         expect a 200
         send a GET /-/metrics
         expect a 200 edge_balancer_handled_total:order:bad_gateway=0 edge_balancer_in_progress=0 edge_balancer_loads_total=1
         send s1 POST /order id=j1 dest=7 timeout=5000 key=k1
         expect s1 202
         expect n1 POST
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=1 edge_balancer_upstream_tries_total=1 edge_balancer_handled_total:order:passed=0
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=7 timeout=5000 key=k2
         expect s1 202
         expect n1 POST
         send n1 410                               # final: withdrawn by its submitter
         expect relay log=Over
         send s1 POST /notice id=j3 dest=99 timeout=5000  # no node serves it
         expect s1 429
         send s1 POST /notice id=j4 dest=8 timeout=400
         expect s1 202
         expect list returned id=j4
         send s1 POST /nosuch id=j5 dest=7 timeout=400
         expect s1 400
         wait 50
         send a GET /-/metrics
         expect a 200 edge_balancer_handled_total:order:passed=1 edge_balancer_handled_total:notice:dropped=2 edge_balancer_handled_total:notice:passed=0 edge_balancer_handled_total:order:dropped=0 edge_balancer_in_progress=0 edge_balancer_upstream_tries_total=2 edge_balancer_known_endpoints=2 edge_balancer_skipped_endpoints=1",
    );
}

// Guards against a delivery that counts only once its answer is certain, and against one that counts twice.
#[test]
fn a_delivery_counts_once_and_at_once_though_its_answer_is_in_doubt_later() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect n1 POST connection=0
         wait 300                             # the next answer is uncertain for twice this long
         send n1 200
         expect relay log=Delivered
         send s1 POST /order id=j2 dest=7 timeout=9000
         expect n1 POST connection=0
         send n1 200
         expect relay log=Delivered
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=0 edge_balancer_handled_total:order:passed=2
         close n1 connections
         expect n1 POST body=j2 connection=1
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=1
         send n1 200
         expect relay log=Delivered
         wait 50
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=0 edge_balancer_handled_total:order:passed=2",
    );
}

#[test]
fn a_recovered_message_is_in_progress_until_it_completes() {
    play(
        None,
        "send list n1:7
         send relay start
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect n1 POST
         send relay kill
         expect relay exit
         send relay start
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=1
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay log=Delivered
         send a GET /-/metrics
         expect a 200 edge_balancer_in_progress=0 edge_balancer_handled_total:notice:passed=1",
    );
}

#[test]
fn configuration_loads_and_errors_are_counted() {
    play(
        None,
        "send list n1:7
         send relay start
         send relay hup
         expect relay log=configuration_read_anew
         send relay hup discovery=list window=x
         expect relay log=nothing_changes
         send a GET /-/metrics
         expect a 200 edge_balancer_loads_total=2 edge_balancer_load_errors_total=1",
    );
}

#[test]
fn invalid_admin_requests_are_refused() {
    play(
        None,
        "send list n1:7
         send relay start
         send a GET /
         expect a 404
         send a POST /-/metrics
         expect a 405 allow=GET
         send a GET /-/drain
         expect a 405 allow=PUT
         send a PUT /-/endpoints/%zz/disable
         expect a 400",
    );
}

#[test]
fn unfinished_admin_requests_do_not_block_others() {
    let unfinished: String = (0..40).map(|n| format!("send a{n} partial\n")).collect();
    play(None, &format!("send list n1:7\nsend relay start\n{unfinished}send a GET /-/ready\nexpect a 200"));
}

#[test]
fn a_disabled_endpoint_gets_nothing_until_it_is_enabled() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start
         expect relay log=list_of_execute_nodes
         send a PUT /-/endpoints/n9/disable
         expect a 404
         send a PUT /-/endpoints/n1/disable
         expect a 200
         send a PUT /-/endpoints/n1/disable
         expect a 200
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         send list n2:8                            # it disappears from the list and returns
         expect relay log=list_of_execute_nodes_changed
         send list n1:7 n2:8
         expect relay log=list_of_execute_nodes_changed
         expect n1 nothing 200
         send a GET /-/metrics
         expect a 200 edge_balancer_known_endpoints=2 edge_balancer_skipped_endpoints=1 edge_balancer_in_progress=1
         send relay kill
         expect relay exit
         send relay start
         expect n1 nothing 200
         send a2 PUT /-/endpoints/n1/enable
         expect a2 200
         expect n1 POST x-request-id=j1
         send n1 200
         expect relay log=Delivered
         send a2 GET /-/metrics
         expect a2 200 edge_balancer_skipped_endpoints=0
         send a2 PUT /-/endpoints/n1/enable
         expect a2 200",
    );
}

#[test]
fn a_drained_relay_is_not_ready_closes_its_client_connections_and_resumes() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=submitters_are_told
         send s1 GET /ready
         expect s1 200
         send s2 GET /ready
         expect s2 200
         send s1 POST /notice id=j1 dest=7 timeout=9000
         expect s1 202
         expect n1 POST
         send a PUT /-/drain
         expect a 200
         send a PUT /-/drain
         expect a 200
         send s3 GET /ready
         expect s3 503 connection=close
         expect s3 closed
         send s1 POST /notice id=j2 dest=7 timeout=9000   # new requests are served all the same
         expect s1 202 connection=close
         expect s1 closed
         expect s2 closed                              # it was idle
         send n1 200
         expect n1 POST x-request-id=j2
         send n1 200
         expect relay log=Delivered
         send a GET /-/ready
         expect a 200
         send a PUT /-/resume
         expect a 200
         send s4 GET /ready
         expect s4 200
         send s4 GET /ready
         expect s4 200
         expect s4 nothing 900",
    );
}
