//! Takes requests in.

pub mod dns;
pub mod fastcgi;
pub mod http;

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;

use crossbeam_channel::Sender;
use elmtide::{ClassId, Ms, ObjectId, PurgeGroup, RequestId};

use crate::exchange::{Incoming, Input, Passed, Responder, Token};
use crate::lifecycle::config::Class;
use crate::memory::counters::Counters;

/// The fields of a request as a front has read them from its wire.
#[derive(Debug, Default)]
pub struct Fields {
    pub class: String,
    pub job: Option<Token>,
    pub allow_ms: Option<f64>,
    pub item: Option<Token>,
    pub part: Option<Token>,
    pub group: Option<u16>,
    pub size_kb: Option<f64>,
    pub seen: Option<Token>,
}

/// Where the fronts hand their requests in.
pub struct Intake {
    classes: Vec<Class>,
    next: AtomicU32,
    pub inputs: Sender<Input>,
    pub counters: Arc<Counters>,
}

impl Intake {
    pub fn new(classes: Vec<Class>, inputs: Sender<Input>, counters: Arc<Counters>) -> Intake {
        Intake { classes, next: AtomicU32::new(1), inputs, counters }
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| &*c.name == name)
    }

    /// Makes a request of what came whole at this moment; `None` for fields that can't be used.
    pub fn ready(&self, fields: Fields, body: Vec<u8>, came: Ms) -> Option<Ready> {
        let ready = self.read(fields, body, came);
        if ready.is_none() {
            self.counters.bad_requests.fetch_add(1, Relaxed);
        }
        ready
    }

    fn read(&self, fields: Fields, body: Vec<u8>, came: Ms) -> Option<Ready> {
        let class = self.class(&fields.class)?;
        let item = fields.item?;
        let hex = |t: &Token| t.as_str().len() <= 16 && t.as_str().bytes().all(|b| b.is_ascii_hexdigit());
        let object = u64::from_str_radix(item.as_str(), 16).ok().filter(|_| hex(&item))?;
        let part = fields.part.or_else(|| Token::new(b"0"))?;
        let number = part.as_str().parse().ok()?;
        let allow = fields.allow_ms.filter(|ms| ms.is_finite() && *ms > 0.0)?;
        let passed =
            Passed { job: fields.job?, class_name: class.name.clone(), item, part, seen: fields.seen, body };
        Some(Ready {
            class: class.id,
            object: ObjectId(object),
            part: number,
            group: PurgeGroup(fields.group.unwrap_or(0)),
            size_kb: fields.size_kb.filter(|kb| kb.is_finite() && *kb > 0.0),
            deadline: came + allow,
            passed: Arc::new(passed),
        })
    }

    /// Hands a request in; the responder answers by itself if the engine is gone.
    pub fn hand_in(&self, ready: Ready, responder: Responder) -> RequestId {
        let id = RequestId(self.next.fetch_add(1, Relaxed));
        let Ready { class, object, part, group, size_kb, deadline, passed } = ready;
        let incoming = Incoming { id, class, object, part, group, size_kb, deadline, passed, responder };
        let _ = self.inputs.send(Input::Taken(incoming));
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
    pub deadline: Ms,
    passed: Arc<Passed>,
}
