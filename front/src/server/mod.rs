//! Accepts requests from clients: listeners, connections, the protocols they speak, and the validation of request
//! fields.

pub mod acceptor;
pub mod clients;
pub mod dns;
pub mod drain_report;
pub mod fastcgi;
pub mod http;
pub mod mailbox;
pub mod management;
pub mod output_queue;
pub mod sockets;

use std::str::FromStr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;

use arc_swap::ArcSwap;
use elmtide::{ClassId, Ms, ObjectId, PurgeGroup, RequestId};
use elmtide_cells::ShopId;

use crate::exchange::{Class, ForwardedRequest, Incoming, Responder, Token};
use crate::memory::budget::{Budget, Held};
use crate::memory::counters::Counters;
use crate::memory::fair_queue::Source;
use crate::memory::figures::ClassTally;
use crate::memory::job_ids::{Claimed, JobIds};
use crate::memory::request_queue::RequestQueue;
use crate::process::log::RateLimitedLog;

/// A request field as received. A field that occurs twice is unusable, because it is ambiguous which value is meant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Field<'a> {
    #[default]
    Absent,
    Single(&'a [u8]),
    Duplicate,
}

impl<'a> Field<'a> {
    /// Records an occurrence of the field.
    pub fn add(&mut self, value: &'a [u8]) {
        *self = if *self == Field::Absent { Field::Single(value) } else { Field::Duplicate };
    }

    /// Falls back to a default value if the field is absent.
    pub fn or_default_value(self, default: &'a str) -> Field<'a> {
        if self == Field::Absent {
            Field::Single(default.as_bytes())
        } else {
            self
        }
    }

    /// Parses the value; `default` if the field is absent, `None` if the value is invalid or the field is duplicated.
    fn parse_or<T>(self, default: Option<T>, parse: impl FnOnce(&'a [u8]) -> Option<T>) -> Option<T> {
        match self {
            Field::Absent => default,
            Field::Single(value) => parse(value),
            Field::Duplicate => None,
        }
    }
}

/// The raw fields of a request as extracted from the wire, before validation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFields<'a> {
    pub job: Field<'a>,
    pub allow_ms: Field<'a>,
    pub item: Field<'a>,
    pub part: Field<'a>,
    pub group: Field<'a>,
    pub size_kb: Field<'a>,
    pub seen: Field<'a>,
    /// The key by which a repetition of the request is recognized.
    pub unique: Field<'a>,
    pub shop: Field<'a>,
}

/// Parses an unsigned number that consists of digits only. The signs, `inf` and exponents that `parse` would accept are
/// not part of the protocol.
fn parse_digits<T: FromStr>(value: &[u8]) -> Option<T> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    text.parse().ok()
}

