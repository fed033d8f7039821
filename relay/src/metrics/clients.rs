//! The figures of clients' connections and of the memory budget.
use actix_http::error::ParseError;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts};

use super::{Metrics, PREFIX, register};
use crate::connection_limiter::CloseReason;
use crate::memory_budget::{Holder, MemoryBudget};

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

/// Gauges of the memory budget.
#[derive(Clone)]
pub struct MemoryMetrics {
    available: IntGauge,
    charged: IntGaugeVec,
    resident: IntGauge,
}

impl MemoryMetrics {
    /// Registers the series, at zero. Must be called once per process.
    pub fn register(metrics: &Metrics) -> Self {
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX).subsystem("memory");
        let available = opts("budget_bytes", "Size of the budget for memory whose size peers decide.");
        let charged = opts("charged_bytes", "Memory charged to the budget, by holder.");
        let resident = opts("resident_bytes", "Memory of the process, as the system counts it.");
        let charged = register(&metrics.registry, IntGaugeVec::new(charged, &["holder"]));
        Holder::ALL.iter().for_each(|holder| _ = charged.with_label_values(&[holder.label()]));
        MemoryMetrics {
            available: register(&metrics.registry, IntGauge::with_opts(available)),
            charged,
            resident: register(&metrics.registry, IntGauge::with_opts(resident)),
        }
    }

    /// Sets the gauges; sizes in bytes.
    pub fn set(&self, budget: &MemoryBudget, resident: usize) {
        let as_gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.available.set(as_gauge(budget.available()));
        self.resident.set(as_gauge(resident));
        for holder in Holder::ALL {
            self.charged.with_label_values(&[holder.label()]).set(as_gauge(budget.charged(holder)));
        }
    }
}
