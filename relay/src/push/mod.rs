//! The push front: submitters and push gateways use HTTP/2 (RFC 8030).
pub mod gateways;
pub mod pool;
pub mod server;
mod submitter_connection;

/// Names of the job fields that this module interprets: the target path, the TTL and the topic.
const PATH: &str = ":path";
const TTL: &str = "ttl";
const TOPIC: &str = "topic";
