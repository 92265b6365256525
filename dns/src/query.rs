//! Reading a query: without a copy, without an allocation, each length checked.

use crate::edns::{self, Edns};
use crate::wire::{self, skip_name, u16_at, u32_at, Malformed, Name, Type, HEADER};

/// The first bytes of a message (RFC 1035, section 4.1.1).
#[derive(Clone, Copy, Debug)]
pub struct Header {
    pub id: u16,
    pub opcode: u8,
    pub is_response: bool,
    pub recursion_desired: bool,
    pub counts: [u16; 4],
}

impl Header {
    /// `None` where there is not even a header.
    pub fn read(bytes: &[u8]) -> Option<Header> {
        let count = |n: usize| u16_at(bytes, 4 + 2 * n).ok();
        Some(Header {
            id: u16_at(bytes, 0).ok()?,
            opcode: *bytes.get(2)? >> 3 & 0xF,
            is_response: bytes[2] & 0x80 != 0,
            recursion_desired: bytes[2] & 1 != 0,
            counts: [count(0)?, count(1)?, count(2)?, count(3)?],
        })
    }
}

/// The signature of a message and where it begins (RFC 8945).
#[derive(Clone, Copy, Debug)]
pub struct TsigAt {
    /// Where its record begins: what stands before it is signed.
    pub at: usize,
    /// Where its data begin, and their length.
    pub data: (usize, usize),
}

#[derive(Clone, Debug)]
pub struct Question {
    pub name: Name,
    pub kind: Type,
    pub class: u16,
    /// The question ends here.
    pub end: usize,
}

/// A query that has been read whole.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    pub question: Option<Question>,
    pub edns: Option<Edns<'a>>,
    /// The EDNS record can be read, but one of its options can't.
    pub bad_option: bool,
    pub tsig: Option<TsigAt>,
    /// The serial of an SOA in the authority section, which an IXFR brings (RFC 1995, section 3).
    pub have_serial: Option<u32>,
}

impl Query<'_> {
    /// Reads all sections. No question is fine only with a cookie (RFC 7873, section 5.4); two questions are not.
    pub fn read<'a>(bytes: &'a [u8], header: &Header) -> Result<Query<'a>, Malformed> {
        let mut at = HEADER;
        let question = match header.counts[0] {
            0 => None,
            1 => {
                let (name, end) = Name::read(bytes, at)?;
                let (kind, class) = (Type(u16_at(bytes, end)?), u16_at(bytes, end + 2)?);
                at = end + 4;
                Some(Question { name, kind, class, end: at })
            }
            _ => return Err(Malformed),
        };
        let mut query = Query { question, edns: None, bad_option: false, tsig: None, have_serial: None };
        let total = header.counts[1..].iter().map(|c| u32::from(*c)).sum::<u32>();
        let (answers, authority) = (u32::from(header.counts[1]), u32::from(header.counts[2]));
        for place in 0..total {
            let start = at;
            at = skip_name(bytes, at)?;
            let (kind, class) = (Type(u16_at(bytes, at)?), u16_at(bytes, at + 2)?);
            let ttl = u32_at(bytes, at + 4)?;
            let length = usize::from(u16_at(bytes, at + 8)?);
            let data = (at + 10, length);
            at += 10 + length;
            let rdata = bytes.get(data.0..at).ok_or(Malformed)?;
            let additional = place >= answers + authority;
            match kind {
                // RFC 8945, section 5.2: the last record of the last section, and one only.
                Type::TSIG if additional && place + 1 == total => {
                    query.tsig = Some(TsigAt { at: start, data })
                }
                Type::TSIG => return Err(Malformed),
                // RFC 6891, section 6.1.1: one, at the root, in the additional section.
                Type::OPT if !additional || query.edns.is_some() || bytes[start] != 0 => {
                    return Err(Malformed)
                }
                Type::OPT => match Edns::read(class, ttl, rdata) {
                    Ok(edns) => query.edns = Some(edns),
                    Err(edns::BadOption(edns)) => {
                        query.edns = Some(edns);
                        query.bad_option = true;
                    }
                },
                Type::SOA if !additional && place >= answers && query.have_serial.is_none() => {
                    let numbers = skip_name(bytes, skip_name(bytes, data.0)?)?;
                    query.have_serial = Some(u32_at(bytes, numbers)?);
                }
                _ => {}
            }
        }
        // What follows the last record is nobody's.
        if at != bytes.len() {
            return Err(Malformed);
        }
        let nothing = query.question.is_none() && query.edns.as_ref().is_none_or(|e| e.cookie.is_none());
        match nothing {
            true => Err(Malformed),
            false => Ok(query),
        }
    }
}

/// The name of a key and the like in a record's data, which are never compressed.
pub fn plain_name(bytes: &[u8], at: usize) -> Result<(Name, usize), Malformed> {
    wire::Name::read(bytes, at)
}
