//! Scenarios for the push front: submitters and gateways over HTTP/2 (RFC 8030).
mod scenario;

use scenario::play;

const FILE: &str = r#"
[push]
listen = "127.0.0.1:0"
notices = "ends"
state = "FOLDER/push"
body_limit = 100

[[class]]
name = "order"
aim_ms = 4000
give_up_ms = 28000
repeat = "never"
worth = 2.0

[[class]]
name = "notice"
aim_ms = 1000
give_up_ms = 6000
repeat = "safe"

[[upstream]]
name = "apps"
rate = 200.0
server = [{ address = "g1" }]

[[upstream]]
name = "shops"
rate = 200.0
server = [{ address = "g2" }]

[[location]]
path = "/push/"
target = "/p/"
upstream = "apps"
class = "notice"

[[location]]
path = "/order/"
upstream = "shops"
class = "order"

[[location]]
path = "/apporder/"
upstream = "apps"
class = "order"
"#;

fn push(scenario: &str) {
    play(Some(FILE), scenario);
}

#[test]
fn a_push_message_is_accepted_and_delivered_unchanged() {
    push(
        "send relay start
         send p POST /push/abc?x=1 ttl=5 topic=t1 urgency=high authorization=vapid content-encoding=aes128gcm body=m1
         expect p 201 to=m1 ttl=5 location=*
         expect g1 POST path=/p/abc body=m1 topic=t1 urgency=high authorization=vapid content-encoding=aes128gcm ttl<6
         send g1 201
         expect relay log=Delivered
         send p POST /push/abc ttl=0 prefer=respond-async body=m2
         expect p 202 to=m2 ttl=0
         expect g1 POST body=m2 ttl=0
         send g1 201
         send p POST /push/abc ttl=99999999999999999999999 body=m3
         expect p 201 to=m3 ttl=6             # no longer than the class's give_up_ms
         expect g1 POST body=m3
         send g1 204
         expect ends nothing 200
         expect g1 nothing 50",
    );
}

#[test]
fn invalid_push_requests_are_refused_with_their_status() {
    push(
        "send relay start
         send p POST /push/abc body=m1
         expect p 400 to=m1
         send p POST /push/abc ttl=-1 body=m2
         expect p 400 to=m2
         send p POST /nowhere ttl=1 body=m3
         expect p 404 to=m3
         send p GET /push/abc ttl=1
         expect p 405 allow=POST
         send p GET /message/none
         expect p 404
         send p POST /push/abc ttl=1 body=0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789x
         expect p 413
         send p POST /push/abc ttl=2 body=m4
         expect p 201 to=m4
         expect g1 POST body=m4
         send g1 201",
    );
}

#[test]
fn a_final_gateway_response_ends_the_job_with_its_status() {
    push(
        "send relay start
         send p POST /push/a ttl=5 body=m1
         expect g1 POST body=m1
         send g1 410
         expect ends failed status=410
         send p POST /push/b ttl=5 body=m2
         expect g1 POST body=m2
         send g1 404
         expect ends failed status=404
         send p POST /push/c ttl=5 body=m3
         expect g1 POST body=m3
         send g1 413
         expect ends failed status=413
         expect g1 nothing 100",
    );
}

#[test]
fn nothing_is_sent_while_a_gateway_asks_to_wait() {
    push(
        "send relay start
         send p POST /push/a ttl=6 body=m1
         expect g1 POST body=m1
         send g1 429 retry-after=1
         expect relay log=Full
         send p POST /push/b ttl=6 body=m2
         expect p 201 to=m2
         expect g1 nothing 800
         expect g1 POST
         send g1 201
         expect g1 POST
         send g1 201",
    );
}

#[test]
fn messages_that_cannot_be_delivered_in_time_are_refused_or_returned() {
    push(
        "send relay start
         send p POST /push/a ttl=6 body=m1
         expect g1 POST body=m1
         expect g1 cancelled body=m1          # at the tightest aim, while no latency is measured
         expect g1 POST body=m1
         wait 1200
         send g1 201 to=m1
         expect relay log=Delivered
         send p POST /push/b ttl=1 body=m2    # a call to it takes 1.2 s
         expect p 429 to=m2 retry-after>1
         send p POST /push/c ttl=2 body=m3
         expect p 201 to=m3
         expect g1 POST body=m3
         expect ends returned after_ms>0
         expect g1 nothing 100",
    );
}

