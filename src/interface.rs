//! Inputs and outputs of the decision module: settings, events, actions and ids. This file decides nothing.

/// Milliseconds: a duration, or a time on the caller's clock.
pub type Ms = f64;

/// A cache, parent or origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);
/// A request, unique among the open ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// An object, by a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);
/// A zone, as the index into the lists by zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u8);
/// The kind of a listed server: cache, parent or origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub u16);
/// A group of objects that can be purged together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurgeGroup(pub u16);
/// A small set of caches that share which idempotency keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u16);
/// Number of an attempt within its request, from 0 in order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try(pub u8);
/// Identifies a timer; returned with [`Event::Timer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Token(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    #[default]
    Safe,
    /// Repeats are dropped by their key within [`ClassSettings::key_scope`] and [`ClassSettings::key_window`].
    Keyed,
    /// It may run at most once.
    Unsafe,
}

/// Which caches recognize repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// Which other caches may supply a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    #[default]
    None,
    Location,
    Any,
}

/// What the weight of a listing stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    #[default]
    None,
    Nominal,
    Rough,
    Live,
}

/// Settings of a request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Latency within which an answer counts as on time.
    pub target_latency: Ms,
    /// Multiple of an answer's sending time that is added to the target latency.
    pub target_stretch: Option<f64>,
    pub deadline: Ms,
    /// Value of an answer on time.
    pub value: Option<f64>,
    pub repeat: Repeat,
    pub key_scope: KeyScope,
    /// How long a key is remembered.
    pub key_window: Option<Ms>,
    /// Whether answers are streamed.
    pub streamed: bool,
    /// Age up to which a copy is fresh.
    pub fresh_for: Option<Ms>,
    /// Further age up to which a stale copy may be served.
    pub stale_grace: Option<Ms>,
    /// Requests of this class run at the origin and leave no copy in a cache.
    pub write: bool,
}

/// Start settings. `None` means that the deployment does not say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Zone of this front.
    pub zone: ZoneId,
    pub classes: Vec<ClassSettings>,
    /// Number of fronts in all zones.
    pub fronts: Option<u32>,
    /// Number of fronts by zone.
    pub zone_fronts: Vec<u32>,
    pub parent_kind: Option<KindId>,
    pub origin_kind: Option<KindId>,
    /// Whether the list of servers must be asked for.
    pub must_subscribe: bool,
    pub weights: WeightMeaning,
    /// Full rate of one transfer, in KB/s.
    pub transfer_kb_per_s: Option<f64>,
    /// Inbound link of each zone, in KB/s.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Whether caches let requests join a fill that is under way.
    pub joins: bool,
    pub direct: bool,
    pub siblings: Siblings,
    /// Limit of attempts per request.
    pub max_attempts: Option<u32>,
    /// Whether a second attempt may start while another may still run.
    pub second_copies: bool,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    pub probes: bool,
    /// Whether a refusal may carry a time to wait.
    pub retry_after: bool,
    pub max_retry_after: Option<Ms>,
    pub drain_grace: Option<Ms>,
    /// Multiple of its present capacity that a cold cache survives per overload window.
    pub overload_factor: Option<f64>,
    /// Window in which work sent to a cold member is counted.
    pub overload_window: Option<Ms>,
    /// Fraction of its capacity that a cache has at its start.
    pub cold_fraction: Option<f64>,
    /// Time from the start of a cache until it is warm.
    pub cold_duration: Option<Ms>,
    /// [`Settings::overload_factor`] for parents.
    pub parent_overload_factor: Option<f64>,
    /// [`Settings::cold_fraction`] for parents.
    pub parent_cold_fraction: Option<f64>,
    /// [`Settings::cold_duration`] for parents.
    pub parent_cold_duration: Option<Ms>,
    /// Time within which all caches drop purged copies.
    pub purge_duration: Option<Ms>,
}

/// Whether a listed server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    Draining,
    Gone,
}

/// One server of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listing {
    pub member: MemberId,
    pub weight: f64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    /// Last start of its process, if that was recent.
    pub started_at: Option<Ms>,
    pub availability: Availability,
}

/// What a list of servers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only entries that changed.
    Delta,
    /// All servers; others have been removed.
    Full,
    /// All servers as last known; others have been removed.
    Cached,
    /// The subscription failed; there are no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

/// How a cache got its answer, as far as it reports that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Note {
    #[default]
    Absent,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    /// Part of a long object.
    pub part: u32,
    pub group: PurgeGroup,
    /// Time until the client gives up, from the event on.
    pub time_left: Ms,
    /// Size of the answer, if known.
    pub size_kb: Option<f64>,
    /// Whether it runs at the origin and leaves no copy.
    pub write: bool,
}

/// An input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        update: ListUpdate,
        entries: Vec<Listing>,
    },
    Request(Request),
    /// The first byte of an answer has arrived.
    FirstByte {
        id: RequestId,
        attempt: Try,
    },
    Reply {
        id: RequestId,
        attempt: Try,
        outcome: Outcome,
        latency: Ms,
        settled: bool,
        note: Note,
    },
    /// The client has given up or its deadline has passed.
    Expired {
        id: RequestId,
    },
    Timer {
        token: Token,
    },
    Probed {
        member: MemberId,
        outcome: Outcome,
        latency: Ms,
    },
    /// Copies made up to `ago` before now must not be served; without an object the entire group is purged.
    Purged {
        object: Option<ObjectId>,
        group: PurgeGroup,
        ago: Ms,
    },
}

/// What a cache does on a miss, and which copies it may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FillMode {
    /// Join a fill that is under way.
    pub join: bool,
    /// The source may supply only a copy that it holds.
    pub source_holds_only: bool,
    pub no_copy_at_parent: bool,
    /// Whether the cache may renew an old copy.
    pub renew: bool,
}

/// An output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Subscribe to the list of servers.
    Subscribe,
    /// Send an attempt.
    Serve {
        id: RequestId,
        cache: MemberId,
        /// Member that supplies a miss; the cache itself for no fill.
        source: MemberId,
        rank: u8,
        /// Maximum age of a usable copy; `None` for the class's fresh time.
        max_age: Option<Ms>,
        mode: FillMode,
        timeout: Ms,
    },
    Cancel {
        id: RequestId,
        attempt: Try,
    },
    /// Final answer: not served, a retry is safe.
    Refuse {
        id: RequestId,
        retry_after: Option<Ms>,
    },
    /// Final answer: not served, a retry may not be safe.
    Fail {
        id: RequestId,
    },
    SetTimer {
        delay: Ms,
        token: Token,
    },
    Probe {
        member: MemberId,
    },
}
