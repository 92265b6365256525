//! What goes in and out of the decision module: settings, events, actions and ids. Nothing is decided here.

/// Milliseconds, as a span or as a moment of the caller's clock.
pub type Ms = f64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
/// Place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u8);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub u16);
/// A set of objects that can be purged together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurgeGroup(pub u16);
/// A small set of caches that share knowledge of keys seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u16);
/// Number of an attempt within its request, from 0 in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try(pub u8);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Token(pub u64);

/// Whether a request's effect may happen twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    #[default]
    Safe,
    Keyed,
    Unsafe,
}

/// Which caches drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// Which caches may supply a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    #[default]
    None,
    Location,
    Any,
}

/// What the weight of a listing means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    #[default]
    None,
    Nominal,
    Rough,
    Live,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    pub aim: Ms,
    pub aim_stretch: Option<f64>,
    pub deadline: Ms,
    pub worth: Option<f64>,
    pub repeat: Repeat,
    pub key_scope: KeyScope,
    pub key_window: Option<Ms>,
    pub streamed: bool,
    pub fresh: Option<Ms>,
    pub grace: Option<Ms>,
    /// Requests of this class run at the origin and leave no copy.
    pub write: bool,
}

/// Start settings. `None` means that the deployment does not tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub zone: ZoneId,
    pub classes: Vec<ClassSettings>,
    /// Fronts in all, and by zone.
    pub fronts: Option<u32>,
    pub zone_fronts: Vec<u32>,
    pub parent_kind: Option<KindId>,
    pub origin_kind: Option<KindId>,
    pub must_subscribe: bool,
    pub weights: WeightMeaning,
    /// KB a second of one transfer at full pace.
    pub pace: Option<f64>,
    /// KB a second of each zone's link in.
    pub zone_links: Vec<f64>,
    pub joins: bool,
    pub direct: bool,
    pub siblings: Siblings,
    pub max_attempts: Option<u32>,
    pub second_copies: bool,
    pub cancel: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub max_retry_after: Option<Ms>,
    pub drain_grace: Option<Ms>,
    pub fall_multiple: Option<f64>,
    pub fall_span: Option<Ms>,
    pub cold_from: Option<f64>,
    pub cold_span: Option<Ms>,
    pub parent_fall_multiple: Option<f64>,
    pub parent_cold_from: Option<f64>,
    pub parent_cold_span: Option<Ms>,
    pub purge_done: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listing {
    pub member: MemberId,
    pub weight: f64,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    /// Latest start, where it was not long ago.
    pub born: Option<Ms>,
    pub availability: Availability,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
    Delta,
    Full,
    Cached,
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

/// What a cache tells of how it came to its answer, where it tells.
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    pub part: u32,
    pub group: PurgeGroup,
    /// Time until the client gives up.
    pub left: Ms,
    pub size_kb: Option<f64>,
    pub write: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List { news: ListNews, entries: Vec<Listing> },
    Request(Request),
    FirstByte { id: RequestId, attempt: Try },
    Reply { id: RequestId, attempt: Try, outcome: Outcome, latency: Ms, settled: bool, note: Note },
    Expired { id: RequestId },
    Timer { token: Token },
    Probed { member: MemberId, outcome: Outcome, latency: Ms },
    Purged { object: Option<ObjectId>, group: PurgeGroup, ago: Ms },
}

/// What is done on a miss and which copies will do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FillMode {
    pub join: bool,
    pub source_holds_only: bool,
    pub no_copy_at_parent: bool,
    pub renew: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Subscribe,
    Serve {
        id: RequestId,
        cache: MemberId,
        /// Who supplies a miss; the cache itself for none.
        source: MemberId,
        rank: u8,
        /// Oldest copy that will do; `None` for the class's fresh time.
        max_age: Option<Ms>,
        mode: FillMode,
        timeout: Ms,
    },
    Cancel {
        id: RequestId,
        attempt: Try,
    },
    Refuse {
        id: RequestId,
        retry_after: Option<Ms>,
    },
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
