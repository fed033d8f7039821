//! Hook scripts that take long, with the real program.
mod scenario;

use scenario::play;

// Guards against a script that loops on one partner's messages and stops the whole relay: another partner's messages were lost.
#[test]
fn a_script_that_loops_on_one_partners_messages_holds_up_no_other() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start slow_hook
         expect relay log=list_of_execute_nodes
         send s1 POST /notice id=a1 dest=7 timeout=5000
         expect s1 202
         expect n1 POST x-request-id=a1
         send s2 POST /order id=b1 dest=8 timeout=20000
         send s3 POST /order id=b2 dest=8 timeout=20000
         send s4 POST /order id=b3 dest=8 timeout=20000
         send s5 POST /notice id=a2 dest=7 timeout=5000
         send n1 200                                   # a1, whose relay goes on while the script loops
         expect s5 202
         expect n1 POST x-request-id=a2
         send n1 200
         expect s2 202                                 # the script's decision is not waited for
         expect s3 202
         expect s4 202
         expect relay log=ran_over_its_time
         expect n2 POST
         send n2 200
         send c GET /-/metrics
         expect c 200 edge_balancer_hook_threads_over_time=0
         expect list nothing 300                       # nothing was ended by a notice",
    );
}

// Guards against a shutdown or an upgrade that waits for a script.
#[test]
fn an_upgrade_while_a_script_loops_loses_nothing() {
    play(
        None,
        "send list n1:7 n2:8
         send relay start slow_hook passed=yes
         expect relay log=list_of_execute_nodes
         send relay2 start slow_hook passed=yes
         send s1 POST /order id=b1 dest=8 timeout=20000
         send relay term
         expect relay2 log=platform_front_is_ready
         expect s1 202
         expect n2 POST x-request-id=b1
         send n2 200
         expect relay exit
         expect relay2 log=Delivered
         expect n2 nothing 300
         expect list nothing 50",
    );
}
