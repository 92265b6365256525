//! HTTP/1.1 as it is spoken beside the main protocol: heads are read by httparse.

/// The head of a response: how long it is, its status and the length of its body, `None` where the body ends
/// with the connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    pub size: usize,
    pub status: u16,
    pub body: Body,
    pub keep: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Reads the head of a response; `None` while it has not come whole.
pub fn response_head(bytes: &[u8]) -> Result<Option<Head>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let size = match response.parse(bytes).map_err(|e| e.to_string())? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let mut body = Body::UntilClose;
    let mut keep = response.version == Some(1);
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|e| e.to_string())?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            body = Body::Length(value.parse().map_err(|_| format!("content-length is {value:?}"))?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            body = Body::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(Head { size, status: response.code.unwrap_or(0), body, keep }))
}

/// Joins the chunks of a chunked body; gives it and how many bytes it took, `None` while it is not whole.
pub fn chunked(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        match httparse::parse_chunk_size(&bytes[at..]).map_err(|_| "a chunk size can't be read")? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((used, size)) => {
                let (start, size) = (at + used, usize::try_from(size).map_err(|e| e.to_string())?);
                let end =
                    start.checked_add(size).filter(|e| *e < usize::MAX - 2).ok_or("a chunk is too long")?;
                if bytes.len() < end + 2 {
                    return Ok(None);
                }
                body.extend_from_slice(&bytes[start..end]);
                at = end + 2;
                if size == 0 {
                    return Ok(Some((body, at)));
                }
            }
        }
    }
}

/// The longest head taken.
pub const LONGEST_HEAD: usize = 16 * 1024;

/// The head of a request. Names of headers are in small letters.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub size: usize,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Body,
    pub keep: bool,
}

impl RequestHead {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a request; `None` while it has not come whole. A body whose length can be understood in
/// two ways is an error: what one side takes for a body another could take for a request.
pub fn request_head(bytes: &[u8]) -> Result<Option<RequestHead>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(bytes).map_err(|_| "the head can't be read")? {
        httparse::Status::Partial if bytes.len() > LONGEST_HEAD => return Err("the head is too long"),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let mut named = Vec::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| "a header is no text")?;
        named.push((header.name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let all =
        |name: &str| named.iter().filter(|(n, _)| n == name).map(|(_, v)| v.clone()).collect::<Vec<_>>();
    let one_one = request.version == Some(1);
    let body = match (&all("content-length")[..], &all("transfer-encoding")[..]) {
        ([], []) => Body::Length(0),
        ([length], []) if length.bytes().all(|b| b.is_ascii_digit()) => {
            Body::Length(length.parse().map_err(|_| "content-length is no number")?)
        }
        ([], [coding]) if one_one && coding.eq_ignore_ascii_case("chunked") => Body::Chunked,
        _ => return Err("the length of the body is not clear"),
    };
    if one_one && all("host").len() != 1 {
        return Err("there must be one Host header");
    }
    let keep = match all("connection").first() {
        Some(word) if word.eq_ignore_ascii_case("close") => false,
        Some(word) if word.eq_ignore_ascii_case("keep-alive") => true,
        _ => one_one,
    };
    let (method, path) = (request.method.unwrap_or("").to_owned(), request.path.unwrap_or("").to_owned());
    Ok(Some(RequestHead { size, method, path, headers: named, body, keep }))
}

/// A whole response. `head_only` leaves the body out, as the answer to HEAD does.
pub fn response(
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
    keep: bool,
    head_only: bool,
) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        304 => "Not Modified",
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
    if status != 304 {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += if keep { "\r\n" } else { "Connection: close\r\n\r\n" };
    let mut out = out.into_bytes();
    if !head_only && status != 304 {
        out.extend_from_slice(body);
    }
    out
}
