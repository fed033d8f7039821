//! The thin front for the platform's protocol: submitters come in over actix-http, claims and notices go out
//! over awc.
pub mod carrier;
mod line;
pub mod server;
