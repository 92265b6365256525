//! Names and numbers as they are on the wire (RFC 1035, section 4).

use std::fmt;

pub const HEADER: usize = 12;
/// A name is this long at most, its closing zero included.
pub const NAME: usize = 255;
/// The owner of an answer is most often the name in the question, which stands behind the header.
pub const QUESTION_POINTER: u16 = 0xC00C;

/// Response codes (RFC 6895, section 2.3); those over 15 need EDNS.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rcode(pub u16);

impl Rcode {
    pub const NOERROR: Rcode = Rcode(0);
    pub const FORMERR: Rcode = Rcode(1);
    pub const SERVFAIL: Rcode = Rcode(2);
    pub const NXDOMAIN: Rcode = Rcode(3);
    pub const NOTIMP: Rcode = Rcode(4);
    pub const REFUSED: Rcode = Rcode(5);
    pub const NOTAUTH: Rcode = Rcode(9);
    pub const BADVERS: Rcode = Rcode(16);
    pub const BADCOOKIE: Rcode = Rcode(23);
}

/// Record types (RFC 6895, section 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Type(pub u16);

impl Type {
    pub const A: Type = Type(1);
    pub const NS: Type = Type(2);
    pub const CNAME: Type = Type(5);
    pub const SOA: Type = Type(6);
    pub const TXT: Type = Type(16);
    pub const AAAA: Type = Type(28);
    pub const SRV: Type = Type(33);
    pub const OPT: Type = Type(41);
    pub const DS: Type = Type(43);
    pub const SVCB: Type = Type(64);
    pub const HTTPS: Type = Type(65);
    pub const TSIG: Type = Type(250);
    pub const IXFR: Type = Type(251);
    pub const AXFR: Type = Type(252);
    pub const MAILB: Type = Type(253);
    pub const MAILA: Type = Type(254);
    pub const ANY: Type = Type(255);
    pub const CAA: Type = Type(257);
}

pub const CLASS_IN: u16 = 1;
pub const CLASS_ANY: u16 = 255;

/// The message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

pub fn u16_at(bytes: &[u8], at: usize) -> Result<u16, Malformed> {
    let two = bytes.get(at..at + 2).ok_or(Malformed)?;
    Ok(u16::from_be_bytes([two[0], two[1]]))
}

pub fn u32_at(bytes: &[u8], at: usize) -> Result<u32, Malformed> {
    let four = bytes.get(at..at + 4).ok_or(Malformed)?;
    Ok(u32::from_be_bytes([four[0], four[1], four[2], four[3]]))
}

/// A name in wire form and small letters, kept on the stack.
#[derive(Clone, Copy)]
pub struct Name {
    bytes: [u8; NAME],
    len: u8,
    labels: u8,
}

impl Name {
    /// The name at this place, and the place behind it. Pointers are not followed: a question has nothing before it
    /// that it could point to.
    pub fn read(message: &[u8], at: usize) -> Result<(Name, usize), Malformed> {
        let mut name = Name { bytes: [0; NAME], len: 0, labels: 0 };
        let mut from = at;
        loop {
            let length = usize::from(*message.get(from).ok_or(Malformed)?);
            let to = usize::from(name.len);
            if length > 63 || to + 1 + length > NAME - usize::from(length > 0) {
                return Err(Malformed);
            }
            let label = message.get(from..from + 1 + length).ok_or(Malformed)?;
            // Lengths are below the letters, so that all may be made small alike.
            for (into, byte) in name.bytes[to..].iter_mut().zip(label) {
                *into = byte.to_ascii_lowercase();
            }
            name.len += 1 + length as u8;
            from += 1 + length;
            if length == 0 {
                return Ok((name, from));
            }
            name.labels += 1;
        }
    }

    pub fn wire(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }

    /// Labels, the root's not counted.
    pub fn labels(&self) -> u8 {
        self.labels
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&shown(self.wire()))
    }
}

/// Labels of a name in wire form, the root's not counted.
pub fn labels(wire: &[u8]) -> u8 {
    let (mut at, mut count) = (0, 0);
    while let Some(length) = wire.get(at).filter(|l| **l > 0) {
        at += 1 + usize::from(*length);
        count += 1;
    }
    count
}

