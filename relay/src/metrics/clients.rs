//! The figures of clients' connections.
use actix_http::error::ParseError;
use prometheus::{IntCounterVec, Opts};

use super::{Metrics, PREFIX, register};
use crate::connection_limiter::CloseReason;

/// Why a request was answered with an error or refused before the decision module knew of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    HeadTooLarge,
    HeadInvalid,
    BodyTooLarge,
    BodyInvalid,
    /// Its connection ended before its last byte.
    Incomplete,
    /// A field is missing or invalid, or nothing is served at its path.
    Invalid,
    /// It was given up to free memory.
    Memory,
    /// It was sent ahead by a client that has closed its side of the connection.
    ClientLeft,
}

impl RejectReason {
    const ALL: [RejectReason; 8] = [
        RejectReason::HeadTooLarge,
        RejectReason::HeadInvalid,
        RejectReason::BodyTooLarge,
        RejectReason::BodyInvalid,
        RejectReason::Incomplete,
        RejectReason::Invalid,
        RejectReason::Memory,
        RejectReason::ClientLeft,
    ];

    fn label(self) -> &'static str {
        match self {
            RejectReason::HeadTooLarge => "head-too-large",
            RejectReason::HeadInvalid => "head-invalid",
            RejectReason::BodyTooLarge => "body-too-large",
            RejectReason::BodyInvalid => "body-invalid",
            RejectReason::Incomplete => "incomplete",
            RejectReason::Invalid => "invalid",
            RejectReason::Memory => "memory",
            RejectReason::ClientLeft => "client-left",
        }
    }

    /// The reason of a head that cannot be parsed.
    pub fn of_parse_error(error: &ParseError) -> RejectReason {
        match error {
            ParseError::TooLarge => RejectReason::HeadTooLarge,
            _ => RejectReason::HeadInvalid,
        }
    }
}

/// Counters of client connections that were closed, and of requests that were rejected.
#[derive(Clone)]
pub struct ClientMetrics {
    rejected: IntCounterVec,
    closed: IntCounterVec,
}

impl ClientMetrics {
    /// Registers the series, at zero. Must be called once per process.
    pub fn register(metrics: &Metrics) -> Self {
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX);
        let rejected =
            opts("requests_rejected_total", "Requests answered with an error or refused unread, by reason.");
        let closed =
            opts("client_connections_closed_total", "Client connections closed from this side, by reason.");
        let rejected = register(&metrics.registry, IntCounterVec::new(rejected, &["reason"]));
        let closed = register(&metrics.registry, IntCounterVec::new(closed, &["reason"]));
        RejectReason::ALL.iter().for_each(|reason| _ = rejected.with_label_values(&[reason.label()]));
        CloseReason::ALL.iter().for_each(|reason| _ = closed.with_label_values(&[reason.label()]));
        ClientMetrics { rejected, closed }
    }

    /// Counts a request that was rejected.
    pub fn rejected(&self, reason: RejectReason) {
        self.rejected.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a connection that was closed from this side.
    pub fn closed(&self, reason: CloseReason) {
        self.closed.with_label_values(&[reason.label()]).inc();
    }
}
