//! elmtide makes the routing decisions of a two-tier cache: which edge cache gets a request, which parent
//! supplies a miss, how long to wait, when to retry and when to refuse.
//!
//! A [`Router`] is a deterministic state machine: its input is an [`Event`] and the time, its output are
//! [`Action`]s. It does no I/O, reads no clock and starts no thread; the front that embeds it does that.
//!
//! ```
//! use elmtide::*;
//!
//! let class = ClassSettings { target_latency: 300.0, deadline: 3000.0, ..ClassSettings::default() };
//! let settings = Settings {
//!     zone: ZoneId(4),
//!     classes: vec![class],
//!     parent_kind: Some(KindId(1)),
//!     joins: true,
//!     max_attempts: Some(4),
//!     ..Settings::default()
//! };
//! let mut actions = Vec::new();
//! let mut router = Router::new(settings, 42, 0.0, &mut actions);
//!
//! // The list of servers: one cache in this zone and one parent.
//! let cache = Listing {
//!     member: MemberId(10),
//!     weight: 1.0,
//!     zone: ZoneId(4),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     started_at: None,
//!     availability: Availability::Ready,
//! };
//! let parent = Listing { member: MemberId(20), zone: ZoneId(0), kind: KindId(1), ..cache };
//! let list = Event::List { update: ListUpdate::Full, entries: vec![cache, parent] };
//! router.handle(1.0, list, &mut actions);
//!
//! // A client's request.
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     object: ObjectId(77),
//!     part: 0,
//!     group: PurgeGroup(0),
//!     time_left: 2000.0,
//!     size_kb: None,
//!     write: false,
//! };
//! router.handle(2.0, Event::Request(request), &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Serve { cache, source, .. } => Some((*cache, *source)),
//!     _ => None,
//! });
//! assert_eq!(sent, Some((MemberId(10), MemberId(20))));
//! ```

mod health;
mod interface;
mod logic;
mod open_requests;
mod process_share;
mod purges;
mod server_history;

pub use interface::*;
pub use logic::{Ring, Router};
pub use process_share::{ProcessShare, MAX_OBSERVATION_AGE_MS};
pub use purges::PurgeLog;
pub use server_history::ServerHistories;

/// Runs the README's examples as tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
