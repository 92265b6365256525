//! The simulator's protocol: a batch of records in, one reply frame of actions out. All numbers are little-endian.

use std::collections::BTreeMap;

use elmtide::*;
use elmtide_settings as settings;

/// Length of a batch header in bytes.
pub const HEADER_LEN: usize = 16;

/// Parses a batch header: the number of records, the length of the whole frame and the clock.
pub fn parse_header(bytes: &[u8; HEADER_LEN]) -> Result<(u32, usize, Ms), String> {
    let mut r = Reader { bytes };
    let (record_count, frame_len, clock) = (r.u32()?, r.u32()? as usize, r.f64()?);
    if frame_len < HEADER_LEN {
        return Err(format!("batch length {frame_len} is shorter than its header"));
    }
    if !clock.is_finite() {
        return Err("batch clock is not a finite number".into());
    }
    Ok((record_count, frame_len, clock))
}

/// Reads values from the start of a byte slice.
struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if n > self.bytes.len() {
            return Err("truncated record".into());
        }
        let (head, tail) = self.bytes.split_at(n);
        self.bytes = tail;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f64, String> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }
    fn f64(&mut self) -> Result<f64, String> {
        Ok(f64::from_le_bytes(self.array()?))
    }
    /// A server's id: 6 bytes.
    fn member_id(&mut self) -> Result<MemberId, String> {
        let b: [u8; 6] = self.array()?;
        Ok(MemberId(u64::from_le_bytes([b[0], b[1], b[2], b[3], b[4], b[5], 0, 0])))
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u8()? {
            0 => Outcome::Ok,
            1 => Outcome::Error,
            2 => Outcome::Full,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::Moot,
            8 => Outcome::Miss,
            other => return Err(format!("unknown outcome {other}")),
        })
    }
    fn note(&mut self) -> Result<Note, String> {
        Ok(match self.u32()? {
            1 => Note::Hit,
            2 => Note::Filled,
            3 => Note::FilledByOrigin,
            4 => Note::Joined,
            5 => Note::Stale,
            6 => Note::SourceRefused,
            7 => Note::SourceLost,
            8 => Note::SourceLacks,
            9 => Note::NoFillPlace,
            10 => Note::OriginFailed,
            _ => Note::Absent,
        })
    }
    /// Skips a load report, which the decision module does not use.
    fn skip_load_report(&mut self) -> Result<(), String> {
        let value_count = self.u8()?;
        self.take(usize::from(value_count) * 4).map(|_| ())
    }
    fn listing(&mut self) -> Result<Listing, String> {
        let weight = self.f32()?;
        let zone = ZoneId(self.u8()?);
        let started_at = self.f64()?;
        let kind = KindId(self.u16()?);
        let availability = match self.u8()? {
            0 => Availability::Draining,
            1 => Availability::Ready,
            2 => Availability::Gone,
            other => return Err(format!("unknown availability {other}")),
        };
        let member = self.member_id()?;
        let cell = CellId(self.u16()?);
        Ok(Listing {
            member,
            weight,
            zone,
            kind,
            cell,
            started_at: (started_at != 0.0).then_some(started_at),
            availability,
        })
    }
}

/// The running instances by the simulator's number.
#[derive(Default)]
pub struct Instances {
    routers: BTreeMap<u32, Router>,
    actions: Vec<Action>,
}

impl Instances {
    /// Handles the records of one batch and returns the reply frame.
    pub fn handle_batch(&mut self, records: u32, now: Ms, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reader = Reader { bytes: body };
        let mut reply = vec![0; 4];
        let (mut current, mut last_written) = (None, None);
        for index in 0..records {
            let instance = self
                .handle_record(&mut reader, now, &mut current)
                .map_err(|message| format!("record {index} of {records}: {message}"))?;
            for action in self.actions.drain(..) {
                if last_written != Some(instance) {
                    last_written = Some(instance);
                    reply.push(27);
                    reply.extend(instance.to_le_bytes());
                }
                write_action(&mut reply, &action);
            }
        }
        if !reader.bytes.is_empty() {
            return Err(format!("{} bytes left over after the last record", reader.bytes.len()));
        }
        let length = u32::try_from(reply.len()).map_err(|_| "reply is too long")?;
        reply[..4].copy_from_slice(&length.to_le_bytes());
        Ok(reply)
    }

