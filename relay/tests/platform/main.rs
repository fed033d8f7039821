//! Scenarios for the platform front.
mod admission;
mod answers;
mod batch;
mod clients;
mod configuration;
mod connections;
mod delivery;
mod discovery;
mod notices;
mod repeats;
mod requests;
mod restart;
#[path = "../scenario/mod.rs"]
mod scenario;
