//! Building queries by hand and looking at answers. Nothing here is of the server under test, but for signatures.

use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use elmtide_dns::query::{Header, Query};
use elmtide_dns::tsig::Signer;
use hickory_proto::op::Message;
use hickory_proto::rr::Record;

use crate::zone;

/// A query as it was sent, and what is needed to judge the answer.
pub struct Asked {
    pub bytes: Vec<u8>,
    client_cookie: Option<[u8; 8]>,
    signer: Option<Signer>,
}

fn hex(text: &str) -> Result<Vec<u8>, String> {
    HEX.decode(text.as_bytes()).map_err(|e| format!("{text:?}: {e}"))
}

fn type_number(name: &str) -> Result<u16, String> {
    let known = [
        ("A", 1),
        ("NS", 2),
        ("CNAME", 5),
        ("SOA", 6),
        ("PTR", 12),
        ("HINFO", 13),
        ("MX", 15),
        ("TXT", 16),
        ("AAAA", 28),
        ("SRV", 33),
        ("NAPTR", 35),
        ("OPT", 41),
        ("DS", 43),
        ("SVCB", 64),
        ("HTTPS", 65),
        ("TKEY", 249),
        ("TSIG", 250),
        ("IXFR", 251),
        ("AXFR", 252),
        ("MAILB", 253),
        ("MAILA", 254),
        ("ANY", 255),
        ("CAA", 257),
    ];
    match known.iter().find(|(n, _)| *n == name) {
        Some((_, number)) => Ok(*number),
        None => name.strip_prefix("TYPE").and_then(|n| n.parse().ok()).ok_or(format!("type {name:?}")),
    }
}

/// Labels of a name; `\.` is not needed here, `\xHH` is.
fn wire(name: &str, mixed: bool) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    for label in name.trim_end_matches('.').split('.').filter(|l| !l.is_empty()) {
        let mut letters: Vec<u8> = Vec::new();
        let mut rest = label;
        while let Some(c) = rest.chars().next() {
            if let Some(code) = rest.strip_prefix("\\x") {
                letters.extend(hex(&code[..2])?);
                rest = &code[2..];
            } else {
                letters.push(c as u8);
                rest = &rest[1..];
            }
        }
        if mixed {
            for (place, letter) in letters.iter_mut().enumerate().filter(|(p, _)| p % 2 == 0) {
                let _ = place;
                letter.make_ascii_uppercase();
            }
        }
        bytes.push(letters.len() as u8);
        bytes.extend(letters);
    }
    bytes.push(0);
    Ok(bytes)
}

fn option(code: u16, data: &[u8]) -> Vec<u8> {
    [&code.to_be_bytes()[..], &(data.len() as u16).to_be_bytes(), data].concat()
}

fn subnet(text: &str) -> Result<Vec<u8>, String> {
    let (address, length) = text.split_once('/').ok_or("an address and a length")?;
    let length: u8 = length.parse().map_err(|_| "a length")?;
    let (family, bytes) = match address.parse().map_err(|_| "an address")? {
        std::net::IpAddr::V4(v4) => (1u8, v4.octets().to_vec()),
        std::net::IpAddr::V6(v6) => (2, v6.octets().to_vec()),
    };
    let kept = &bytes[..usize::from(length).div_ceil(8)];
    Ok([&[0, family, length, 0], kept].concat())
}

