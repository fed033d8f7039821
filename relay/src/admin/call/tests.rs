use super::*;

#[test]
fn each_call_has_one_path_and_one_method() {
    let endpoint = |id: &str, disabled| Ok(Call::Endpoint { id: id.into(), disabled });
    let long = format!("/-/endpoints/{}/disable", "x".repeat(201));
    let cases = [
        ("GET", "/-/ready", Ok(Call::Ready)),
        ("GET", "/-/metrics", Ok(Call::Metrics)),
        ("GET", "/-/instances", Ok(Call::Instances)),
        ("GET", "/-/backlog", Ok(Call::Backlog { destination: None })),
        ("GET", "/-/backlog/7", Ok(Call::Backlog { destination: Some(7) })),
        ("GET", "/-/backlog/-7", Err(InvalidCall::Destination)),
        ("GET", "/-/backlog/7/8", Err(InvalidCall::Destination)),
        ("PUT", "/-/backlog", Err(InvalidCall::Method("GET"))),
        ("PUT", "/-/drain", Ok(Call::Drain)),
        ("PUT", "/-/resume", Ok(Call::Resume)),
        ("PUT", "/-/endpoints/s-5be2a07c/disable", endpoint("s-5be2a07c", true)),
        ("PUT", "/-/endpoints/a%20%2Fb/enable", endpoint("a /b", false)),
        ("POST", "/-/drain", Err(InvalidCall::Method("PUT"))),
        ("PUT", "/-/ready", Err(InvalidCall::Method("GET"))),
        ("GET", "/-/endpoints/n1/enable", Err(InvalidCall::Method("PUT"))),
        ("GET", "/ready", Err(InvalidCall::UnknownPath)),
        ("GET", "/-/", Err(InvalidCall::UnknownPath)),
        ("PUT", "/-/endpoints/n1/restart", Err(InvalidCall::UnknownPath)),
        ("PUT", "/-/endpoints/disable", Err(InvalidCall::UnknownPath)),
        ("PUT", "/-/endpoints//disable", Err(InvalidCall::Id("it is empty"))),
        ("PUT", "/-/endpoints/a/b/disable", Err(InvalidCall::Id("it has a slash"))),
        (
            "PUT",
            "/-/endpoints/%4/disable",
            Err(InvalidCall::Id("a percent sign without two hexadecimal digits")),
        ),
        ("PUT", "/-/endpoints/%ff/disable", Err(InvalidCall::Id("it is not UTF-8"))),
        ("PUT", "/-/endpoints/%0a/disable", Err(InvalidCall::Id("it has control characters"))),
        ("PUT", &long, Err(InvalidCall::Id("it is longer than 200 bytes"))),
    ];
    for (method, path, expected) in cases {
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        assert_eq!(Call::parse(&method, path), expected, "{method} {path}");
    }
}
