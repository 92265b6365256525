//! HTTP/1.1 as the side protocols use it. Heads are parsed by httparse.

/// The head of a response: its length in bytes, its status, the length of the body and whether the connection stays
/// open.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub head_bytes: usize,
    pub status: u16,
    pub body: Body,
    pub keep_alive: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Parses the head of a response; `None` while it is incomplete.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(bytes).map_err(|e| e.to_string())? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let mut body = Body::UntilClose;
    let mut keep_alive = response.version == Some(1);
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|e| e.to_string())?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            body = Body::Length(value.parse().map_err(|_| format!("content-length is {value:?}"))?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            body = Body::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(ResponseHead { head_bytes, status: response.code.unwrap_or(0), body, keep_alive }))
}

/// Decodes a chunked body; gives it and the number of bytes it took, `None` while it is incomplete.
pub fn decode_chunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        match httparse::parse_chunk_size(&bytes[position..]).map_err(|_| "a chunk size can't be read")? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((used, size)) => {
                let (start, size) = (position + used, usize::try_from(size).map_err(|e| e.to_string())?);
                let end =
                    start.checked_add(size).filter(|e| *e < usize::MAX - 2).ok_or("a chunk is too long")?;
                if bytes.len() < end + 2 {
                    return Ok(None);
                }
                body.extend_from_slice(&bytes[start..end]);
                position = end + 2;
                if size == 0 {
                    return Ok(Some((body, position)));
                }
            }
        }
    }
}

/// The maximum length of a request head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The head of a request. Header names are in lower case.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub head_bytes: usize,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Body,
    pub keep_alive: bool,
}

impl RequestHead {
    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Parses the head of a request; `None` while it is incomplete. A body whose length is ambiguous is an error, since
/// what one side takes for a body another could take for a request (request smuggling).
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<RequestHead>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(bytes).map_err(|_| "the head can't be read")? {
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err("the head is too long"),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let mut headers_by_name = Vec::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| "a header is no text")?;
        headers_by_name.push((header.name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let values_of = |name: &str| {
        headers_by_name.iter().filter(|(n, _)| n == name).map(|(_, v)| v.clone()).collect::<Vec<_>>()
    };
    let is_http_1_1 = request.version == Some(1);
    let body = match (&values_of("content-length")[..], &values_of("transfer-encoding")[..]) {
        ([], []) => Body::Length(0),
        ([length], []) if length.bytes().all(|b| b.is_ascii_digit()) => {
            Body::Length(length.parse().map_err(|_| "content-length is no number")?)
        }
        ([], [coding]) if is_http_1_1 && coding.eq_ignore_ascii_case("chunked") => Body::Chunked,
        _ => return Err("the length of the body is not clear"),
    };
    if is_http_1_1 && values_of("host").len() != 1 {
        return Err("there must be one Host header");
    }
    let keep_alive = match values_of("connection").first() {
        Some(option) if option.eq_ignore_ascii_case("close") => false,
        Some(option) if option.eq_ignore_ascii_case("keep-alive") => true,
        _ => is_http_1_1,
    };
    let (method, path) = (request.method.unwrap_or("").to_owned(), request.path.unwrap_or("").to_owned());
    Ok(Some(RequestHead { head_bytes, method, path, headers: headers_by_name, body, keep_alive }))
}

/// The status of a response without a body.
pub const NOT_MODIFIED: u16 = 304;

/// Encodes the head of a response whose body has this many bytes.
pub fn encode_response_head(
    status: u16,
    headers: &[(&str, String)],
    body_bytes: usize,
    keep_alive: bool,
) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        NOT_MODIFIED => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if status != NOT_MODIFIED {
        out += &format!("Content-Length: {body_bytes}\r\n");
    }
    out += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    out.into_bytes()
}
