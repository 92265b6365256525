use super::*;
use std::io::Cursor;

/// A source that returns at most one byte for each read, as a connection may.
struct OneByOne<'a>(&'a [u8]);

impl Read for OneByOne<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let limit = buffer.len().min(1);
        self.0.read(&mut buffer[..limit])
    }
}

fn decode(bytes: &[u8], body: Body) -> (io::Result<Vec<u8>>, Vec<u8>) {
    let mut source = io::BufReader::with_capacity(1, OneByOne(bytes));
    let mut decoded = Vec::new();
    let result = BodyReader::new(&mut source, body).read_to_end(&mut decoded).map(|_| decoded);
    let mut rest = Vec::new();
    let _ = source.read_to_end(&mut rest);
    (result, rest)
}

#[test]
fn a_body_of_each_form_is_decoded_and_the_next_response_is_left() {
    let (body, rest) = decode(b"12345HTTP", Body::Length(5));
    assert_eq!((body.unwrap(), rest), (b"12345".to_vec(), b"HTTP".to_vec()));
    let (body, rest) = decode(b"2\r\n12\r\n3;note=x\r\n345\r\n0\r\nA: b\r\n\r\nHTTP", Body::Chunked);
    assert_eq!((body.unwrap(), rest), (b"12345".to_vec(), b"HTTP".to_vec()));
    let (body, _) = decode(b"12345", Body::UntilClose);
    assert_eq!(body.unwrap(), b"12345");
    let (body, rest) = decode(b"HTTP", Body::Length(0));
    assert_eq!((body.unwrap(), rest), (Vec::new(), b"HTTP".to_vec()));
}

#[test]
fn an_invalid_body_is_an_error_with_its_reason() {
    let cases: [(&[u8], Body, BodyError); 7] = [
        (b"1234", Body::Length(5), BodyError::Truncated),
        (b"5\r\n123", Body::Chunked, BodyError::Truncated),
        (b"5\r\n12345\r\n", Body::Chunked, BodyError::Truncated),
        (b"x\r\n", Body::Chunked, BodyError::InvalidChunkSize),
        (b"ffffffffffffffec\r\nx", Body::Chunked, BodyError::ChunkTooLong),
        (b"1\r\nab\r\n", Body::Chunked, BodyError::UnterminatedChunk),
        (&[b'1'; 3000], Body::Chunked, BodyError::LineTooLong),
    ];
    for (bytes, body, expected) in cases {
        let error = decode(bytes, body).0.unwrap_err();
        let reason = error.get_ref().and_then(|e| e.downcast_ref::<BodyError>());
        assert_eq!(reason, Some(&expected), "{}", bytes.escape_ascii());
    }
}

#[test]
fn an_endless_trailer_section_is_an_error() {
    let endless = [&b"0\r\n"[..], &b"A: b\r\n".repeat(1000)].concat();
    let error =
        BodyReader::new(Cursor::new(endless), Body::Chunked).read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(error.to_string(), BodyError::TrailersTooLong.to_string());
}
