//! The protocol of the management address: one call line in and one reply per connection. No I/O.

/// The maximum length of a line, including its line end.
pub const MAX_LINE_BYTES: usize = 256;

/// A command of the management protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Status,
    Metrics,
    Pause,
    Resume,
}

/// Why a line is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    TooLong,
    NotText,
    Unknown,
}

impl CallError {
    /// The reply line for the error.
    pub fn reply(self) -> &'static str {
        match self {
            CallError::TooLong => "400 the line is too long\r\n",
            CallError::NotText => "400 the line is not text\r\n",
            CallError::Unknown => "400 no such call: STATUS, METRICS, PAUSE or RESUME\r\n",
        }
    }
}

/// Parses what has been received on a connection so far: `None` while the line is incomplete.
pub fn parse_call(received: &[u8]) -> Option<Result<Call, CallError>> {
    let Some(end) = received.iter().position(|b| *b == b'\n') else {
        return (received.len() >= MAX_LINE_BYTES).then_some(Err(CallError::TooLong));
    };
    if end >= MAX_LINE_BYTES {
        return Some(Err(CallError::TooLong));
    }
    let line = received[..end].strip_suffix(b"\r").unwrap_or(&received[..end]);
    let Ok(text) = std::str::from_utf8(line) else { return Some(Err(CallError::NotText)) };
    Some(match text.trim() {
        "STATUS" => Ok(Call::Status),
        "METRICS" => Ok(Call::Metrics),
        "PAUSE" => Ok(Call::Pause),
        "RESUME" => Ok(Call::Resume),
        _ => Err(CallError::Unknown),
    })
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn valid_calls_are_parsed_and_other_lines_rejected() {
        assert_eq!(parse_call(b"STATUS\n"), Some(Ok(Call::Status)));
        assert_eq!(parse_call(b"METRICS\r\n"), Some(Ok(Call::Metrics)));
        assert_eq!(parse_call(b"PAUSE\n"), Some(Ok(Call::Pause)));
        assert_eq!(parse_call(b"RESUME\n"), Some(Ok(Call::Resume)));
        assert_eq!(parse_call(b"STAT"), None);
        assert_eq!(parse_call(b"status\n"), Some(Err(CallError::Unknown)));
        assert_eq!(parse_call(b"\0STATUS\n"), Some(Err(CallError::Unknown)));
        assert_eq!(parse_call(b"\xff\xfe\n"), Some(Err(CallError::NotText)));
        assert_eq!(parse_call(&vec![b'S'; MAX_LINE_BYTES]), Some(Err(CallError::TooLong)));
        assert_eq!(parse_call(&vec![b'S'; 1 << 20]), Some(Err(CallError::TooLong)));
    }

    proptest! {
        /// A call that is cut at any byte is incomplete until its line end arrives, and is parsed then.
        #[test]
        fn a_call_cut_at_any_byte_is_parsed_only_when_complete(cut in 0usize..8) {
            let line = b"METRICS\n";
            let cut = cut.min(line.len() - 1);
            prop_assert_eq!(parse_call(&line[..cut]), None);
            prop_assert_eq!(parse_call(line), Some(Ok(Call::Metrics)));
        }

        #[test]
        fn arbitrary_bytes_are_parsed_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
            let _ = parse_call(&bytes);
        }
    }
}
