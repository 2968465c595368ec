//! A client that reads responses byte by byte, by the rules of their framing alone.

use super::{body_of, Fault, Framing, ResponsePlan};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

const READ_BYTES: usize = 64 << 10;
const CHUNK_BYTES: usize = 16 << 10;

/// How a client sends its request and reads the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOptions {
    /// The request's method.
    pub method: &'static str,
    /// `HTTP/1.1` or `HTTP/1.0`.
    pub version: &'static str,
    /// Further header fields, each with its line end.
    pub fields: &'static str,
    /// The request's class.
    pub class: &'static str,
    /// `X-Timeout`.
    pub timeout: Duration,
    /// The request's body.
    pub body: Vec<u8>,
    /// Whether the length of the body is not declared.
    pub is_chunked: bool,
    /// The pause after each read of the response.
    pub read_pause: Duration,
    /// How much of the response is read at once.
    pub read_bytes: usize,
}

impl Default for RequestOptions {
    fn default() -> Self {
        RequestOptions {
            method: "GET",
            version: "HTTP/1.1",
            fields: "X-Tenant-Id: acme\r\n",
            class: "read",
            timeout: Duration::from_secs(2),
            body: Vec::new(),
            is_chunked: false,
            read_pause: Duration::ZERO,
            read_bytes: READ_BYTES,
        }
    }
}

/// How a response ended, by the rules of its framing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Complete.
    Complete,
    /// The connection ended before the response did.
    EndOfStream,
    /// The connection was reset.
    Reset(io::ErrorKind),
    /// The bytes are no valid response.
    Malformed,
    /// The client has waited for as long as it wanted to.
    Unfinished,
}

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The status; 0 without a head.
    pub status: u16,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// How it ended.
    pub ending: Ending,
    /// How long after the last byte of the request it ended.
    pub took: Duration,
    /// Whether the connection may be used for another request.
    pub is_reusable: bool,
}

impl Received {
    /// What is wrong with the response to the request `id` of `plan`; `None` if nothing is. A complete response with status
    /// 200 must be the server's, byte for byte; of any other the bytes that came must be.
    pub fn problem(&self, id: &str, plan: &ResponsePlan) -> Option<String> {
        if self.status != 200 {
            return None;
        }
        let whole = body_of(id, plan.length);
        // By its framing, a response that ends with the connection has all bytes before that end.
        let ends_with_connection = plan.framing == Framing::Close;
        let has_bytes_behind = matches!(plan.fault, Fault::ExtraBytes | Fault::SecondResponse);
        let is_of_server = match ends_with_connection && has_bytes_behind {
            true => self.body.starts_with(&whole) || whole.starts_with(&self.body),
            false => whole.starts_with(&self.body),
        };
        if !is_of_server {
            return Some(format!("{} bytes that are not the server's, {plan:?}", self.body.len()));
        }
        let is_ended_early = ends_with_connection && plan.fault == Fault::Close;
        let complete_length = if is_ended_early { plan.written } else { plan.length };
        let is_short = self.ending == Ending::Complete && self.body.len() < complete_length;
        is_short
            .then(|| format!("a sound end after {} bytes of {complete_length}, {plan:?}", self.body.len()))
    }
}

/// Sends the request `id` for `plan` and reads the response, for `patience` after the last byte was written.
///
/// # Errors
///
/// If the request cannot be written.
pub async fn send_request(
    stream: &mut TcpStream,
    id: &str,
    plan: &ResponsePlan,
    options: &RequestOptions,
    patience: Duration,
) -> io::Result<Received> {
    stream.write_all(&request_bytes(id, plan, options)).await?;
    Ok(read_response(stream, options, Instant::now(), patience).await)
}