/// Parses a decimal number from 0 to `max`, with or without a fraction.
fn parse_decimal(value: &[u8], max: f64) -> Option<f64> {
    let is_decimal = |t: &&str| t.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = std::str::from_utf8(value).ok().filter(is_decimal)?.parse().ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Parses an identifier of 16 hexadecimal digits.
fn parse_hex_id(value: &[u8]) -> Option<Token> {
    let is_hex = value.len() == 16 && value.iter().all(u8::is_ascii_hexdigit);
    Token::new(value).filter(|_| is_hex)
}

/// Upper bounds of the part number and of the size in KB, above every value that occurs in practice.
const MAX_PART: u32 = 1_000_000;
const MAX_SIZE_KB: f64 = 1e7;

/// Answers are due this long before the client stops waiting, so that they have time to reach it.
const ANSWER_MARGIN_MS: Ms = 20.0;

/// The classes that requests may name, each with its counters.
#[derive(Debug)]
pub struct ClassTable(Vec<(Class, Arc<ClassTally>)>);

impl ClassTable {
    fn new(classes: Vec<Class>, counters: &Counters) -> ClassTable {
        ClassTable(classes.into_iter().map(|c| (c.clone(), counters.figures.tally(&c.name))).collect())
    }

    /// The class of this name with its counters.
    fn find(&self, name: &str) -> Option<&(Class, Arc<ClassTally>)> {
        self.0.iter().find(|(c, _)| &*c.name == name)
    }
}

/// Validates requests and passes them to the engine.
pub struct Intake {
    /// The classes that requests may name, replaced as a whole on SIGHUP.
    classes: ArcSwap<ClassTable>,
    next_id: AtomicU32,
    /// Where validated requests wait for the engine.
    pub requests: Arc<RequestQueue>,
    pub counters: Arc<Counters>,
    /// Bounds the bytes of request bodies in memory, whether partially received or open.
    pub request_memory: Budget,
    /// The job ids of requests that must not run twice.
    pub job_ids: Arc<JobIds>,
    pub log: RateLimitedLog,
}

impl Intake {
    /// Creates an intake that adds its requests to `requests`.
    pub fn new(
        classes: Vec<Class>,
        request_memory: Budget,
        requests: Arc<RequestQueue>,
        counters: Arc<Counters>,
        job_ids: Arc<JobIds>,
    ) -> Intake {
        let classes = ArcSwap::from_pointee(ClassTable::new(classes, &counters));
        Intake {
            classes,
            next_id: AtomicU32::new(1),
            requests,
            counters,
            request_memory,
            job_ids,
            log: RateLimitedLog::default(),
        }
    }

    /// The class of this name, if there is one.
    pub fn class(&self, name: &str) -> Option<Class> {
        self.classes.load().find(name).map(|(class, _)| class.clone())
    }

    /// Replaces the classes for new requests; open requests keep theirs.
    pub fn replace_classes(&self, classes: Vec<Class>) {
        self.classes.store(Arc::new(ClassTable::new(classes, &self.counters)));
    }

    /// Validates a complete request received at `received_at`. Gives `None` for invalid fields: such a request must
    /// never reach a cache node and must not be served.
    pub fn validate(
        &self,
        class: &str,
        fields: &RequestFields<'_>,
        body: Vec<u8>,
        held: Held,
        received_at: Ms,
    ) -> Option<ValidRequest> {
        let classes = self.classes.load();
        let (class, tally) = classes.find(class)?;
        let item = fields.item.parse_or(None, parse_hex_id)?;
        let object = u64::from_str_radix(item.as_str(), 16).ok()?;
        let part_number = fields.part.parse_or(Some(0), |v| parse_digits(v).filter(|n| *n <= MAX_PART))?;
        let part = fields.part.parse_or(Token::new(b"0"), Token::new)?;
        // No client waits longer than its class allows; the factor of two leaves a margin for how the client states it.
        let allow_ms = fields.allow_ms.parse_or(None, |v| parse_decimal(v, 2.0 * class.deadline))?;
        let group = fields.group.parse_or(Some(0), parse_digits::<u8>)?;
        let size_kb = fields.size_kb.parse_or(Some(0.0), |v| parse_decimal(v, MAX_SIZE_KB))?;
        let client_digest = fields.seen.parse_or(Some(None), |tag| Token::new(tag).map(Some))?;
        let idempotency_key = fields.unique.parse_or(Some(None), |key| Token::new(key).map(Some))?;
        let shop = match fields.shop {
            Field::Absent => ShopId::of(""),
            Field::Single(name) => ShopId::of(Token::new(name)?.as_str()),
            Field::Duplicate => return None,
        };
        let job = fields.job.parse_or(None, parse_hex_id)?;
        let (class_name, once, write) = (class.name.clone(), class.once, class.write);
        let tally = tally.clone();
        let forwarded = ForwardedRequest {
            job,
            class_name,
            item,
            part,
            client_digest,
            idempotency_key,
            body,
            once,
            write,
            _held: held,
            tally,
        };
        (allow_ms > 0.0).then(|| ValidRequest {
            may_be_repeated: !class.once && !class.keyed,
            class: class.id,
            object: ObjectId(object),
            part: part_number,
            group: PurgeGroup(group.into()),
            size_kb: Some(size_kb).filter(|kb| *kb > 0.0),
            shop,
            deadline: received_at + allow_ms - ANSWER_MARGIN_MS.min(allow_ms / 10.0),
            forwarded: Arc::new(forwarded),
        })
    }

    /// Passes a request of this client to the engine.
    pub fn submit(&self, source: Source, request: ValidRequest, responder: Responder) -> RequestId {
        let id = RequestId(self.next_id.fetch_add(1, Relaxed));
        let ValidRequest { class, object, part, group, size_kb, shop, deadline, forwarded, .. } = request;
        let responder = responder.counted(self.counters.figures.taken(forwarded.tally.clone()));
        let incoming =
            Incoming { id, class, object, part, group, size_kb, shop, deadline, forwarded, responder };
        self.requests.push(source, incoming);
        id
    }
}

impl ValidRequest {
    /// Claims the request's job id among `job_ids`, where the request must not run twice.
    pub fn claim_job(&self, job_ids: &Arc<JobIds>, now: Ms) -> Option<Claimed> {
        let forwarded = &self.forwarded;
        let request =
            (&forwarded.class_name, &forwarded.item, &forwarded.part, self.group.0, &forwarded.body);
        forwarded.once.then(|| job_ids.claim(&forwarded.job, &request, now))
    }
}

/// A validated request, ready to be submitted.
pub struct ValidRequest {
    /// A repetition does no harm whatever became of this one.
    pub may_be_repeated: bool,
    class: ClassId,
    object: ObjectId,
    part: u32,
    group: PurgeGroup,
    size_kb: Option<f64>,
    shop: ShopId,
    pub deadline: Ms,
    forwarded: Arc<ForwardedRequest>,
}
