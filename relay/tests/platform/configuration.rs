//! The platform's configuration file: errors in it, and reloads.
use crate::scenario::play;

#[test]
fn a_faulty_configuration_names_its_key() {
    play(
        None,
        "send relay start faulty listen=nowhere
         expect relay log=CONFIG:_listen:
         expect relay exit
         send relay start faulty slots=many
         expect relay log=CONFIG:_settings.extra
         expect relay exit
         send relay start faulty disk_mb=0
         expect relay log=CONFIG:_limits.disk
         expect relay exit",
    );
}

#[test]
fn a_reload_moves_notices_and_the_watch_and_drops_nothing() {
    play(
        None,
        "send list n1:7
         send relay start max_open=400
         send s1 POST /notice id=j1 dest=7 timeout=1500
         expect s1 202
         expect n1 POST body=j1
         send relay hup slots=many      # invalid: nothing changes
         expect relay log=SIGHUP:_the_configuration_is_faulty
         send relay hup discovery=list2 max_open=0
         expect relay log=configuration_read_anew
         expect relay log=list_of_execute_nodes
         close list                           # the old server is down
         expect list2 returned id=j1
         send list2 n1:7 n2:8                 # changes come from the new server
         expect relay log=changed
         send s1 POST /notice id=j2 dest=8 timeout=1500
         expect s1 429                        # under the new settings, on the old connection
         expect n2 nothing 50",
    );
}

#[test]
fn a_reload_abandons_a_stalled_watch_for_the_new_discovery_address() {
    play(
        None,
        "send list n1:7
         send relay start
         expect relay log=list_of_execute_nodes
         send list n1:7:HALF
         expect list silent
         send list2 n2:7
         send relay hup discovery=list2
         expect relay log=configuration_read_anew
         expect relay log=list_of_execute_nodes_changed_generation=4    # at once, not when the stalled watch times out
         send s1 POST /notice id=j1 dest=7 timeout=2000
         expect s1 202
         expect n2 POST x-request-id=j1
         send n2 200",
    );
}

#[test]
fn a_message_keeps_the_rules_it_was_accepted_under_through_a_reload_and_a_restart() {
    play(
        None,
        "send list n1:7
         send relay start window=700
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect n1 POST
         send relay hup window=60000          # for messages accepted from now on
         expect relay log=configuration_read_anew
         wait 800                             # its own idempotency window has passed by now
         close n1 connections
         expect relay log=Reset
         expect list returned id=j1
         expect n1 nothing 300
         send s1 POST /order id=j2 dest=7 timeout=9000
         expect n1 POST body=j2
         wait 800
         close n1 connections
         expect n1 POST body=j2
         send n1 200
         expect relay log=Delivered",
    );
    play(
        None,
        "send list n1:7
         send relay start window=700
         send s1 POST /order id=j1 dest=7 timeout=9000
         expect n1 POST
         send relay kill
         expect relay exit
         wait 700
         send relay start window=60000
         expect list returned id=j1
         expect n1 nothing 300",
    );
}

#[test]
fn sigterm_during_a_reload_loses_nothing() {
    play(
        None,
        r#"send list n1:7
         send relay start
         send s1 POST /order id=j1 dest=7 timeout=20000
         expect s1 202
         expect n1 POST
         send relay hup discovery=list2       # whichever signal is handled first
         send relay term
         expect relay log=SIGTERM
         expect relay exit
         send relay start
         expect relay log=recovered=1
         expect relay log=continuing_the_job_from_the_journal_id="j1""#,
    );
}
