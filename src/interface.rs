//! Types exchanged between a [`Dispatcher`](crate::Dispatcher) and its host: ids, settings, events and
//! actions. They carry data only; nothing is decided here.

/// A point in time on the host's clock, or a duration, in nanoseconds.
pub type Nanos = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A message.
    MsgId(u32);
    /// One endpoint of a destination.
    EndpointId(u32);
    /// A destination.
    DestId(u64);
    /// A message class, as an index into [`Settings::classes`].
    ClassId(usize);
    /// A tenant, as an index into [`Settings::tenants`].
    TenantId(usize);
    /// A kind of destination, as an index into [`Settings::kinds`].
    KindId(usize);
    /// A zone.
    ZoneId(usize);
    /// An ordering key: messages with the same key are delivered in order.
    OrderKey(u64);
}

/// What happens if a message is delivered more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Endpoints that remember the message's key drop repeats.
    Deduplicated,
    /// The message must never take effect twice.
    #[default]
    Unsafe,
}

/// Which endpoints of a destination share their memory of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// Only the endpoint itself, as far as a relay can know.
    #[default]
    Endpoint,
}

/// A message class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// A message delivered within this time earns its full worth.
    pub target_latency: Nanos,
    /// How long a message may be delivered, counted from when it was first submitted.
    pub lifetime: Nanos,
    /// What a repeated delivery does.
    pub effect: Effect,
    /// Which endpoints share their memory of keys.
    pub dedup_scope: DedupScope,
    /// How long keys are remembered, counted from the first send that may have been executed.
    pub dedup_window: Option<Nanos>,
    /// Whether messages with the same key are delivered in order.
    pub ordered: bool,
    /// Fraction of the worth that a message still earns at its deadline.
    pub late_worth: Option<f64>,
    /// Worth of a message.
    pub worth: Option<f64>,
}

impl Class {
    /// How long after a possible execution the message may be sent again; `None` means without limit.
    pub fn resend_window(&self) -> Option<Nanos> {
        match self.effect {
            Effect::Safe => None,
            Effect::Deduplicated => Some(self.dedup_window.unwrap_or(0)),
            Effect::Unsafe => Some(0),
        }
    }

    /// Whether the client may submit a message again that may have been executed.
    pub fn may_be_resubmitted(&self) -> bool {
        match self.effect {
            Effect::Safe => true,
            Effect::Deduplicated => self.dedup_scope == DedupScope::All,
            Effect::Unsafe => false,
        }
    }
}

/// How the worth of a message decreases once its target latency has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Linearly, down to the late worth at the deadline.
    Linear,
    /// Halved after each further target latency, but never below the late worth.
    Halving,
}

/// What the weights in the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// They carry no information.
    #[default]
    Nothing,
    /// Calls a second that a destination, or a separate route, accepts from all relays together.
    Exact,
    /// As `Exact`, but up to half too high or too low.
    Rough,
}

/// What an endpoint reports about its rate limit in an answer. The values are approximate and may be out of
/// date.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Fraction of the limit that is left.
    pub remaining_share: Option<f64>,
    /// Calls a second that the limit allows; zero if there is no limit.
    pub limit: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second that are within its quota, over all relays.
    pub quota: Option<f64>,
}

/// A kind of destination.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    /// Whether each endpoint of a destination is a separate route with its own limits.
    pub separate_routes: Option<bool>,
    /// Maximum number of messages in one call.
    pub max_batch: Option<u32>,
}

/// Numeric parameters of the platform's rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long a destination may take to warm up after an outage.
    pub warm_up_time: Option<Nanos>,
    /// Minimum fraction of its capacity that a cold destination has.
    pub cold_share: Option<f64>,
    /// A destination fails under overload when it is sent more than this multiple of its current capacity ...
    pub overload_factor: Option<f64>,
    /// ... for this long.
    pub overload_time: Option<Nanos>,
    /// Maximum time between two requests for the list by a relay that has no subscription.
    pub list_poll_interval: Option<Nanos>,
    /// How long a key is paused after an attempt that may still be executing.
    pub order_settle_time: Option<Nanos>,
}

/// Settings of a relay. `None` means that the value is not known.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of relays in this tier.
    pub relays: Option<u32>,
    /// Zone of this relay.
    pub zone: Option<ZoneId>,
    /// Minimum time between rounds.
    pub round_interval: Option<Nanos>,
    /// Message classes.
    pub classes: Vec<Class>,
    /// How worth decreases after the target latency.
    pub worth_decay: Option<WorthDecay>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Factor on the worth of a message whose tenant is over its quota.
    pub over_quota_worth: Option<f64>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Maximum number of concurrent calls.
    pub slots: Option<u32>,
    /// Maximum number of open messages, queued and in flight.
    pub max_open_messages: Option<u32>,
    /// Maximum number of attempts for a message.
    pub max_attempts: Option<u32>,
    /// Longest backoff that clients respect.
    pub max_backoff: Option<Nanos>,
    /// Idle connections are closed after this time.
    pub idle_close: Option<Nanos>,
    /// A connection attempt that takes longer than this has failed.
    pub dial_timeout: Option<Nanos>,
    /// Whether refusals may carry a backoff.
    pub refusals_carry_backoff: bool,
    /// Whether the list has to be requested; otherwise it is pushed.
    pub list_on_request: bool,
    /// Whether relays pass lists on to one another, so that the number of relays that request it does not
    /// grow with the fleet.
    pub list_shared: bool,
    /// What the weights in the list mean.
    pub weights: Weights,
    /// Whether endpoints may be probed.
    pub probing: bool,
    /// Whether relays may send messages to each other.
    pub relay_messages: bool,
    /// A destination that was not used for this long is treated as cold until its answers show otherwise. So
    /// are destinations that were never used, that were listed after the first list, or that started
    /// recently. If `None`, only health decides what is cold.
    pub cold_after: Option<Nanos>,
    /// Numeric parameters of the platform's rules.
    pub rules: Rules,
    /// Extra weight of the worst served class, relative to all classes together.
    pub worst_class_weight: f64,
}

