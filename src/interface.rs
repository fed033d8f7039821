//! The types that pass between a courier and its host: ids, settings, events and actions. Facts only.

/// Time on the host's clock, or a span of it, in nanoseconds.
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
    /// A class of message: its place in [`Settings::classes`].
    ClassId(usize);
    /// A tenant: its place in [`Settings::tenants`].
    TenantId(usize);
    /// A kind of destination: its place in [`Settings::kinds`].
    KindId(usize);
    /// A zone.
    ZoneId(usize);
    /// A key that orders messages.
    OrderKey(u64);
}

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped by the endpoints that remember the key.
    Deduplicated,
    /// Must never take effect twice.
    #[default]
    Unsafe,
}

/// Which endpoints of a destination share the memory of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Only the endpoint itself, as far as a courier can know.
    #[default]
    Endpoint,
}

/// A class of message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Delivered within this time, a message earns its full worth.
    pub target_latency: Nanos,
    /// Time for which a message may be delivered, from when it was first handed in.
    pub lifetime: Nanos,
    /// What a repeat does.
    pub effect: Effect,
    /// Who remembers keys.
    pub dedup_scope: DedupScope,
    /// How long keys are remembered, from the first send that may have run.
    pub dedup_window: Option<Nanos>,
    /// Whether messages sharing a key keep their order.
    pub ordered: bool,
    /// Share of the worth that is left at the deadline.
    pub late_worth: Option<f64>,
    /// Worth of a message.
    pub worth: Option<f64>,
}

impl Class {
    /// For how long after it may have run a message may be sent again; none if for ever.
    pub fn resend_window(&self) -> Option<Nanos> {
        match self.effect {
            Effect::Safe => None,
            Effect::Deduplicated => Some(self.dedup_window.unwrap_or(0)),
            Effect::Unsafe => Some(0),
        }
    }

    /// Whether its client may hand a message in again that may have run.
    pub fn may_be_resubmitted(&self) -> bool {
        match self.effect {
            Effect::Safe => true,
            Effect::Deduplicated => self.dedup_scope == DedupScope::All,
            Effect::Unsafe => false,
        }
    }
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorthDecay {
    /// Evenly, down to the late worth at the deadline.
    Linear,
    /// By half with each further aim, but not under the late worth.
    Halving,
}

/// What the weights in the list state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    #[default]
    Nothing,
    /// Calls a second that a unit takes from all couriers together.
    Exact,
    /// The same, up to half too high or too low.
    Rough,
}

/// What an endpoint tells of its limit with an answer: some time old and not exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Share of the limit that is left.
    pub remaining_share: Option<f64>,
    /// Calls a second that the limit allows; zero where there is none.
    pub limit: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second inside its share, over all couriers.
    pub quota: Option<f64>,
}

/// A kind of destination.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    /// Whether the endpoints of a destination are separate routes.
    pub separate_routes: Option<bool>,
    /// Messages in one call at most.
    pub max_batch: Option<u32>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long after an outage a destination may stay cold.
    pub warm_up_time: Option<Nanos>,
    /// Least share of its capacity that it has then.
    pub cold_share: Option<f64>,
    /// Sent over this multiple of its present capacity ...
    pub overload_factor: Option<f64>,
    /// ... for this long, it falls over.
    pub overload_time: Option<Nanos>,
    /// Longest that a courier without a subscription may go without asking for the list.
    pub list_poll_interval: Option<Nanos>,
    /// How long a key rests after an attempt that may still be executing.
    pub order_settle_time: Option<Nanos>,
}

/// What a courier is told when it starts. An absent value was not told.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Couriers in this tier.
    pub relays: Option<u32>,
    /// This courier's zone.
    pub zone: Option<ZoneId>,
    /// Least time between rounds.
    pub round_interval: Option<Nanos>,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// How worth falls after the aim.
    pub worth_decay: Option<WorthDecay>,
    /// Tenants; there may be none.
    pub tenants: Vec<Tenant>,
    /// Part of its worth that a message keeps when its tenant is over its share.
    pub over_quota_worth: Option<f64>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Calls that may be out at once.
    pub slots: Option<u32>,
    /// Messages that may be held, sent or not.
    pub max_queued: Option<u32>,
    /// Most attempts for a message.
    pub max_attempts: Option<u32>,
    /// Longest backoff that a client heeds.
    pub max_backoff: Option<Nanos>,
    /// Idle connections close after this.
    pub idle_close: Option<Nanos>,
    /// A connection that is not up within this time has failed.
    pub dial_timeout: Option<Nanos>,
    /// Whether refusals may carry a backoff.
    pub refusals_carry_backoff: bool,
    /// Whether the list comes only when asked for.
    pub list_on_request: bool,
    /// Whether couriers pass lists on to one another, so that few of them ask, whatever their number.
    pub list_shared: bool,
    /// What list weights state.
    pub weights: Weights,
    /// Whether endpoints may be probed.
    pub probing: bool,
    /// Whether couriers may send each other notes.
    pub relay_messages: bool,
    /// A destination unused for so long is cold until it shows otherwise, as is one never used, one that came
    /// after the first list, and one that started lately. Absent: health alone tells what is cold.
    pub cold_after: Option<Nanos>,
    /// The figures of the rules.
    pub rules: Rules,
    /// How much the worst served class counts by itself, against the whole.
    pub worst_class_weight: f64,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed; nothing is said of its health.
    Active,
    /// Draining.
    Draining,
    /// Gone.
    Removed,
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Which endpoint.
    pub id: EndpointId,
    /// Its destination. It never changes: a host that hears of a move names another endpoint.
    pub dest: DestId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// What the list says of it.
    pub condition: Condition,
    /// Listed weight.
    pub weight: Option<f64>,
    /// When it last started; 0 is long ago.
    pub started: Nanos,
}