/// The request `id` for `plan`.
fn request_bytes(id: &str, plan: &ResponsePlan, options: &RequestOptions) -> Vec<u8> {
    let RequestOptions { method, version, fields, class, timeout, body, is_chunked, .. } = options;
    let length = match (*method, is_chunked) {
        ("POST", false) => format!("Content-Length: {}\r\n", body.len()),
        ("POST", true) => "Transfer-Encoding: chunked\r\n".to_owned(),
        _ => String::new(),
    };
    let head = format!(
        "{method} /{class}/{} {version}\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout: {}m\r\n{fields}{length}\r\n",
        plan.path_segment(),
        timeout.as_millis(),
    );
    let mut bytes = head.into_bytes();
    if *is_chunked {
        for chunk in body.chunks(CHUNK_BYTES) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Reads a response, for `patience` after the request's last byte was written at `sent_at`.
pub async fn read_response(
    stream: &mut TcpStream,
    options: &RequestOptions,
    sent_at: Instant,
    patience: Duration,
) -> Received {
    let mut bytes = Vec::new();
    let mut piece = vec![0; options.read_bytes];
    let is_head_request = options.method == "HEAD";
    let ending = loop {
        match parse(&bytes, is_head_request) {
            Parsed::Complete => break Ending::Complete,
            Parsed::Malformed => break Ending::Malformed,
            Parsed::Partial | Parsed::UntilClose => {}
        }
        if sent_at.elapsed() >= patience {
            break Ending::Unfinished;
        }
        match timeout_at(sent_at + patience, stream.read(&mut piece)).await {
            Err(_) => break Ending::Unfinished,
            Ok(Err(error)) => break Ending::Reset(error.kind()),
            Ok(Ok(0)) => match parse(&bytes, is_head_request) {
                Parsed::UntilClose => break Ending::Complete,
                _ => break Ending::EndOfStream,
            },
            Ok(Ok(length)) => bytes.extend_from_slice(&piece[..length]),
        }
        if !options.read_pause.is_zero() {
            sleep(options.read_pause).await;
        }
    };
    let head = Head::of(&bytes);
    Received {
        status: head.as_ref().map_or(0, |head| head.status),
        body: head.as_ref().map_or_else(Vec::new, |head| head.body(&bytes)),
        took: sent_at.elapsed(),
        is_reusable: ending == Ending::Complete && head.is_some_and(|head| head.keeps_connection),
        ending,
    }
}

/// How far a response has come.
enum Parsed {
    Partial,
    Complete,
    /// The end of the connection ends it.
    UntilClose,
    Malformed,
}

struct Head {
    end: usize,
    status: u16,
    length: Option<usize>,
    is_chunked: bool,
    keeps_connection: bool,
}

impl Head {
    /// The head of a response, if it is complete.
    fn of(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let text = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let value = |name: &str| {
            let mut fields = text.lines().filter_map(|line| line.split_once(':'));
            fields.find(|(field, _)| *field == name).map(|(_, value)| value.trim().to_owned())
        };
        Some(Head {
            end,
            status: text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0),
            length: value("content-length").and_then(|length| length.parse().ok()),
            is_chunked: value("transfer-encoding").is_some(),
            keeps_connection: text.starts_with("http/1.1")
                && value("connection").is_none_or(|v| v != "close"),
        })
    }

    /// The body, as far as it has come.
    fn body(&self, bytes: &[u8]) -> Vec<u8> {
        let rest = &bytes[self.end..];
        match self.is_chunked {
            true => decode_chunks(rest).map_or_else(Vec::new, |(body, _)| body),
            false => rest[..self.length.unwrap_or(rest.len()).min(rest.len())].to_vec(),
        }
    }
}

fn parse(bytes: &[u8], is_head_request: bool) -> Parsed {
    let Some(head) = Head::of(bytes) else { return Parsed::Partial };
    let rest = &bytes[head.end..];
    if is_head_request {
        return Parsed::Complete;
    }
    if head.is_chunked {
        // Whether the last chunk has come is looked at only where it may have, as the decoding goes through all bytes.
        return match rest.ends_with(b"\r\n\r\n").then(|| decode_chunks(rest)) {
            None | Some(Some((_, false))) => Parsed::Partial,
            Some(Some((_, true))) => Parsed::Complete,
            Some(None) => Parsed::Malformed,
        };
    }
    match head.length {
        Some(length) if rest.len() == length => Parsed::Complete,
        Some(length) if rest.len() > length => Parsed::Malformed,
        Some(_) => Parsed::Partial,
        None => Parsed::UntilClose,
    }
}

/// Decodes a chunked body: the bytes, and whether the last chunk has come. `None` if it is malformed.
fn decode_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        let start = line + 2;
        if size == 0 {
            return Some((body, rest.ends_with(b"\r\n\r\n")));
        }
        let end = (start + size).min(rest.len());
        body.extend_from_slice(&rest[start..end]);
        rest = rest.get(end + 2..).unwrap_or_default();
    }
    Some((body, false))
}