/// A name in wire form without its first label; the root stays.
pub fn parent(wire: &[u8]) -> &[u8] {
    match wire.first() {
        Some(length) if *length > 0 => wire.get(1 + usize::from(*length)..).unwrap_or(&[0]),
        _ => wire,
    }
}

/// Whether a name (both in wire form and small letters) is the other or below it.
pub fn is_within(name: &[u8], above: &[u8]) -> bool {
    let Some(extra) = name.len().checked_sub(above.len()) else { return false };
    if &name[extra..] != above {
        return false;
    }
    // The place has to be the beginning of a label.
    let mut at = 0;
    while at < extra {
        at += 1 + usize::from(name[at]);
    }
    at == extra
}

/// A name for a person.
pub fn shown(wire: &[u8]) -> String {
    let (mut text, mut at) = (String::new(), 0);
    while let Some(length) = wire.get(at).filter(|l| **l > 0) {
        let label = wire.get(at + 1..at + 1 + usize::from(*length)).unwrap_or_default();
        text.push_str(&label.escape_ascii().to_string());
        text.push('.');
        at += 1 + label.len();
    }
    if text.is_empty() {
        text.push('.');
    }
    text
}

/// The place behind a name that may end with a pointer, which is not followed.
pub fn skip_name(message: &[u8], mut at: usize) -> Result<usize, Malformed> {
    let from = at;
    loop {
        let length = usize::from(*message.get(at).ok_or(Malformed)?);
        match length {
            0 => return Ok(at + 1),
            1..=63 => at += 1 + length,
            0xC0..=0xFF if message.len() > at + 1 => return Ok(at + 2),
            _ => return Err(Malformed),
        }
        if at - from >= NAME {
            return Err(Malformed);
        }
    }
}

/// A wire name of a text; relative ones are below the origin.
pub fn parse_name(text: &str, origin: &[u8]) -> Result<Box<[u8]>, String> {
    if text == "@" {
        return Ok(origin.into());
    }
    let parsed =
        hickory_proto::rr::Name::from_ascii(text).map_err(|e| format!("{text:?} is no name: {e}"))?;
    let mut wire = Vec::new();
    for label in parsed.iter() {
        wire.push(label.len() as u8);
        wire.extend(label.iter().map(u8::to_ascii_lowercase));
    }
    match parsed.is_fqdn() {
        true => wire.push(0),
        false => wire.extend_from_slice(origin),
    }
    match wire.len() {
        0..=NAME => Ok(wire.into()),
        long => Err(format!("{text:?} is {long} bytes long: {NAME} at most")),
    }
}

/// Whether serial `a` is later than `b` (RFC 1982, section 3.2); undefined pairs are not.
pub fn serial_later(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_bounded() {
        let long = |labels: &[usize]| {
            let mut bytes: Vec<u8> = Vec::new();
            for l in labels {
                bytes.push(*l as u8);
                bytes.extend(vec![b'A'; *l]);
            }
            bytes.push(0);
            bytes
        };
        let fits = long(&[63, 63, 63, 61]);
        assert_eq!(fits.len(), 255);
        assert_eq!(Name::read(&fits, 0).unwrap().0.wire().len(), 255);
        assert!(Name::read(&long(&[63, 63, 63, 62]), 0).is_err());
        assert!(Name::read(&[0xC0, 0], 0).is_err());
        assert!(Name::read(&[3, b'a'], 0).is_err());
        assert!(Name::read(&[64; 80], 0).is_err());
        assert_eq!(Name::read(&[0], 0).unwrap().0.labels(), 0);
    }

    #[test]
    fn a_suffix_counts_only_at_a_label() {
        let wire = |t: &str| parse_name(t, &[0]).unwrap();
        assert!(is_within(&wire("a.edge.test."), &wire("edge.test.")));
        assert!(!is_within(&wire("aedge.test."), &wire("edge.test.")));
        // A label that holds the bytes of the other name.
        assert!(!is_within(b"\x0bx\x04edge\x04tes\x01t\x00", b"\x04edge\x04tes\x01t\x00"));
    }

    #[test]
    fn serials_wrap() {
        assert!(serial_later(1, u32::MAX));
        assert!(!serial_later(u32::MAX, 1));
        assert!(!serial_later(5, 5));
        assert!(!serial_later(1 << 31, 0), "undefined");
    }
}
