//! Signatures of messages with a shared key (RFC 8945), for transfers and notices.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Sha256, Sha384, Sha512};

use crate::query::{plain_name, TsigAt};
use crate::wire::{parse_name, shown, u16_at, Malformed};

/// Seconds that the clocks of the two sides may lie apart.
const FUDGE: u64 = 300;
/// The shortest secret that is taken.
const SHORTEST: usize = 16;
const KEYS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    Sha256,
    Sha384,
    Sha512,
}

impl Algorithm {
    const ALL: [Algorithm; 3] = [Algorithm::Sha256, Algorithm::Sha384, Algorithm::Sha512];

    pub fn name(self) -> &'static str {
        match self {
            Algorithm::Sha256 => "hmac-sha256",
            Algorithm::Sha384 => "hmac-sha384",
            Algorithm::Sha512 => "hmac-sha512",
        }
    }

    fn wire(self) -> Vec<u8> {
        let name = self.name().as_bytes();
        [&[name.len() as u8], name, &[0]].concat()
    }

    fn mac(self, secret: &[u8], parts: &[&[u8]]) -> Vec<u8> {
        fn run<M: Mac + KeyInit>(secret: &[u8], parts: &[&[u8]]) -> Vec<u8> {
            // Any length of key is taken.
            let Ok(mut mac) = <M as KeyInit>::new_from_slice(secret) else { return Vec::new() };
            parts.iter().for_each(|p| mac.update(p));
            mac.finalize().into_bytes().to_vec()
        }
        match self {
            Algorithm::Sha256 => run::<Hmac<Sha256>>(secret, parts),
            Algorithm::Sha384 => run::<Hmac<Sha384>>(secret, parts),
            Algorithm::Sha512 => run::<Hmac<Sha512>>(secret, parts),
        }
    }
}

#[derive(PartialEq, Eq)]
pub struct Key {
    pub name: Box<[u8]>,
    pub algorithm: Algorithm,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({} {})", shown(&self.name), self.algorithm.name())
    }
}

/// The keys of a file: a line each of name, algorithm and secret in base64; `#` begins a comment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys(Vec<Arc<Key>>);

impl Keys {
    /// An error names the line and never what stands in it.
    pub fn parse(text: &str) -> Result<Keys, String> {
        let mut keys: Vec<Arc<Key>> = Vec::new();
        for (place, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let number = place + 1;
            let words: Vec<&str> = line.split_whitespace().collect();
            let [name, algorithm, secret] = words[..] else {
                return Err(format!("line {number}: a name, an algorithm and a secret are wanted"));
            };
            let name =
                parse_name(name, &[0]).map_err(|_| format!("line {number}: the first word is no name"))?;
            let algorithm = Algorithm::ALL.into_iter().find(|a| a.name().eq_ignore_ascii_case(algorithm));
            let algorithm = algorithm.ok_or_else(|| {
                format!("line {number}: the algorithm is none of hmac-sha256, -sha384, -sha512")
            })?;
            let secret = data_encoding::BASE64
                .decode(secret.as_bytes())
                .map_err(|_| format!("line {number}: the secret is no base64"))?;
            if secret.len() < SHORTEST {
                return Err(format!("line {number}: a secret has {SHORTEST} bytes at least"));
            }
            if keys.iter().any(|k| k.name == name) {
                return Err(format!("line {number}: a key of this name is there already"));
            }
            keys.push(Arc::new(Key { name, algorithm, secret }));
        }
        match keys.len() {
            0..=KEYS => Ok(Keys(keys)),
            many => Err(format!("{many} keys: {KEYS} at most")),
        }
    }

