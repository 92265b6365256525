//! The body of an HTTP/1.1 response as a stream: decoded as it arrives, in memory that does not depend on its length.

use std::io::{self, BufRead, ErrorKind, Read};

use super::http::Body;

/// Limits a chunk-size line with its extensions, and each trailer line.
const MAX_LINE_BYTES: usize = 1024;
/// Limits the trailer section of a chunked body.
const MAX_TRAILER_LINES: usize = 64;
/// A longer chunk is rejected: no response is as long.
const MAX_CHUNK_BYTES: u64 = u32::MAX as u64;

/// Why a body can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("connection closed in the middle of a response")]
    Truncated,
    #[error("a chunk size can't be read")]
    InvalidChunkSize,
    #[error("a chunk is too long")]
    ChunkTooLong,
    #[error("a chunk does not end with a line break")]
    UnterminatedChunk,
    #[error("a line of the response is too long")]
    LineTooLong,
    #[error("the trailer section is too long")]
    TrailersTooLong,
}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> io::Error {
        let kind = match error {
            BodyError::Truncated => ErrorKind::UnexpectedEof,
            _ => ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}

/// Position in the body.
#[derive(Debug)]
enum State {
    /// In data of known length: the whole body, or a chunk.
    Data {
        remaining: u64,
        is_chunk: bool,
    },
    /// Before a chunk-size line.
    ChunkSize,
    UntilClose,
    End,
}

/// Reads the body of one response from a connection. At its end it returns 0, with the connection positioned at the
/// next response.
#[derive(Debug)]
pub struct BodyReader<R> {
    source: R,
    state: State,
}

impl<R: BufRead> BodyReader<R> {
    /// Creates a reader for a body that starts at the source's position.
    pub fn new(source: R, body: Body) -> BodyReader<R> {
        let state = match body {
            Body::Length(length) => State::Data { remaining: length as u64, is_chunk: false },
            Body::Chunked => State::ChunkSize,
            Body::UntilClose => State::UntilClose,
        };
        BodyReader { source, state }
    }

    /// Reads up to the next data, or to the end of the body.
    fn advance(&mut self) -> io::Result<()> {
        loop {
            match self.state {
                State::Data { remaining: 0, is_chunk: true } => {
                    self.read_chunk_end()?;
                    self.state = State::ChunkSize;
                }
                State::Data { remaining: 0, is_chunk: false } => self.state = State::End,
                State::ChunkSize => self.read_chunk_size()?,
                State::Data { .. } | State::UntilClose | State::End => return Ok(()),
            }
        }
    }

    fn read_chunk_size(&mut self) -> io::Result<()> {
        let line = read_line(&mut self.source, MAX_LINE_BYTES)?;
        let size = match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((_, size))) => size,
            Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::InvalidChunkSize.into()),
        };
        if size > MAX_CHUNK_BYTES {
            return Err(BodyError::ChunkTooLong.into());
        }
        if size == 0 {
            self.skip_trailers()?;
            self.state = State::End;
        } else {
            self.state = State::Data { remaining: size, is_chunk: true };
        }
        Ok(())
    }

    fn read_chunk_end(&mut self) -> io::Result<()> {
        let line = read_line(&mut self.source, MAX_LINE_BYTES)?;
        if !is_blank(&line) {
            return Err(BodyError::UnterminatedChunk.into());
        }
        Ok(())
    }

    fn skip_trailers(&mut self) -> io::Result<()> {
        for _ in 0..MAX_TRAILER_LINES {
            if is_blank(&read_line(&mut self.source, MAX_LINE_BYTES)?) {
                return Ok(());
            }
        }
        Err(BodyError::TrailersTooLong.into())
    }

    fn read_data(&mut self, buffer: &mut [u8], remaining: u64, is_chunk: bool) -> io::Result<usize> {
        let limit = usize::try_from(remaining).unwrap_or(usize::MAX).min(buffer.len());
        let received = self.source.read(&mut buffer[..limit])?;
        if received == 0 {
            return Err(BodyError::Truncated.into());
        }
        self.state = State::Data { remaining: remaining - received as u64, is_chunk };
        Ok(received)
    }
}

impl<R: BufRead> Read for BodyReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if buffer.is_empty() {
            return Ok(0);
        }
        self.advance()?;
        match self.state {
            State::Data { remaining, is_chunk } => self.read_data(buffer, remaining, is_chunk),
            State::UntilClose => self.source.read(buffer),
            State::ChunkSize | State::End => Ok(0),
        }
    }
}

/// Whether a line has nothing but its line break.
pub fn is_blank(line: &[u8]) -> bool {
    matches!(line, b"\r\n" | b"\n")
}

/// Reads a line with its line break, of at most `max_bytes`.
pub fn read_line(source: &mut impl BufRead, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    source.take(max_bytes as u64).read_until(b'\n', &mut line)?;
    if line.ends_with(b"\n") {
        return Ok(line);
    }
    let error = if line.len() < max_bytes { BodyError::Truncated } else { BodyError::LineTooLong };
    Err(error.into())
}

#[cfg(test)]
mod tests;