/// State of an endpoint according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed; its health is not known from the list.
    Active,
    /// Draining: it accepts no new calls.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Its destination, which never changes: the host assigns a new endpoint id if an endpoint moves.
    pub dest: DestId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its state.
    pub condition: Condition,
    /// Its weight in the list.
    pub weight: Option<f64>,
    /// When it last started; 0 means long ago.
    pub started: Nanos,
}

/// Why a message was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its destination is predicted to answer too late.
    TooSlow,
    /// Too many messages are already queued for its destination, all of whose endpoints are unhealthy.
    DestinationQueueFull,
    /// The queue is full and this message has the lowest rank.
    QueueFull,
    /// Its deadline is reached.
    DeadlineReached,
    /// The maximum number of attempts is used up.
    AttemptsExhausted,
    /// The endpoint that may have executed it may no longer remember its key.
    ResendWindowOver,
    /// No usable list will be available in time.
    NoUsableList,
}

/// What an update of the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Patch,
    /// The complete list; endpoints that are not in it are gone.
    Whole,
    /// The complete list as last received, possibly out of date.
    Stale,
    /// The service did not accept the call, or the subscription broke; no entries.
    Unreachable,
    /// As `Unreachable`, but the service accepted the call and then rejected it.
    Rejected,
    /// As `Unreachable`, but the answer broke off: any change that it contained may count as announced.
    Truncated,
    /// As `Unreachable`, but no answer came in time: any change that was due may count as announced.
    TimedOut,
    /// As `Unreachable`, but for a reason that does not show whether the service runs: the call was not sent.
    NotConnected,
}

impl ListScope {
    /// Whether the update brings no list.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            ListScope::Unreachable
                | ListScope::Rejected
                | ListScope::Truncated
                | ListScope::TimedOut
                | ListScope::NotConnected
        )
    }
}

/// A new message.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub msg: MsgId,
    /// Its destination.
    pub dest: DestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its ordering key.
    pub key: Option<OrderKey>,
    /// Time until its deadline.
    pub time_left: Nanos,
    /// The client marked it as a retry.
    pub retry: bool,
    /// A relay that had accepted it has died.
    pub reconnect: bool,
    /// Number of earlier attempts; nonzero only for a message restored after a restart of its relay.
    pub previous_attempts: u32,
    /// The first of those attempts that may have been executed.
    pub unconfirmed: Option<UnconfirmedAttempt>,
    /// It was restored after a restart of its relay.
    pub restored: bool,
    /// The class rules under which it was accepted; the current rules of its class if `None`.
    pub rules: Option<Class>,
}

/// The first attempt of a message that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedAttempt {
    /// When it was sent; may be before the dispatcher's first round.
    pub sent: Nanos,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The zone of that endpoint, if known.
    pub zone: Option<ZoneId>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected without being executed.
    Overloaded {
        /// How long to send nothing there, if the answer says so.
        retry_after: Option<Nanos>,
    },
    /// No answer in time; may have been executed.
    Timeout,
    /// The connection could not be established; not executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    Reset,
    /// Cancelled by the relay; may have been executed.
    Cancelled,
    /// Not sent; not executed.
    NotSent,
    /// Not sent because of a fault on this machine; not executed, and not counted as an attempt.
    LocalFault,
}

/// An input of a round.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the list.
    List {
        /// What it contains.
        scope: ListScope,
        /// The entries.
        entries: Vec<Endpoint>,
    },
    /// A new message.
    Request(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        msg: MsgId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The result.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: Nanos,
        /// The message needs no further attempt or answer.
        message_done: bool,
        /// What the answer reports about the rate limit.
        report: Report,
    },
    /// A response stream started. Streaming is not used, so this only means that the attempt is alive.
    StreamStarted {
        /// The message.
        msg: MsgId,
    },
    /// The message is no longer wanted.
    Abandoned {
        /// The message.
        msg: MsgId,
    },
    /// A timer expired.
    Timer {
        /// The nonce it was set with.
        nonce: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// The result.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Nanos,
    },
    /// Another relay sent a message to this one.
    RelayMessage {
        /// The sending relay.
        from: u32,
        /// The contents.
        bytes: Vec<u8>,
    },
}

/// A command to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to the endpoint.
    Send {
        /// The message.
        msg: MsgId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// Refuse the message; the client may safely submit it again.
    Refuse {
        /// The message.
        msg: MsgId,
        /// How long the client should wait before it retries.
        backoff: Option<Nanos>,
        /// The reason, for the log.
        reason: GiveUpReason,
    },
    /// End the message as failed.
    Fail {
        /// The message.
        msg: MsgId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        msg: MsgId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// Returned unchanged in [`Event::Timer`].
        nonce: u64,
        /// Time from now.
        after: Nanos,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to one other relay or to all of them.
    SendToRelays {
        /// The recipient; all other relays if `None`.
        to: Option<u32>,
        /// The contents.
        bytes: Vec<u8>,
    },
    /// Write a log line for operators.
    Log {
        /// The text.
        line: String,
    },
    /// Open or close the subscription to the list.
    Subscribe {
        /// Whether to open it.
        open: bool,
    },
    /// Request the complete list once.
    FetchList,
}