#[test]
fn an_order_whose_stream_is_reset_is_never_sent_again() {
    // 7 is REFUSED_STREAM, 8 CANCEL, 2 INTERNAL_ERROR: a gateway that resets at random uses any of them for requests that
    // it has processed.
    push(
        "send relay start
         send p POST /order/a ttl=9 body=m1
         expect g2 POST body=m1
         send g2 reset=7
         expect ends failed
         send p POST /order/b ttl=9 body=m2
         expect g2 POST body=m2
         send g2 reset=8
         expect ends failed
         send p POST /order/c ttl=9 body=m3
         expect g2 POST body=m3
         send g2 reset=2
         expect ends failed
         send p POST /order/d ttl=9 body=m4
         expect g2 POST body=m4
         close g2 connections                 # nor is one whose connection breaks
         expect ends failed
         expect g2 nothing 500
         send p POST /push/a ttl=5 body=m5
         expect g1 POST body=m5
         send g1 reset=7
         expect g1 POST body=m5               # safe to repeat
         send g1 201
         expect ends nothing 100",
    );
}

#[test]
fn a_gateway_that_allows_one_stream_gets_one_on_each_connection() {
    // Two upstreams at one address and jobs from the journal, so that two claims are sent on a new connection at once, before
    // its SETTINGS announce the stream limit.
    let file = FILE.replace("\"g1\"", "\"g3\"").replace("\"g2\"", "\"g3\"");
    play(
        Some(&file),
        "send relay start drain=g3
         send p POST /order/a ttl=9 body=m1
         expect p 201 to=m1
         send p POST /apporder/a ttl=9 body=m2
         expect p 201 to=m2
         send relay kill
         expect relay exit
         send relay start
         expect g3 POST body=m1
         expect g3 POST body=m2               # not queued behind the other, which has no response yet
         send g3 201 to=m1
         send g3 201 to=m2
         expect ends nothing 100",
    );
}

#[test]
fn a_gateway_that_resets_at_random_sees_no_order_twice() {
    let mut scenario = String::from("send relay start\n");
    let mut random = 7_u32;
    for order in 0..40 {
        // A quarter of the streams is reset, with any code; the sequence is the same in each run.
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let reset = (random >> 24).is_multiple_of(4);
        let answer = if reset { format!("reset={}", (random >> 16) % 14) } else { "201".into() };
        let notice = if reset { "expect ends failed\n" } else { "" };
        scenario += &format!(
            "send p POST /order/x ttl=20 body=o{order}
             expect g2 POST body=o{order}
             send g2 {answer}
             {notice}"
        );
    }
    scenario += "expect g2 nothing 1000\nexpect ends nothing 50";
    push(&scenario);
}

#[test]
fn a_goaway_with_twenty_streams_open_keeps_the_lower_ones_and_repeats_the_others() {
    // The concurrency window grows by one for each success while it is full: up to twenty, then twenty calls at once.
    let mut scenario = String::from("send relay start\n");
    for wave in 1..=20 {
        for call in 0..wave {
            // One after the other, so that stream ids are in the order of the calls.
            scenario += &format!("send p POST /order/x ttl=20 body=w{wave}.{call}\n");
            scenario += &format!("expect g2 POST body=w{wave}.{call}\n");
        }
        if wave < 20 {
            for call in 0..wave {
                scenario += &format!("send g2 201 to=w{wave}.{call}\n");
            }
        }
    }
    // Streams 1, 3, 5 ...: 190 precede the last twenty, the tenth of which is 399.
    scenario += "send g2 goaway=399\n";
    for call in 10..20 {
        scenario += &format!("expect g2 POST body=w20.{call} stream<50\n"); // on a new connection
    }
    scenario += "send g2 201 to=w20.0\n"; // streams up to the last id continue
    for call in 10..20 {
        scenario += &format!("send g2 201 to=w20.{call}\n");
    }
    scenario += "expect ends nothing 100
         close g2 connections                 # and fail with the connection: they may have run
         ";
    for _ in 1..10 {
        scenario += "expect ends failed\n";
    }
    scenario += "expect g2 nothing 300\nexpect ends nothing 50";
    push(&scenario);
}