    /// Handles one record and returns the instance that it is for. `current` is the instance that the last record of
    /// code 18 has selected.
    fn handle_record(&mut self, r: &mut Reader, now: Ms, current: &mut Option<u32>) -> Result<u32, String> {
        let code = r.u8()?;
        if code == 18 {
            let instance = r.u32()?;
            *current = Some(instance);
            return Ok(instance);
        }
        let instance = current.ok_or_else(|| {
            format!("event of code {code} before any record that selects an instance (code 18)")
        })?;
        let event = match code {
            16 => {
                let object = r.u64()?;
                let group = PurgeGroup(r.u16()?);
                Event::Purged { object: (object != 0).then_some(ObjectId(object)), group, ago: r.f64()? }
            }
            17 => {
                let seed = r.u64()?;
                let length = r.u32()? as usize;
                let settings = settings::parse(r.take(length)?)?;
                self.routers.insert(instance, Router::new(settings, seed, now, &mut self.actions));
                return Ok(instance);
            }
            19 => {
                let update = match r.u8()? {
                    0 => ListUpdate::Delta,
                    1 => ListUpdate::Full,
                    2 => ListUpdate::Cached,
                    3 => ListUpdate::Failed,
                    other => return Err(format!("unknown list update {other}")),
                };
                r.u32()?;
                let count = r.u32()?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    entries.push(r.listing()?);
                }
                Event::List { update, entries }
            }
            // A message that elmtide does not use.
            20 => {
                r.u32()?;
                let length = usize::from(r.u16()?);
                r.take(length)?;
                return Ok(instance);
            }
            21 => {
                let id = RequestId(r.u32()?);
                let attempt = Try(r.u8()?);
                r.member_id()?;
                let outcome = r.outcome()?;
                let latency = r.f64()?;
                let settled = r.u8()? != 0;
                let note = r.note()?;
                r.f64()?;
                r.skip_load_report()?;
                Event::Reply { id, attempt, outcome, latency, settled, note }
            }
            22 => {
                self.routers.remove(&instance);
                return Ok(instance);
            }
            23 => Event::Expired { id: RequestId(r.u32()?) },
            24 => {
                let id = RequestId(r.u32()?);
                r.member_id()?;
                let attempt = Try(r.u8()?);
                r.f64()?;
                Event::FirstByte { id, attempt }
            }
            25 => Event::Timer { token: Token(r.u64()?) },
            26 => {
                let member = r.member_id()?;
                let outcome = r.outcome()?;
                let latency = r.f64()?;
                r.skip_load_report()?;
                Event::Probed { member, outcome, latency }
            }
            27 => {
                let id = RequestId(r.u32()?);
                let class = ClassId(r.u16()?);
                r.u16()?;
                let object = ObjectId(r.u64()?);
                let time_left = r.f64()?;
                let size = r.f32()?;
                let group = PurgeGroup(r.f32()? as u16);
                let part = r.f32()? as u32;
                let write = r.u16()? & 4 != 0;
                let size_kb = (size > 0.0).then_some(size);
                Event::Request(Request { id, class, object, part, group, time_left, size_kb, write })
            }
            other => return Err(format!("unknown event code {other}")),
        };
        // Events for an instance that is not running are ignored.
        if let Some(router) = self.routers.get_mut(&instance) {
            router.handle(now, event, &mut self.actions);
        }
        Ok(instance)
    }
}

fn write_member_id(out: &mut Vec<u8>, member: MemberId) {
    out.extend(&member.0.to_le_bytes()[..6]);
}

fn write_action(out: &mut Vec<u8>, action: &Action) {
    match action {
        Action::Subscribe => out.extend([17, 1]),
        Action::Serve { id, cache, source, rank, max_age, mode, timeout } => {
            out.push(24);
            out.extend(id.0.to_le_bytes());
            out.push(*rank);
            out.extend(max_age.map_or(0.0f64, |age| age).to_le_bytes());
            write_member_id(out, *source);
            write_member_id(out, *cache);
            let flag = |on: bool, value: u8| if on { value } else { 0 };
            let flags = flag(mode.join, 1) | flag(mode.source_holds_only, 2);
            out.push(flags | flag(mode.no_copy_at_parent, 4) | flag(mode.renew, 8));
            out.extend(timeout.to_le_bytes());
        }
        Action::Cancel { id, attempt } => {
            out.push(20);
            out.extend(id.0.to_le_bytes());
            out.push(attempt.0);
        }
        Action::Refuse { id, retry_after } => {
            out.push(22);
            out.extend(id.0.to_le_bytes());
            out.extend(retry_after.map_or(0.0f64, |span| span).to_le_bytes());
        }
        Action::Fail { id } => {
            out.push(18);
            out.extend(id.0.to_le_bytes());
        }
        Action::SetTimer { delay, token } => {
            out.push(16);
            out.extend(delay.to_le_bytes());
            out.extend(token.0.to_le_bytes());
        }
        Action::Probe { member } => {
            out.push(26);
            write_member_id(out, *member);
        }
    }
}