/// Why a message is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its destination would serve it too late, by what is predicted.
    TooSlow,
    /// Too much waits for its destination already, which serves nothing just now.
    DestinationQueueFull,
    /// The hold is full, and it is worth least.
    QueueFull,
    /// Its time is over.
    DeadlineReached,
    /// It has had all its tries.
    AttemptsExhausted,
    /// Who got it before may no longer know it.
    ResendWindowOver,
    /// No list that may be acted on will be there in time.
    NoUsableList,
}

/// How much of the list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only changed entries.
    Patch,
    /// The whole list; what is not in it is gone.
    Whole,
    /// The whole list as it was last had, maybe old.
    Stale,
    /// A request for the list was not taken, or the subscription broke; no entries.
    Unreachable,
    /// The same, but it was turned away after it had been taken.
    Rejected,
    /// The same, but the answer broke off: what it held may count as told.
    Truncated,
    /// The same, but nothing was heard in time: what was to be told may count as told.
    TimedOut,
}

impl ListScope {
    /// Whether it brings no list.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            ListScope::Unreachable | ListScope::Rejected | ListScope::Truncated | ListScope::TimedOut
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
    /// Its order key.
    pub key: Option<OrderKey>,
    /// How long it may still be delivered.
    pub time_left: Nanos,
    /// The client marked it as another try.
    pub retry: bool,
    /// A courier that had it has died.
    pub reconnect: bool,
    /// Attempts made before: not zero only for a message that outlived its courier's process.
    pub previous_attempts: u32,
    /// The first of those attempts that may have run.
    pub unconfirmed: Option<UnconfirmedAttempt>,
    /// It outlived its courier's process.
    pub restored: bool,
    /// The rules of its class under which it was taken on; those of the settings if none.
    pub rules: Option<Class>,
}

/// The first attempt of a message that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedAttempt {
    /// When it was sent; it may lie before the courier's first round.
    pub sent: Nanos,
    /// Where to.
    pub endpoint: EndpointId,
    /// That endpoint's zone, if known.
    pub zone: Option<ZoneId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen, with the wait told, if any.
    Overloaded {
        /// Time to send nothing there.
        retry_after: Option<Nanos>,
    },
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
    /// Not sent, by a fault of this machine; never ran, and is no try.
    LocalFault,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    List {
        /// How much it brings.
        scope: ListScope,
        /// The entries.
        entries: Vec<Endpoint>,
    },
    /// A new message.
    Request(Request),
    /// An attempt ended.
    AttemptEnded {
        /// Which message.
        msg: MsgId,
        /// Which attempt, from 0.
        attempt: u32,
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Nanos,
        /// Nothing more is owed for the message.
        message_done: bool,
        /// What the answer tells of the limit.
        report: Report,
    },
    /// A stream has started; nothing here streams, so it only tells that the attempt lives.
    StreamStarted {
        /// Which message.
        msg: MsgId,
    },
    /// Nobody wants the message any more.
    Abandoned {
        /// Which message.
        msg: MsgId,
    },
    /// A timer fell due.
    Timer {
        /// As it was set.
        nonce: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Nanos,
    },
    /// Another courier sent a note.
    RelayMessage {
        /// The sender.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the endpoint with the message.
    Send {
        /// Which message.
        msg: MsgId,
        /// Which endpoint.
        endpoint: EndpointId,
        /// Give the attempt up after this long.
        timeout: Nanos,
    },
    /// End the message; it may safely come again.
    Refuse {
        /// Which message.
        msg: MsgId,
        /// How long the client should stay away.
        backoff: Option<Nanos>,
        /// Why, for the log.
        reason: GiveUpReason,
    },
    /// End the message as failed.
    Fail {
        /// Which message.
        msg: MsgId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which message.
        msg: MsgId,
        /// Which attempt.
        attempt: u32,
    },
    /// Ask for a timer.
    SetTimer {
        /// Comes back as given.
        nonce: u64,
        /// Time from now.
        after: Nanos,
    },
    /// Probe an endpoint.
    Probe {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Send a note to one courier or all others.
    SendToRelays {
        /// The receiver; all others if absent.
        to: Option<u32>,
        /// What to send.
        bytes: Vec<u8>,
    },
    /// A line for on-call staff.
    Log {
        /// The text.
        line: String,
    },
    /// Open or close the subscription to the list.
    Subscribe {
        /// Open it.
        open: bool,
    },
    /// Ask once for the whole list.
    FetchList,
}
