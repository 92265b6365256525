//! What is still to be written to one client, in order, and how it gives memory back where its client does not read.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};

use crate::server::clients::OpenRequestGuard;
use crate::wire::fastcgi;

/// Responses without a body are written together up to this size.
const MAX_MERGED_BYTES: usize = 4096;

/// Bytes that are written together.
#[derive(Debug)]
struct Chunk {
    bytes: Vec<u8>,
    /// The connection closes after these bytes.
    is_last: bool,
    /// Of an answer with a body: what takes its place if the memory is needed.
    substitute: Option<Substitute>,
    _open_guard: Option<OpenRequestGuard>,
}

/// The records that take the place of an answer with a body.
#[derive(Debug)]
pub struct Substitute {
    /// In place of the whole answer, of which nothing has been written.
    pub answer: Vec<u8>,
    /// After the records that have been written in part: the client can tell from the length in the head that the
    /// answer is incomplete.
    pub end: Vec<u8>,
}

/// An encoded answer to a request.
#[derive(Debug)]
pub struct EncodedAnswer {
    pub bytes: Vec<u8>,
    pub is_last: bool,
    pub substitute: Option<Substitute>,
    pub open_guard: OpenRequestGuard,
}

/// How a write went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// A chunk has been written to its end; the connection closes after it if `is_last`.
    Chunk { is_last: bool },
    /// The client takes no more bytes now.
    Blocked,
}

/// The unwritten output of a connection.
#[derive(Debug, Default)]
pub struct OutputQueue {
    chunks: VecDeque<Chunk>,
    /// Bytes of the first chunk, as far as it is kept, that have been written.
    written: usize,
    /// Something of the first chunk has been written.
    has_begun: bool,
    /// Bytes of all chunks.
    bytes: usize,
}

impl OutputQueue {
    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// The number of chunks that are not written to their end.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// The memory that the output takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the first chunk is not begun.
    pub fn is_at_chunk_start(&self) -> bool {
        !self.has_begun
    }

    /// Adds a response that ends no open request, together with small ones before it.
    pub fn push_response(&mut self, is_last: bool, encode: impl FnOnce(&mut Vec<u8>)) {
        let has_room = |chunk: &&mut Chunk| {
            chunk._open_guard.is_none() && !chunk.is_last && chunk.bytes.len() < MAX_MERGED_BYTES
        };
        if let Some(chunk) = self.chunks.back_mut().filter(has_room) {
            let length = chunk.bytes.len();
            encode(&mut chunk.bytes);
            chunk.is_last = is_last;
            self.bytes += chunk.bytes.len() - length;
            return;
        }
        let mut bytes = Vec::new();
        encode(&mut bytes);
        self.bytes += bytes.len();
        self.chunks.push_back(Chunk { bytes, is_last, substitute: None, _open_guard: None });
    }

    /// Adds an answer behind the others.
    pub fn push_answer(&mut self, answer: EncodedAnswer) {
        let position = self.chunks.len();
        self.insert(position, answer);
    }

    /// Adds an answer ahead of those whose write has not begun, so that a client that reads large answers slowly still
    /// learns of a rejection at once.
    pub fn push_answer_ahead(&mut self, answer: EncodedAnswer) {
        let after_started = self.chunks.len().min(1);
        self.insert(after_started, answer);
    }

    fn insert(&mut self, position: usize, answer: EncodedAnswer) {
        let EncodedAnswer { bytes, is_last, substitute, open_guard } = answer;
        self.bytes += bytes.len();
        let chunk = Chunk { bytes, is_last, substitute, _open_guard: Some(open_guard) };
        self.chunks.insert(position, chunk);
    }

    /// Writes to the client until a chunk ends or the client takes no more.
    ///
    /// # Errors
    /// If the connection has ended.
    pub fn write_to(&mut self, stream: &mut impl Write) -> io::Result<Written> {
        while let Some(chunk) = self.chunks.front() {
            match stream.write(&chunk.bytes[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.written += length;
                    self.has_begun = true;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    return Ok(Written::Blocked)
                }
                Err(error) => return Err(error),
            }
            if self.written == chunk.bytes.len() {
                let is_last = chunk.is_last;
                self.bytes -= chunk.bytes.len();
                self.written = 0;
                self.has_begun = false;
                self.chunks.pop_front();
                return Ok(Written::Chunk { is_last });
            }
        }
        Ok(Written::Blocked)
    }

    /// Gives back the memory of records that have been written whole. Returns the number of bytes.
    pub fn release_written(&mut self) -> usize {
        let Some(chunk) = self.chunks.front_mut() else { return 0 };
        let released = fastcgi::record_around(&chunk.bytes, self.written).start;
        if released == 0 {
            return 0;
        }
        chunk.bytes = copy_of_part(&chunk.bytes[released..], &[]);
        self.written -= released;
        self.bytes -= released;
        released
    }

    /// Gives back the memory of one answer with a body: of the last one that is not begun, else the rest of the one that
    /// is. Each answer keeps an end. False if there is nothing to give back.
    pub fn shed(&mut self) -> bool {
        let not_begun = usize::from(self.has_begun);
        let candidates = self.chunks.iter().enumerate().skip(not_begun);
        let last =
            candidates.filter(|(_, chunk)| chunk.substitute.is_some()).map(|(index, _)| index).next_back();
        match last {
            Some(index) => self.replace(index),
            None => self.truncate_first(),
        }
    }

    fn replace(&mut self, index: usize) -> bool {
        let Some(chunk) = self.chunks.get_mut(index) else { return false };
        let Some(substitute) = chunk.substitute.take() else { return false };
        self.bytes = self.bytes - chunk.bytes.len() + substitute.answer.len();
        chunk.bytes = substitute.answer;
        true
    }

    /// Ends the answer whose write has begun after the record that is being written.
    fn truncate_first(&mut self) -> bool {
        self.release_written();
        let written = self.written;
        let Some(chunk) = self.chunks.front_mut() else { return false };
        let Some(substitute) = chunk.substitute.take() else { return false };
        let length = chunk.bytes.len();
        let kept = fastcgi::record_around(&chunk.bytes, written).end;
        if kept + substitute.end.len() >= length {
            return false;
        }
        chunk.bytes = copy_of_part(&chunk.bytes[..kept], &substitute.end);
        self.bytes = self.bytes - length + chunk.bytes.len();
        true
    }
}

/// Part of an answer, and an end, in memory of their own. An answer that is shortened in place leaves a gap behind that is too
/// small for the next answer of its size, so that the allocator takes ever more memory of the system.
fn copy_of_part(part: &[u8], end: &[u8]) -> Vec<u8> {
    [part, end].concat()
}

#[cfg(test)]
mod tests;
