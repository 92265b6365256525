//! FastCGI 1.0 records, as far as a Responder needs them.

pub const BEGIN_REQUEST: u8 = 1;
pub const ABORT_REQUEST: u8 = 2;
pub const END_REQUEST: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;
pub const DATA: u8 = 8;
pub const GET_VALUES: u8 = 9;
pub const GET_VALUES_RESULT: u8 = 10;
pub const UNKNOWN_TYPE: u8 = 11;

pub const RESPONDER: u16 = 1;
pub const KEEP_CONN: u8 = 1;

const HEADER: usize = 8;
/// The most that one record carries here: a multiple of 8, so that no record needs padding but the last.
const MOST: usize = 65_528;

/// The protocol status of an END_REQUEST.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    RequestComplete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub kind: u8,
    pub id: u16,
    pub content: &'a [u8],
}

#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    Version(u8),
    BeginRequest,
    NameValue,
}

/// The first record of the bytes and how long it is; `None` while it has not come whole.
pub fn record(bytes: &[u8]) -> Result<Option<(Record<'_>, usize)>, Malformed> {
    let Some(&version) = bytes.first() else { return Ok(None) };
    if version != 1 {
        return Err(Malformed::Version(version));
    }
    if bytes.len() < HEADER {
        return Ok(None);
    }
    let length = usize::from(u16::from_be_bytes([bytes[4], bytes[5]]));
    let whole = HEADER + length + usize::from(bytes[6]);
    if bytes.len() < whole {
        return Ok(None);
    }
    let id = u16::from_be_bytes([bytes[2], bytes[3]]);
    Ok(Some((Record { kind: bytes[1], id, content: &bytes[HEADER..HEADER + length] }, whole)))
}

/// Role and flags of a BEGIN_REQUEST.
pub fn begin_request(content: &[u8]) -> Result<(u16, u8), Malformed> {
    match content {
        [high, low, flags, _, _, _, _, _] => Ok((u16::from_be_bytes([*high, *low]), *flags)),
        _ => Err(Malformed::BeginRequest),
    }
}

/// Walks the name-value pairs of a PARAMS or GET_VALUES stream.
pub struct Pairs<'a>(pub &'a [u8]);

impl<'a> Pairs<'a> {
    fn length(&mut self) -> Option<usize> {
        let (length, used) = match *self.0 {
            [short, ..] if short < 0x80 => (usize::from(short), 1),
            [a, b, c, d, ..] => (u32::from_be_bytes([a & 0x7F, b, c, d]) as usize, 4),
            _ => return None,
        };
        self.0 = &self.0[used..];
        Some(length)
    }

    fn pair(&mut self) -> Option<(&'a [u8], &'a [u8])> {
        let (name, value) = (self.length()?, self.length()?);
        let rest = self.0;
        let (name, rest) = rest.split_at_checked(name)?;
        let (value, rest) = rest.split_at_checked(value)?;
        self.0 = rest;
        Some((name, value))
    }
}

impl<'a> Iterator for Pairs<'a> {
    type Item = Result<(&'a [u8], &'a [u8]), Malformed>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.is_empty() {
            return None;
        }
        let pair = self.pair();
        if pair.is_none() {
            self.0 = &[];
        }
        Some(pair.ok_or(Malformed::NameValue))
    }
}

fn header(out: &mut Vec<u8>, kind: u8, id: u16, length: usize, padding: usize) {
    let ([id_high, id_low], [high, low]) = (id.to_be_bytes(), (length as u16).to_be_bytes());
    out.extend([1, kind, id_high, id_low, high, low, padding as u8, 0]);
}

/// One record, padded to a multiple of eight bytes.
pub fn put(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let padding = content.len().next_multiple_of(8) - content.len();
    header(out, kind, id, content.len(), padding);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// A whole STDOUT stream, head and body, split over as many records as it needs, and its end.
pub fn stdout(out: &mut Vec<u8>, id: u16, head: &[u8], body: &[u8]) {
    out.reserve(head.len() + body.len() + (body.len() / MOST + 4) * 16);
    put(out, STDOUT, id, head);
    body.chunks(MOST).for_each(|part| put(out, STDOUT, id, part));
    put(out, STDOUT, id, &[]);
}

pub fn end_request(out: &mut Vec<u8>, id: u16, app_status: u32, status: ProtocolStatus) {
    let [a, b, c, d] = app_status.to_be_bytes();
    put(out, END_REQUEST, id, &[a, b, c, d, status as u8, 0, 0, 0]);
}

/// The answer to GET_VALUES: those of the variables asked for that are known.
pub fn values(out: &mut Vec<u8>, asked: &[u8], known: &[(&str, &str)]) {
    let mut content = Vec::new();
    for (name, _) in Pairs(asked).map_while(Result::ok) {
        for (known, value) in known.iter().filter(|(known, _)| known.as_bytes() == name) {
            content.extend([known.len() as u8, value.len() as u8]);
            content.extend(known.bytes().chain(value.bytes()));
        }
    }
    put(out, GET_VALUES_RESULT, 0, &content);
}

pub fn unknown_type(out: &mut Vec<u8>, kind: u8) {
    put(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}
