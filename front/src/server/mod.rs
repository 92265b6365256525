//! Takes requests in.

pub mod acceptor;
pub mod clients;
pub mod dns;
pub mod drain_report;
pub mod fastcgi;
pub mod http;
pub mod mailbox;
pub mod management;
pub mod sockets;

use std::str::FromStr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use elmtide::{ClassId, Ms, ObjectId, PurgeGroup, RequestId};
use elmtide_cells::ShopId;

use crate::exchange::{Class, ForwardedRequest, Incoming, Input, Responder, Token};
use crate::memory::budget::{Budget, Held};
use crate::memory::counters::Counters;
use crate::memory::figures::ClassTally;
use crate::process::log::Log;

/// A field as it came. One that came twice is none that can be used: which of the two is meant is not clear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Field<'a> {
    #[default]
    Absent,
    Once(&'a [u8]),
    Doubled,
}

impl<'a> Field<'a> {
    pub fn put(&mut self, value: &'a [u8]) {
        *self = if *self == Field::Absent { Field::Once(value) } else { Field::Doubled };
    }

    /// Another value where there is no field.
    pub fn or(self, usual: &'a str) -> Field<'a> {
        if self == Field::Absent {
            Field::Once(usual.as_bytes())
        } else {
            self
        }
    }

    /// The value by this reading; `None` for one that can't be used, `usual` where there is no field.
    fn read<T>(self, usual: Option<T>, read: impl FnOnce(&'a [u8]) -> Option<T>) -> Option<T> {
        match self {
            Field::Absent => usual,
            Field::Once(value) => read(value),
            Field::Doubled => None,
        }
    }
}

/// The fields of a request as a front has found them on its wire.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fields<'a> {
    pub job: Field<'a>,
    pub allow_ms: Field<'a>,
    pub item: Field<'a>,
    pub part: Field<'a>,
    pub group: Field<'a>,
    pub size_kb: Field<'a>,
    pub seen: Field<'a>,
    /// By what a repeat is known.
    pub unique: Field<'a>,
    pub shop: Field<'a>,
}

/// Digits only: what `parse` takes beside, such as a sign, `inf` or `1e9`, is no figure of the protocol.
fn digits<T: FromStr>(value: &[u8]) -> Option<T> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    text.parse().ok()
}

/// A figure from 0 up to `most`, with a fraction or without.
fn figure(value: &[u8], most: f64) -> Option<f64> {
    let plain = |t: &&str| t.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let figure: f64 = std::str::from_utf8(value).ok().filter(plain)?.parse().ok()?;
    (0.0..=most).contains(&figure).then_some(figure)
}

/// 16 hex digits.
fn hex(value: &[u8]) -> Option<Token> {
    let fits = value.len() == 16 && value.iter().all(u8::is_ascii_hexdigit);
    Token::new(value).filter(|_| fits)
}

/// Above every part and size that there is.
const MOST_PARTS: u32 = 1_000_000;
const MOST_KB: f64 = 1e7;

/// The last answer is given so many milliseconds before the client's time ends: it has to get there.
const ANSWER_BEFORE: Ms = 20.0;

/// The classes that requests may name, each with its counts.
#[derive(Debug)]
pub struct Classes(Vec<(Class, Arc<ClassTally>)>);

impl Classes {
    fn new(classes: Vec<Class>, counters: &Counters) -> Classes {
        Classes(classes.into_iter().map(|c| (c.clone(), counters.figures.tally(&c.name))).collect())
    }

    fn find(&self, name: &str) -> Option<&(Class, Arc<ClassTally>)> {
        self.0.iter().find(|(c, _)| &*c.name == name)
    }
}

/// Where the fronts hand their requests in.
pub struct Intake {
    /// The classes that requests may name now, swapped whole at SIGHUP.
    classes: ArcSwap<Classes>,
    next: AtomicU32,
    pub inputs: Sender<Input>,
    pub counters: Arc<Counters>,
    /// Bytes of requests that are held, coming in or open.
    pub bodies: Budget,
    pub log: Log,
}

impl Intake {
    pub fn new(
        classes: Vec<Class>,
        bodies: Budget,
        inputs: Sender<Input>,
        counters: Arc<Counters>,
    ) -> Intake {
        let classes = ArcSwap::from_pointee(Classes::new(classes, &counters));
        Intake { classes, next: AtomicU32::new(1), inputs, counters, bodies, log: Log::default() }
    }

    pub fn class(&self, name: &str) -> Option<Class> {
        self.classes.load().find(name).map(|(class, _)| class.clone())
    }

    /// Requests name these classes from now on; those open keep theirs.
    pub fn retune(&self, classes: Vec<Class>) {
        self.classes.store(Arc::new(Classes::new(classes, &self.counters)));
    }

    /// Makes a request of what came whole at this moment; `None` for fields that can't be used: those must never
    /// come to a cache node, and never be served.
    pub fn ready(
        &self,
        class: &str,
        fields: &Fields<'_>,
        body: Vec<u8>,
        held: Held,
        came: Ms,
    ) -> Option<Ready> {
        let classes = self.classes.load();
        let (class, tally) = classes.find(class)?;
        let item = fields.item.read(None, hex)?;
        let object = u64::from_str_radix(item.as_str(), 16).ok()?;
        let number = fields.part.read(Some(0), |v| digits(v).filter(|n| *n <= MOST_PARTS))?;
        let part = fields.part.read(Token::new(b"0"), Token::new)?;
        // No client waits longer than its class allows; twice that leaves room for how it is told.
        let allow = fields.allow_ms.read(None, |v| figure(v, 2.0 * class.deadline))?;
        let group = fields.group.read(Some(0), digits::<u8>)?;
        let size_kb = fields.size_kb.read(Some(0.0), |v| figure(v, MOST_KB))?;
        let client_digest = fields.seen.read(Some(None), |tag| Token::new(tag).map(Some))?;
        let idempotency_key = fields.unique.read(Some(None), |key| Token::new(key).map(Some))?;
        let shop = match fields.shop {
            Field::Absent => ShopId::of(""),
            Field::Once(name) => ShopId::of(Token::new(name)?.as_str()),
            Field::Doubled => return None,
        };
        let job = fields.job.read(None, hex)?;
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
        (allow > 0.0).then(|| Ready {
            class: class.id,
            object: ObjectId(object),
            part: number,
            group: PurgeGroup(group.into()),
            size_kb: Some(size_kb).filter(|kb| *kb > 0.0),
            shop,
            deadline: came + allow - ANSWER_BEFORE.min(allow / 10.0),
            forwarded: Arc::new(forwarded),
        })
    }

    /// Hands a request in; the responder answers by itself if the engine is gone.
    pub fn hand_in(&self, ready: Ready, responder: Responder) -> RequestId {
        let id = RequestId(self.next.fetch_add(1, Relaxed));
        let Ready { class, object, part, group, size_kb, shop, deadline, forwarded } = ready;
        let responder = responder.counted(self.counters.figures.taken(forwarded.tally.clone()));
        let incoming =
            Incoming { id, class, object, part, group, size_kb, shop, deadline, forwarded, responder };
        let _ = self.inputs.send(Input::Request(incoming));
        id
    }
}

/// A request that can be handed in.
pub struct Ready {
    class: ClassId,
    object: ObjectId,
    part: u32,
    group: PurgeGroup,
    size_kb: Option<f64>,
    shop: ShopId,
    pub deadline: Ms,
    forwarded: Arc<ForwardedRequest>,
}
