//! The thin front for the platform's protocol: submitters come in over actix-http, claims and notices go out
//! over awc.
mod batch;
pub mod carrier;
mod chunks;
mod line;
pub mod refusing;
pub mod server;

/// The header that passes a job's key through.
const KEY: &str = "idempotency-key";
