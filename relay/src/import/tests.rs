use super::*;

const NGINX: &str = r#"
worker_processes 2;            # line 2
http {
    client_max_body_size 8k;
    upstream apps {
        least_conn;            # line 6
        server 127.0.0.1:9001 weight=3;
        server 127.0.0.1:9002 down;
        server 127.0.0.1:9003 backup;
    }
    server {
        listen 127.0.0.1:8090 http2;
        location /push/ {
            proxy_pass http://apps/p/;
            proxy_connect_timeout 700ms;
            proxy_set_header X-A "a; {b}";   # line 16
        }
        location = /one { proxy_pass http://127.0.0.1:9100; }
        location ~ \.php$ { proxy_pass http://apps; }
        location /tls/ { proxy_pass https://apps; }
        location /var/ { proxy_pass http://${host}; }
    }
}
"#;

#[test]
fn upstreams_and_locations_are_imported_into_a_valid_file() {
    let (text, diagnostics) = import_text(NGINX).expect("valid input");
    let push = crate::config::parse_relay_config(&text).expect("a valid file").push.expect("a push front");
    assert_eq!(push.listen, "127.0.0.1:8090".parse().expect("an address"));
    assert_eq!(push.body_limit, 8192);
    assert_eq!(push.rules.dial_timeout(), Duration::from_millis(700));
    let paths: Vec<_> =
        push.locations.iter().map(|l| (l.path.as_str(), l.target.as_str(), l.exact)).collect();
    assert_eq!(paths, [("/push/", "/p/", false), ("/one", "/one", true)]);
    let nodes = push.gateways.chunk(0);
    let nodes: Vec<_> = nodes.iter().map(|n| (&*n.host_port, n.lifecycle)).collect();
    use crate::list::Lifecycle::*;
    assert_eq!(
        nodes,
        [("127.0.0.1:9001", Serving), ("127.0.0.1:9002", Draining), ("127.0.0.1:9100", Serving)]
    );
    // One diagnostic per directive that was not imported, with its line; then those about the whole file.
    let lines: Vec<_> = diagnostics.iter().map(|r| r.line).collect();
    assert_eq!(lines, [2, 6, 7, 9, 16, 19, 20, 21, 0, 0]);
}

#[test]
fn invalid_input_is_rejected_with_its_line() {
    let cases = [
        ("http {\nupstream a {\nserver b;\n}", 1),
        ("a b\n}", 1),
        ("a;\n}", 2),
        ("a;\n;", 2),
        ("a \"b\nc", 1),
        ("http {\nlisten 1\n}", 2),
        ("a", 1),
    ];
    for (text, line) in cases {
        assert_eq!(import_text(text).err().map(|r| r.line), Some(line), "{text}");
    }
    assert!(import_text(&"a {".repeat(100_000)).is_err());
    assert!(import_text("events {}").is_err_and(|r| r.line == 0));
}

#[test]
fn sizes_times_and_ports_follow_nginx_notation() {
    assert_eq!(
        [parse_size("10"), parse_size("2k"), parse_size("1M"), parse_size("0"), parse_size("x")],
        [Some(10), Some(2048), Some(1 << 20), None, None]
    );
    assert_eq!(parse_duration("90"), Some(Duration::from_secs(90)));
    assert_eq!(parse_duration("2m"), Some(Duration::from_secs(120)));
    assert_eq!([with_port("a"), with_port("a:81"), with_port("[::1]")], ["a:80", "a:81", "[::1]:80"]);
}