/// Makes the query of an ask.
pub fn build(ask: &[String], last_cookie: Option<&[u8]>, serial: u32) -> Result<Asked, String> {
    let mut asked = Asked { bytes: Vec::new(), client_cookie: None, signer: None };
    if ask[0] == "raw" {
        let digits = ask[1..].iter().filter(|w| *w != "udp" && *w != "tcp");
        asked.bytes = hex(&digits.map(String::as_str).collect::<String>())?;
        return Ok(asked);
    }
    let (mut id, mut flags, mut class, mut opcode) = (0x0107u16, [0u8, 0], 1u16, 0u8);
    let (mut size, mut edns, mut version, mut dnssec, mut options) = (1232u16, false, 0u8, 0u8, Vec::new());
    let (mut tail, mut twice, mut authority, mut tsig, mut mixed) = (Vec::new(), false, None, None, false);
    for word in &ask[2..] {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        let is_option = matches!(
            key,
            "cookie" | "ecs" | "nsid" | "pad" | "keepalive" | "opt" | "do" | "version" | "twice"
        );
        edns |= is_option || key == "edns";
        match key {
            "id" => id = u16::from_str_radix(value, 16).map_err(|e| e.to_string())?,
            "rd" => flags[0] |= 1,
            "cd" => flags[1] |= 0x10,
            "ad" => flags[1] |= 0x20,
            "z" => flags[1] |= 0x40,
            "class" => class = value.parse().map_err(|_| "class")?,
            "opcode" => opcode = value.parse().map_err(|_| "opcode")?,
            "tail" => tail = hex(value)?,
            "edns" if value.is_empty() => {}
            "edns" => size = value.parse().map_err(|_| "edns")?,
            "do" => dnssec = 0x80,
            "version" => version = value.parse().map_err(|_| "version")?,
            "twice" => twice = true,
            "mixed" => mixed = true,
            "cookie" => {
                let cookie = match value {
                    "last" => last_cookie.ok_or("no cookie has come")?.to_vec(),
                    "broken" => {
                        let mut cookie = last_cookie.ok_or("no cookie has come")?.to_vec();
                        *cookie.last_mut().ok_or("an empty cookie")? ^= 1;
                        cookie
                    }
                    value => hex(value)?,
                };
                asked.client_cookie = cookie.get(..8).and_then(|c| c.try_into().ok());
                options.extend(option(10, &cookie));
            }
            "ecs" => options.extend(option(8, &subnet(value)?)),
            "nsid" => options.extend(option(3, &[])),
            "pad" => options.extend(option(12, &[0; 4])),
            "keepalive" => options.extend(option(11, &[])),
            "opt" => {
                let (code, data) = value.split_once(':').ok_or("opt=CODE:HEX")?;
                options.extend(option(code.parse().map_err(|_| "opt")?, &hex(data)?));
            }
            "serial" => {
                let number = match value {
                    "now" => serial,
                    "now-1" => serial.wrapping_sub(1),
                    "now+1" => serial.wrapping_add(1),
                    value => value.parse().map_err(|_| "serial")?,
                };
                authority = Some(number);
            }
            "tsig" => tsig = Some(value.to_owned()),
            "udp" | "tcp" => {}
            other => return Err(format!("no such word: {other}")),
        }
    }
    let out = &mut asked.bytes;
    out.extend(id.to_be_bytes());
    out.extend([opcode << 3 | flags[0], flags[1]]);
    let records = u16::from(edns) + u16::from(twice);
    let question = ask[0] != "-";
    for count in [u16::from(question), 0, u16::from(authority.is_some()), records] {
        out.extend(count.to_be_bytes());
    }
    if question {
        out.extend(wire(&ask[0], mixed)?);
        out.extend(type_number(&ask[1])?.to_be_bytes());
        out.extend(class.to_be_bytes());
    }
    if let Some(serial) = authority {
        out.extend([0xC0, 12, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0]);
        for number in [serial, 0, 0, 0, 0] {
            out.extend(number.to_be_bytes());
        }
    }
    for _ in 0..records {
        out.extend([0, 0, 41]);
        out.extend(size.to_be_bytes());
        out.extend([0, version, dnssec, 0]);
        out.extend((options.len() as u16).to_be_bytes());
        out.extend(&options);
    }
    if let Some(kind) = tsig {
        let name = if kind == "stranger" { zone::STRANGER } else { zone::KEY };
        let keys = zone::keys(kind == "forged" || kind == "unknown");
        let wanted = if kind == "unknown" { zone::UNKNOWN } else { name };
        let key = keys.get(&wire(wanted, false)?).ok_or("no such key")?;
        let mut signer = Signer::request(key.clone());
        let now = zone::now_s();
        signer.sign(out, if kind == "late" { now - 1000 } else { now });
        signer.expects_first();
        asked.signer = Some(signer);
    }
    asked.bytes.extend(tail);
    Ok(asked)
}

