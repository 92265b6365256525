//! FastCGI 1.0 records, to the extent that a Responder needs them.

/// Record types.
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

/// The only supported role, and the flag that keeps the connection open after a request.
pub const RESPONDER: u16 = 1;
pub const KEEP_CONN: u8 = 1;

const HEADER_BYTES: usize = 8;
/// The maximum content of one record here: a multiple of 8, so that only the last record needs padding. Small, since an
/// answer that is given up keeps the record that is being written.
const MAX_CONTENT_BYTES: usize = 16_376;

/// The protocol status of an END_REQUEST.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    RequestComplete = 0,
    Overloaded = 2,
    UnknownRole = 3,
}

/// One record without its padding.
#[derive(Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub kind: u8,
    pub id: u16,
    pub content: &'a [u8],
}

/// Why a record is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    Version(u8),
    BeginRequest,
    NameValue,
}

/// Parses the first record and gives its length in bytes; `None` while it is incomplete.
pub fn parse_record(bytes: &[u8]) -> Result<Option<(Record<'_>, usize)>, Malformed> {
    let Some(&version) = bytes.first() else { return Ok(None) };
    if version != 1 {
        return Err(Malformed::Version(version));
    }
    if bytes.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = usize::from(u16::from_be_bytes([bytes[4], bytes[5]]));
    let total = HEADER_BYTES + length + usize::from(bytes[6]);
    if bytes.len() < total {
        return Ok(None);
    }
    let id = u16::from_be_bytes([bytes[2], bytes[3]]);
    Ok(Some((Record { kind: bytes[1], id, content: &bytes[HEADER_BYTES..HEADER_BYTES + length] }, total)))
}

/// The last start of a record at or before `position`, and the first end at or after it, in bytes that consist of whole
/// records.
pub fn record_around(bytes: &[u8], position: usize) -> std::ops::Range<usize> {
    let (mut start, mut end) = (0, 0);
    while end < position {
        start = end;
        let Some(header) = bytes.get(end..end + HEADER_BYTES) else { return start..bytes.len() };
        end +=
            HEADER_BYTES + usize::from(u16::from_be_bytes([header[4], header[5]])) + usize::from(header[6]);
    }
    let start = if end == position { end } else { start };
    start.min(bytes.len())..end.min(bytes.len())
}

/// Parses a BEGIN_REQUEST into its role and flags.
pub fn parse_begin_request(content: &[u8]) -> Result<(u16, u8), Malformed> {
    match content {
        [high, low, flags, _, _, _, _, _] => Ok((u16::from_be_bytes([*high, *low]), *flags)),
        _ => Err(Malformed::BeginRequest),
    }
}

/// Iterates over the name-value pairs of a PARAMS or GET_VALUES stream.
pub struct Pairs<'a>(pub &'a [u8]);

impl<'a> Pairs<'a> {
    fn next_length(&mut self) -> Option<usize> {
        let (length, used) = match *self.0 {
            [short, ..] if short < 0x80 => (usize::from(short), 1),
            [a, b, c, d, ..] => (u32::from_be_bytes([a & 0x7F, b, c, d]) as usize, 4),
            _ => return None,
        };
        self.0 = &self.0[used..];
        Some(length)
    }

    fn next_pair(&mut self) -> Option<(&'a [u8], &'a [u8])> {
        let (name, value) = (self.next_length()?, self.next_length()?);
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
        let pair = self.next_pair();
        if pair.is_none() {
            self.0 = &[];
        }
        Some(pair.ok_or(Malformed::NameValue))
    }
}

fn write_header(out: &mut Vec<u8>, kind: u8, id: u16, length: usize, padding: usize) {
    let ([id_high, id_low], [high, low]) = (id.to_be_bytes(), (length as u16).to_be_bytes());
    out.extend([1, kind, id_high, id_low, high, low, padding as u8, 0]);
}

/// Writes one record, padded to a multiple of eight bytes.
pub fn write_record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let padding = content.len().next_multiple_of(8) - content.len();
    write_header(out, kind, id, content.len(), padding);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// Writes a complete STDOUT stream, head and body, split over as many records as it needs, and its end.
pub fn write_stdout(out: &mut Vec<u8>, id: u16, head: &[u8], body: &[u8]) {
    out.reserve(head.len() + body.len() + (body.len() / MAX_CONTENT_BYTES + 4) * 16);
    write_record(out, STDOUT, id, head);
    body.chunks(MAX_CONTENT_BYTES).for_each(|part| write_record(out, STDOUT, id, part));
    write_record(out, STDOUT, id, &[]);
}

/// Writes an END_REQUEST.
pub fn write_end_request(out: &mut Vec<u8>, id: u16, app_status: u32, status: ProtocolStatus) {
    let [a, b, c, d] = app_status.to_be_bytes();
    write_record(out, END_REQUEST, id, &[a, b, c, d, status as u8, 0, 0, 0]);
}

/// Writes the answer to GET_VALUES: those of the requested variables that are known.
pub fn write_values(out: &mut Vec<u8>, requested: &[u8], known: &[(&str, &str)]) {
    let mut content = Vec::new();
    for (name, _) in Pairs(requested).map_while(Result::ok) {
        for (known, value) in known.iter().filter(|(known, _)| known.as_bytes() == name) {
            content.extend([known.len() as u8, value.len() as u8]);
            content.extend(known.bytes().chain(value.bytes()));
        }
    }
    write_record(out, GET_VALUES_RESULT, 0, &content);
}

/// Writes an UNKNOWN_TYPE for a management record of an unknown type.
pub fn write_unknown_type(out: &mut Vec<u8>, kind: u8) {
    write_record(out, UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0]);
}
