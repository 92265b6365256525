//! The protocol between a front and a cache node: a line of words that ends in CR LF, then as many bytes as its last
//! word says.

use std::fmt::Write as _;

/// The maximum length of an accepted line, far above any that the protocol produces.
pub const MAX_LINE_BYTES: usize = 4096;
/// The maximum body of one answer; an object has at most 240,000 bytes.
pub const MAX_BODY_BYTES: usize = 262_144;

/// A request to a cache node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Want<'a> {
    pub id: &'a str,
    pub profile: &'a str,
    pub thing: &'a str,
    pub nth: &'a str,
    pub max: u64,
    pub parent: Option<&'a str>,
    pub shelf: u8,
    pub accept: Option<u64>,
    pub ride: bool,
    pub have_only: bool,
    pub through: bool,
    pub update: bool,
    pub got: Option<&'a str>,
    /// The key by which the node recognizes a repetition of the request.
    pub replay: Option<&'a str>,
    pub body: &'a [u8],
}

impl Want<'_> {
    /// Encodes the request line and the body.
    pub fn encode(&self) -> Vec<u8> {
        let mut line = String::with_capacity(192);
        // Writing to a string cannot fail.
        let _ =
            write!(line, "want {} profile={},thing={},nth={}", self.id, self.profile, self.thing, self.nth);
        let _ = write!(line, ",max={}", self.max);
        if let Some(parent) = self.parent {
            let _ = write!(line, ",parent={parent}");
        }
        if self.shelf > 0 {
            let _ = write!(line, ",shelf={}", self.shelf);
        }
        if let Some(accept) = self.accept {
            let _ = write!(line, ",accept={accept}");
        }
        let hints = [
            (self.ride, "ride"),
            (self.have_only, "have-only"),
            (self.through, "through"),
            (self.update, "update"),
        ];
        let hints: Vec<&str> = hints.into_iter().filter(|(on, _)| *on).map(|(_, word)| word).collect();
        if !hints.is_empty() {
            let _ = write!(line, ",hints={}", hints.join("+"));
        }
        if let Some(got) = self.got {
            let _ = write!(line, ",got={got}");
        }
        if let Some(replay) = self.replay {
            let _ = write!(line, ",replay={replay}");
        }
        let _ = write!(line, " {}\r\n", self.body.len());
        let mut out = line.into_bytes();
        out.extend_from_slice(self.body);
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Encodes the cancellation of a request.
pub fn encode_never_mind(id: &str) -> Vec<u8> {
    format!("never_mind {id}\r\n").into_bytes()
}

/// Encodes a liveness probe; the node answers it with PONG.
pub fn encode_there(tag: &str) -> Vec<u8> {
    format!("there {tag}\r\n").into_bytes()
}

/// The result word of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Hit,
    Valid,
    None,
    Shed,
    Fault,
    Late,
    Pong,
    Sick,
}

/// The first line of an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer<'a> {
    pub id: &'a str,
    pub word: Word,
    pub fields: &'a str,
    pub length: usize,
}

/// Why an answer line is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    NotUtf8,
    WordCount,
    UnknownWord,
    Length,
}

impl<'a> Answer<'a> {
    /// Parses the line, with or without its line end.
    pub fn parse(line: &'a [u8]) -> Result<Answer<'a>, Malformed> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let line = std::str::from_utf8(line).map_err(|_| Malformed::NotUtf8)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Malformed::WordCount);
        };
        let word = match word {
            "HIT" => Word::Hit,
            "VALID" => Word::Valid,
            "NONE" => Word::None,
            "SHED" => Word::Shed,
            "FAULT" => Word::Fault,
            "LATE" => Word::Late,
            "PONG" => Word::Pong,
            "SICK" => Word::Sick,
            _ => return Err(Malformed::UnknownWord),
        };
        let is_number = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
        let length =
            length.parse().ok().filter(|l| is_number && *l <= MAX_BODY_BYTES).ok_or(Malformed::Length)?;
        Ok(Answer { id, word, fields, length })
    }

    /// The value of a field of the answer.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.fields.split(',').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}