/// Class, TTL and options of an EDNS record.
type EdnsRecord = (u16, u32, Vec<(u16, Vec<u8>)>);

/// An answer that could be read.
pub struct Read {
    bytes: Vec<u8>,
    message: Message,
    edns: Option<EdnsRecord>,
}

fn skip(bytes: &[u8], mut at: usize) -> Result<usize, String> {
    loop {
        match *bytes.get(at).ok_or("a name is cut short")? {
            0 => return Ok(at + 1),
            0xC0.. => return Ok(at + 2),
            length => at += 1 + usize::from(length),
        }
    }
}

fn number(bytes: &[u8], at: usize) -> Result<u16, String> {
    let two = bytes.get(at..at + 2).ok_or("cut short")?;
    Ok(u16::from_be_bytes([two[0], two[1]]))
}

/// Records as they are compared.
fn shown(records: &[Record]) -> Vec<String> {
    let mut lines: Vec<String> =
        records.iter().map(|r| format!("{} {} {} {}", r.name, r.ttl, r.record_type(), r.data)).collect();
    lines.sort();
    lines
}

impl Read {
    pub fn new(bytes: &[u8]) -> Result<Read, String> {
        let message = Message::from_vec(bytes).map_err(|e| format!("the answer can't be read: {e}"))?;
        let mut at = 12;
        for _ in 0..number(bytes, 4)? {
            at = skip(bytes, at)? + 4;
        }
        let mut edns = None;
        for _ in
            0..u32::from(number(bytes, 6)?) + u32::from(number(bytes, 8)?) + u32::from(number(bytes, 10)?)
        {
            at = skip(bytes, at)?;
            let (kind, class, length) = (number(bytes, at)?, number(bytes, at + 2)?, number(bytes, at + 8)?);
            let ttl = u32::from(number(bytes, at + 4)?) << 16 | u32::from(number(bytes, at + 6)?);
            at += 10;
            let end = at + usize::from(length);
            if kind == 41 {
                let mut options = Vec::new();
                while at < end {
                    let size = usize::from(number(bytes, at + 2)?);
                    let data = bytes.get(at + 4..at + 4 + size).ok_or("an option is cut short")?;
                    options.push((number(bytes, at)?, data.to_vec()));
                    at += 4 + size;
                }
                edns = Some((class, ttl, options));
            }
            at = end;
        }
        match at == bytes.len() {
            true => Ok(Read { bytes: bytes.to_vec(), message, edns }),
            false => Err(format!("{} bytes are left over", bytes.len() - at)),
        }
    }

    /// The data of an EDNS option.
    pub fn option(&self, code: u16) -> Option<Vec<u8>> {
        let (.., options) = self.edns.as_ref()?;
        options.iter().find(|(c, _)| *c == code).map(|(_, data)| data.clone())
    }

    fn rcode(&self) -> u16 {
        let high = self.edns.as_ref().map_or(0, |(_, ttl, _)| (ttl >> 24) as u16);
        high << 4 | u16::from(self.bytes[3] & 0xF)
    }
}

fn rcode(name: &str) -> Option<u16> {
    let known = [
        ("NOERROR", 0),
        ("FORMERR", 1),
        ("SERVFAIL", 2),
        ("NXDOMAIN", 3),
        ("NOTIMP", 4),
        ("REFUSED", 5),
        ("NOTAUTH", 9),
        ("BADVERS", 16),
        ("BADCOOKIE", 23),
    ];
    known.iter().find(|(n, _)| *n == name).map(|(_, number)| *number)
}

