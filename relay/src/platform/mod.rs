//! The thin front for the platform's protocol: submitters come in over actix-http, claims and notices go out
//! over awc.
mod batch;
pub mod carrier;
mod chunks;
mod line;
pub mod server;
