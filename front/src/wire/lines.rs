//! The lines between a front and a cache node: words ending in CR LF, then as many bytes as the last word says.

use std::fmt::Write as _;

/// The longest line taken: far above any that the protocol makes.
pub const LONGEST_LINE: usize = 4096;
/// The most bytes of one answer: an object has at most 240,000.
pub const LONGEST_BODY: usize = 262_144;

/// A request as it goes to a cache node.
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
    /// By what a repeat is known.
    pub replay: Option<&'a str>,
    pub body: &'a [u8],
}

impl Want<'_> {
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

pub fn never_mind(id: &str) -> Vec<u8> {
    format!("never_mind {id}\r\n").into_bytes()
}

pub fn there(tag: &str) -> Vec<u8> {
    format!("there {tag}\r\n").into_bytes()
}

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

/// The line that begins an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer<'a> {
    pub id: &'a str,
    pub word: Word,
    pub fields: &'a str,
    pub length: usize,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    Text,
    Words,
    Word,
    Length,
}

impl<'a> Answer<'a> {
    /// Reads the line, with or without its line end.
    pub fn parse(line: &'a [u8]) -> Result<Answer<'a>, Malformed> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let line = std::str::from_utf8(line).map_err(|_| Malformed::Text)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Malformed::Words);
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
            _ => return Err(Malformed::Word),
        };
        let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
        let length = length.parse().ok().filter(|l| digits && *l <= LONGEST_BODY).ok_or(Malformed::Length)?;
        Ok(Answer { id, word, fields, length })
    }

    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.fields.split(',').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}
