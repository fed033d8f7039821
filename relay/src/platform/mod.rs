//! The front for the platform's protocol: serves submitters with actix-http, sends claims and notices with awc.
mod attribution;
mod batch;
pub mod carrier;
mod chunks;
mod connection;
mod node_pool;
mod notices;
pub mod refusing;
mod response_tracker;
pub mod server;

/// The header that passes a job's idempotency key on to the node.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