#[test]
fn a_draining_gateway_gets_nothing_new_after_the_reload() {
    push(
        "send relay start
         send p POST /order/a ttl=9 body=m1
         expect g2 POST body=m1
         send relay hup drain=g2
         expect relay log=read_anew
         send g2 201 to=m1                    # it completes what is in flight
         expect relay log=Delivered
         send p POST /order/b ttl=2 body=m2
         expect p 201 to=m2
         expect ends returned after_ms>0
         expect g2 nothing 50
         send relay hup limit=4
         expect relay log=read_anew
         send p POST /order/c ttl=9 body=large
         expect p 413                         # the whole file is reloaded; the connection stays open
         send p POST /order/c ttl=9 body=m3
         expect g2 POST body=m3
         send g2 201",
    );
}

#[test]
fn a_plug_in_refuses_shortens_and_ends_but_breaks_no_rule() {
    let file = format!("{FILE}\n[hook]\nscript = \"FOLDER/hook.rhai\"");
    play(
        Some(&file),
        "send relay start
         send p POST /push/a ttl=5 body=123456789
         expect p 429 to=123456789 retry-after=7
         send p POST /push/a ttl=5 body=1234567
         expect g1 POST body=1234567
         expect ends returned                 # after 0.3 s, not 5
         send p POST /push/a ttl=5 body=12345
         expect p 201 to=12345                # the script fails; the job continues
         expect relay log=script_failed
         expect g1 POST body=12345
         send g1 500
         expect ends returned after_ms>0      # refused by the script: safe to submit again
         expect g1 nothing 200
         send p POST /order/a ttl=9 body=m1
         expect g2 POST body=m1
         send g2 500
         expect ends failed                   # the script refuses it, but it may have run
         expect g2 nothing 100
         send p POST /push/a ttl=5 body=m2
         expect g1 POST body=m2
         send g1 429 retry-after=3
         expect ends returned                 # shortened to 0.2 s: it does not wait for the gateway
         expect g1 nothing 100",
    );
}

#[test]
fn push_messages_survive_a_kill() {
    push(
        "send relay start
         send p POST /order/a ttl=20 body=m1
         expect p 201 to=m1
         expect g2 POST body=m1
         send p POST /push/b ttl=6 body=m2
         expect p 201 to=m2
         expect g1 POST body=m2
         send relay kill
         expect relay exit
         send relay start
         expect relay log=recovered=2
         expect ends failed                   # the order was in flight: it may have run
         expect g1 POST body=m2 ttl<6
         send g1 201
         expect g2 nothing 200",
    );
}

#[test]
fn a_topic_replaces_queued_messages_but_not_those_in_flight() {
    push(
        "send relay start
         send p POST /apporder/a ttl=20 topic=t body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send p POST /apporder/a ttl=20 topic=t body=m2     # m1 is in flight: no second copy, no notice
         expect p 201 to=m2
         send p POST /apporder/a ttl=20 topic=t body=m3
         expect p 201 to=m3
         expect ends replaced
         send p POST /apporder/b ttl=20 topic=t body=m4     # another resource
         expect p 201 to=m4
         expect ends nothing 200
         send g1 201 to=m1
         expect g1 POST body=m3
         send g1 201 to=m3
         expect g1 POST body=m4
         send g1 201 to=m4
         expect g1 nothing 200
         expect ends nothing 50",
    );
}

#[test]
fn a_message_that_fails_in_flight_is_not_sent_again_once_it_is_replaced() {
    push(
        "send relay start
         send p POST /push/a ttl=5 topic=t body=m1
         expect p 201 to=m1
         expect g1 POST body=m1
         send p POST /push/a ttl=5 topic=t body=m2
         expect p 201 to=m2
         send g1 500 to=m1
         expect ends replaced
         expect g1 POST body=m2
         send g1 201 to=m2
         expect g1 nothing 300",
    );
}

#[test]
fn invalid_topics_and_urgencies_are_refused_with_the_field_named() {
    push(
        "send relay start
         send p POST /push/a ttl=5 urgency=utmost body=m1
         expect p 400 to=m1 content-type=application/problem+json
         expect relay log=field=\"urgency\"
         send p POST /push/a ttl=5 topic=a.b body=m2
         expect p 400 to=m2
         expect relay log=field=\"topic\"
         send p POST /push/a ttl=5 urgency=very-low topic=a_b body=m3
         expect p 201 to=m3
         expect g1 POST body=m3 urgency=very-low
         send g1 201",
    );
}
