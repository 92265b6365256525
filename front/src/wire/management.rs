//! The management address's wire: one line a connection, a call in, a reply line out. No I/O.

/// A line is at most so long, its end included.
pub const LONGEST: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Status,
    Metrics,
    Pause,
    Resume,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    TooLong,
    NotText,
    Unknown,
}

impl Bad {
    pub fn reply(self) -> &'static str {
        match self {
            Bad::TooLong => "400 the line is too long\r\n",
            Bad::NotText => "400 the line is not text\r\n",
            Bad::Unknown => "400 no such call: STATUS, METRICS, PAUSE or RESUME\r\n",
        }
    }
}

/// What has come on a connection so far: `None` while its line is not whole.
pub fn read(came: &[u8]) -> Option<Result<Call, Bad>> {
    let Some(end) = came.iter().position(|b| *b == b'\n') else {
        return (came.len() >= LONGEST).then_some(Err(Bad::TooLong));
    };
    if end >= LONGEST {
        return Some(Err(Bad::TooLong));
    }
    let line = came[..end].strip_suffix(b"\r").unwrap_or(&came[..end]);
    let Ok(text) = std::str::from_utf8(line) else { return Some(Err(Bad::NotText)) };
    Some(match text.trim() {
        "STATUS" => Ok(Call::Status),
        "METRICS" => Ok(Call::Metrics),
        "PAUSE" => Ok(Call::Pause),
        "RESUME" => Ok(Call::Resume),
        _ => Err(Bad::Unknown),
    })
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn calls_and_what_is_none() {
        assert_eq!(read(b"STATUS\n"), Some(Ok(Call::Status)));
        assert_eq!(read(b"METRICS\r\n"), Some(Ok(Call::Metrics)));
        assert_eq!(read(b"PAUSE\n"), Some(Ok(Call::Pause)));
        assert_eq!(read(b"RESUME\n"), Some(Ok(Call::Resume)));
        assert_eq!(read(b"STAT"), None);
        assert_eq!(read(b"status\n"), Some(Err(Bad::Unknown)));
        assert_eq!(read(b"\0STATUS\n"), Some(Err(Bad::Unknown)));
        assert_eq!(read(b"\xff\xfe\n"), Some(Err(Bad::NotText)));
        assert_eq!(read(&vec![b'S'; LONGEST]), Some(Err(Bad::TooLong)));
        assert_eq!(read(&vec![b'S'; 1 << 20]), Some(Err(Bad::TooLong)));
    }

    proptest! {
        /// A call cut at any byte is not whole until its end has come, and then it is the call.
        #[test]
        fn a_call_cut_anywhere_is_read_only_when_whole(cut in 0usize..8) {
            let line = b"METRICS\n";
            let cut = cut.min(line.len() - 1);
            prop_assert_eq!(read(&line[..cut]), None);
            prop_assert_eq!(read(line), Some(Ok(Call::Metrics)));
        }

        #[test]
        fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
            let _ = read(&bytes);
        }
    }
}