    pub fn get(&self, name: &[u8]) -> Option<&Arc<Key>> {
        self.0.iter().find(|k| *k.name == *name)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Errors of the TSIG record itself (RFC 8945, section 5.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TsigError {
    BadSig,
    BadKey,
    BadTime,
    BadTrunc,
}

impl TsigError {
    pub fn code(self) -> u16 {
        match self {
            TsigError::BadSig => 16,
            TsigError::BadKey => 17,
            TsigError::BadTime => 18,
            TsigError::BadTrunc => 22,
        }
    }
}

/// Why a signed message is not believed.
#[derive(Debug)]
pub enum Unverified {
    Malformed,
    /// The answer says so; it is signed only where the signature was right and its time was not.
    Error {
        error: TsigError,
        reply: Failed,
    },
}

/// What an answer to a message that is not believed is made with.
#[derive(Debug)]
pub struct Failed {
    key_name: Box<[u8]>,
    algorithm: Vec<u8>,
    time: u64,
    error: TsigError,
    signer: Option<Signer>,
}

struct Fields<'a> {
    key_name: Box<[u8]>,
    algorithm: Vec<u8>,
    time: u64,
    fudge: u16,
    mac: &'a [u8],
    id: u16,
    error: u16,
    other: &'a [u8],
}

fn u48_at(bytes: &[u8], at: usize) -> Result<u64, Malformed> {
    let six = bytes.get(at..at + 6).ok_or(Malformed)?;
    Ok(six.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn read(message: &[u8], tsig: TsigAt) -> Result<Fields<'_>, Malformed> {
    let (key, behind) = plain_name(message, tsig.at)?;
    // RFC 8945, section 4.2: class ANY and a TTL of 0.
    if message.get(behind + 2..behind + 8) != Some(&[0, 255, 0, 0, 0, 0]) {
        return Err(Malformed);
    }
    let data = message.get(..tsig.data.0 + tsig.data.1).ok_or(Malformed)?;
    let (algorithm, at) = plain_name(data, tsig.data.0)?;
    let mac_at = at + 10;
    let mac_end = mac_at + usize::from(u16_at(data, at + 8)?);
    let other_at = mac_end + 6;
    let other_end = other_at + usize::from(u16_at(data, mac_end + 4)?);
    if other_end != data.len() {
        return Err(Malformed);
    }
    Ok(Fields {
        key_name: key.wire().into(),
        algorithm: algorithm.wire().into(),
        time: u48_at(data, at)?,
        fudge: u16_at(data, at + 6)?,
        mac: data.get(mac_at..mac_end).ok_or(Malformed)?,
        id: u16_at(data, mac_end)?,
        error: u16_at(data, mac_end + 2)?,
        other: data.get(other_at..other_end).ok_or(Malformed)?,
    })
}

/// Section 4.3.3: what of the record is signed.
fn variables(key_name: &[u8], algorithm: &[u8], time: u64, fudge: u16, error: u16, other: &[u8]) -> Vec<u8> {
    let mut bytes = [key_name, &[0, 255, 0, 0, 0, 0], algorithm].concat();
    bytes.extend_from_slice(&time.to_be_bytes()[2..]);
    bytes.extend(fudge.to_be_bytes());
    bytes.extend(error.to_be_bytes());
    bytes.extend((other.len() as u16).to_be_bytes());
    bytes.extend_from_slice(other);
    bytes
}

/// The message as it was signed: without its signature, with the id that it had then.
fn unsigned(message: &[u8], tsig: TsigAt, id: u16) -> Vec<u8> {
    let mut bytes = message[..tsig.at].to_vec();
    bytes[..2].copy_from_slice(&id.to_be_bytes());
    let count = u16::from_be_bytes([bytes[10], bytes[11]]).saturating_sub(1);
    bytes[10..12].copy_from_slice(&count.to_be_bytes());
    bytes
}

/// Checks a request in the order of section 5.2: key, signature, time.
pub fn verify(keys: &Keys, message: &[u8], tsig: TsigAt, now_s: u64) -> Result<Signer, Unverified> {
    let fields = read(message, tsig).map_err(|Malformed| Unverified::Malformed)?;
    let fail = |error, signer| Unverified::Error {
        error,
        reply: Failed {
            key_name: fields.key_name.clone(),
            algorithm: fields.algorithm.clone(),
            time: fields.time,
            error,
            signer,
        },
    };
    let key = keys.get(&fields.key_name).filter(|k| k.algorithm.wire() == fields.algorithm);
    let Some(key) = key else { return Err(fail(TsigError::BadKey, None)) };
    let told =
        variables(&fields.key_name, &fields.algorithm, fields.time, fields.fudge, fields.error, fields.other);
    let mac = key.algorithm.mac(&key.secret, &[&unsigned(message, tsig, fields.id), &told]);
    if fields.mac.len() > mac.len() || fields.mac.len() < 10 {
        return Err(Unverified::Malformed);
    }
    // A MAC cut short is right as far as it goes, and refused all the same (section 5.2.2.1).
    let equal = fields.mac.iter().zip(&mac).fold(0, |all, (a, b)| all | (a ^ b)) == 0;
    if !equal {
        return Err(fail(TsigError::BadSig, None));
    }
    let signer = Signer { key: key.clone(), prior: fields.mac.to_vec(), first: true };
    if fields.mac.len() < mac.len() {
        return Err(fail(TsigError::BadTrunc, Some(signer)));
    }
    if now_s.abs_diff(fields.time) > u64::from(fields.fudge) {
        return Err(fail(TsigError::BadTime, Some(signer)));
    }
    Ok(signer)
}

/// Signs what follows a request, each message resting on the one before it (section 5.3).
#[derive(Clone, Debug)]
pub struct Signer {
    key: Arc<Key>,
    prior: Vec<u8>,
    first: bool,
}

fn append(out: &mut Vec<u8>, key: &[u8], algorithm: &[u8], time: u64, mac: &[u8], error: u16, other: &[u8]) {
    let id = [out[0], out[1]];
    out.extend_from_slice(key);
    out.extend([0, 250, 0, 255, 0, 0, 0, 0]);
    let length = algorithm.len() + 16 + mac.len() + other.len();
    out.extend((length as u16).to_be_bytes());
    out.extend_from_slice(algorithm);
    out.extend_from_slice(&time.to_be_bytes()[2..]);
    out.extend((FUDGE as u16).to_be_bytes());
    out.extend((mac.len() as u16).to_be_bytes());
    out.extend_from_slice(mac);
    out.extend(id);
    out.extend(error.to_be_bytes());
    out.extend((other.len() as u16).to_be_bytes());
    out.extend_from_slice(other);
    let count = u16::from_be_bytes([out[10], out[11]]).saturating_add(1);
    out[10..12].copy_from_slice(&count.to_be_bytes());
}

impl Signer {
    /// For a request of ours.
    pub fn request(key: Arc<Key>) -> Signer {
        Signer { key, prior: Vec::new(), first: true }
    }

    pub fn key(&self) -> &Key {
        &self.key
    }

    /// The bytes that a signature takes.
    pub fn room(&self) -> usize {
        let algorithm = self.key.algorithm.wire().len();
        self.key.name.len() + 10 + algorithm + 16 + 64 + 6
    }

    /// Signs a message that is whole but for this.
    pub fn sign(&mut self, out: &mut Vec<u8>, now_s: u64) {
        self.sign_with(out, now_s, 0, &[]);
    }

    fn sign_with(&mut self, out: &mut Vec<u8>, time: u64, error: u16, other: &[u8]) {
        let algorithm = self.key.algorithm.wire();
        let told = match self.first {
            true => variables(&self.key.name, &algorithm, time, FUDGE as u16, error, other),
            // Section 5.3.1: the times only.
            false => [&time.to_be_bytes()[2..], &(FUDGE as u16).to_be_bytes()].concat(),
        };
        let length = (self.prior.len() as u16).to_be_bytes();
        let before: &[&[u8]] = if self.prior.is_empty() { &[] } else { &[&length, &self.prior] };
        let mac = self.key.algorithm.mac(&self.key.secret, &[before, &[out.as_slice(), &told]].concat());
        append(out, &self.key.name, &algorithm, time, &mac, error, other);
        (self.prior, self.first) = (mac, false);
    }

    /// Checks an answer to what this has signed (section 5.4).
    pub fn check(&mut self, message: &[u8], tsig: TsigAt, now_s: u64) -> bool {
        let Ok(fields) = read(message, tsig) else { return false };
        let algorithm = self.key.algorithm.wire();
        let told = match self.first {
            true => variables(
                &fields.key_name,
                &fields.algorithm,
                fields.time,
                fields.fudge,
                fields.error,
                fields.other,
            ),
            false => [&fields.time.to_be_bytes()[2..], &fields.fudge.to_be_bytes()].concat(),
        };
        let length = (self.prior.len() as u16).to_be_bytes();
        let bytes = unsigned(message, tsig, fields.id);
        let mac = self.key.algorithm.mac(&self.key.secret, &[&length, &self.prior, &bytes, &told]);
        let right = *fields.key_name == *self.key.name
            && fields.algorithm == algorithm
            && mac.len() == fields.mac.len()
            && fields.mac.iter().zip(&mac).fold(0, |all, (a, b)| all | (a ^ b)) == 0
            && now_s.abs_diff(fields.time) <= u64::from(fields.fudge);
        (self.prior, self.first) = (mac, false);
        right
    }

    /// For the next message after a request of ours was signed: the answer is the first of its side.
    pub fn expects_first(&mut self) {
        self.first = true;
    }
}

impl Failed {
    /// Signs the answer as far as it may be (section 5.3.2).
    pub fn sign(self, out: &mut Vec<u8>, now_s: u64) {
        let other = now_s.to_be_bytes();
        match (self.error, self.signer) {
            (TsigError::BadTime, Some(mut signer)) => {
                signer.sign_with(out, self.time, self.error.code(), &other[2..]);
            }
            (error, Some(mut signer)) => signer.sign_with(out, now_s, error.code(), &[]),
            (error, None) => append(out, &self.key_name, &self.algorithm, self.time, &[], error.code(), &[]),
        }
    }
}