fn compare(word: &str, key: &str, got: usize) -> Option<Result<(), String>> {
    let rest = word.strip_prefix(key)?;
    let (holds, wanted) = match (rest.strip_prefix('='), rest.strip_prefix('>')) {
        (Some(n), _) => (n.parse().ok().map(|n: usize| got == n)?, n),
        (_, Some(n)) => (n.parse().ok().map(|n: usize| got > n)?, n),
        _ => return None,
    };
    Some(if holds { Ok(()) } else { Err(format!("{key} is {got}, wanted {wanted}")) })
}

/// Holds the answers against what is wanted; the first answer, read.
pub fn judge(want: &[String], asked: &mut Asked, answers: &[Vec<u8>]) -> Result<Option<Read>, String> {
    if want.iter().any(|w| w == "silence") {
        return match answers {
            [] => Ok(None),
            _ => Err("it was answered".into()),
        };
    }
    let Some(first) = answers.first() else { return Err("silence".into()) };
    let read = Read::new(first)?;
    let all: Vec<Read> = answers.iter().map(|a| Read::new(a)).collect::<Result<_, _>>()?;
    for (section, records) in [("an", &read.message.answers), ("au", &read.message.authorities)] {
        section_holds(want, section, records)?;
    }
    let additional: Vec<Record> = read.message.additionals.clone();
    section_holds(want, "ar", &additional)?;
    let records: Vec<&Record> = all.iter().flat_map(|r| &r.message.answers).collect();
    for word in want {
        let numbers = [
            compare(word, "an", read.message.answers.len()),
            compare(word, "au", read.message.authorities.len()),
            compare(word, "ar", additional.len()),
            compare(word, "messages", answers.len()),
            compare(word, "records", records.len()),
        ];
        if let Some(result) = numbers.into_iter().flatten().next() {
            result?;
            continue;
        }
        if word.starts_with("an{") || word.starts_with("au{") || word.starts_with("ar{") {
            continue;
        }
        one(word, &read, &records, asked, answers)?;
    }
    Ok(Some(read))
}

fn section_holds(want: &[String], section: &str, records: &[Record]) -> Result<(), String> {
    let open = format!("{section}{{");
    let mut wanted: Vec<String> =
        want.iter().filter_map(|w| Some(w.strip_prefix(&open)?.strip_suffix('}')?.to_owned())).collect();
    wanted.sort();
    match wanted.is_empty() || wanted == shown(records) {
        true => Ok(()),
        false => Err(format!("{section} holds {:?}, wanted {wanted:?}", shown(records))),
    }
}

