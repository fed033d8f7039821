//! The second front: submitters and push gateways over HTTP/2, by RFC 8030.
pub mod gateways;
pub mod pool;
pub mod server;

/// Fields of a job that are not headers of the message.
const PATH: &str = ":path";
const TTL: &str = "ttl";
const TOPIC: &str = "topic";