fn one(
    word: &str,
    read: &Read,
    records: &[&Record],
    asked: &mut Asked,
    answers: &[Vec<u8>],
) -> Result<(), String> {
    let check = |holds: bool, why: String| if holds { Ok(()) } else { Err(why) };
    if let Some(code) = rcode(word) {
        return check(read.rcode() == code, format!("the code is {}", read.rcode()));
    }
    let flags = [("qr", 2, 0x80), ("aa", 2, 4), ("tc", 2, 2), ("rd", 2, 1)];
    let more = [("ra", 3, 0x80), ("z", 3, 0x40), ("ad", 3, 0x20), ("cd", 3, 0x10)];
    if let Some(name) = word.strip_prefix(['+', '-']) {
        if let Some((_, byte, bit)) = flags.iter().chain(&more).find(|(n, ..)| *n == name) {
            let set = read.bytes[*byte] & bit != 0;
            return check(set == word.starts_with('+'), format!("{name} is {set}"));
        }
    }
    let edns = read.edns.as_ref();
    let (key, value) = word.split_once('=').unwrap_or((word, ""));
    let wanted: usize = value.parse().unwrap_or(0);
    let has = |code| read.option(code).is_some();
    match key {
        "id" => check(data_encoding::HEXLOWER.encode(&read.bytes[..2]) == value, "another id".into()),
        "question" => {
            let end = skip(&asked.bytes, 12)? + 4;
            check(read.bytes.get(4..6) == Some(&[0, 1]), "no question".into())?;
            check(read.bytes.get(12..end) == asked.bytes.get(12..end), "another question".into())
        }
        "noquestion" => check(read.message.queries.is_empty(), "a question".into()),
        "edns" => check(edns.is_some(), "no EDNS".into()),
        "noedns" => check(edns.is_none(), "EDNS".into()),
        "do" => check(edns.is_some_and(|e| e.1 & 0x8000 != 0), "DO is not set".into()),
        "-do" => check(edns.is_some_and(|e| e.1 & 0x8000 == 0), "DO is set".into()),
        "version" => {
            check(edns.is_some_and(|e| (e.1 >> 16 & 0xFF) as usize == wanted), "another version".into())
        }
        "size" => check(edns.is_some_and(|e| usize::from(e.0) == wanted), format!("{:?}", edns.map(|e| e.0))),
        "max" => check(read.bytes.len() <= wanted, format!("{} bytes", read.bytes.len())),
        "cookie" => {
            let cookie = read.option(10).ok_or("no cookie")?;
            let own = asked.client_cookie.map(|c| c.to_vec());
            check(cookie.len() == 24 && own == Some(cookie[..8].to_vec()), "a cookie that is none".into())
        }
        "nocookie" => check(!has(10), "a cookie".into()),
        "nsid" => check(read.option(3).is_some_and(|n| !n.is_empty()), "no NSID".into()),
        "nonsid" => check(!has(3), "NSID".into()),
        "scope" => {
            let subnet = read.option(8).ok_or("no client subnet")?;
            check(usize::from(subnet[3]) == wanted, format!("the scope is {}", subnet[3]))
        }
        "noecs" => check(!has(8), "a client subnet".into()),
        "ede" => {
            let error = read.option(15).ok_or("no extended error")?;
            check(usize::from(u16::from_be_bytes([error[0], error[1]])) == wanted, format!("{error:?}"))
        }
        "noede" => check(!has(15), "an extended error".into()),
        "pad" => {
            check(has(12) && read.bytes.len().is_multiple_of(wanted), format!("{} bytes", read.bytes.len()))
        }
        "nopad" => check(!has(12), "padding".into()),
        "keepalive" => check(read.option(11).is_some_and(|k| k.len() == 2), "no keepalive".into()),
        "nokeepalive" => check(!has(11), "keepalive".into()),
        "unknown" => check(!has(wanted as u16), "an option that is not known".into()),
        "first" | "last" => {
            let record = if key == "first" { records.first() } else { records.last() };
            let kind = record.map(|r| r.record_type().to_string()).unwrap_or_default();
            check(kind == value, format!("it is {kind}"))
        }
        "signed" => signed(asked, answers),
        "tsigerror" => {
            let error = tsig_error(&read.bytes).ok_or("no signature")?;
            check(usize::from(error) == wanted, format!("the signature's error is {error}"))
        }
        "notsig" => check(tsig_error(&read.bytes).is_none(), "a signature".into()),
        other => Err(format!("no such word: {other}")),
    }
}

fn signed(asked: &mut Asked, answers: &[Vec<u8>]) -> Result<(), String> {
    let signer = asked.signer.as_mut().ok_or("the query was not signed")?;
    for (place, bytes) in answers.iter().enumerate() {
        let header = Header::read(bytes).ok_or("no header")?;
        let query = Query::read(bytes, &header).map_err(|_| "can't be read")?;
        let tsig = query.tsig.ok_or(format!("message {place} is not signed"))?;
        if !signer.check(bytes, tsig, zone::now_s()) {
            return Err(format!("the signature of message {place} is wrong"));
        }
    }
    Ok(())
}

/// The error field of the last record, if that is a signature (RFC 8945, section 4.2).
fn tsig_error(bytes: &[u8]) -> Option<u16> {
    let header = Header::read(bytes)?;
    let tsig = Query::read(bytes, &header).ok()?.tsig?;
    let mac_at = skip(bytes, tsig.data.0).ok()? + 8;
    let mac = usize::from(number(bytes, mac_at).ok()?);
    number(bytes, mac_at + 2 + mac + 2).ok()
}
