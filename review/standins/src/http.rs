//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read};
use std::time::Instant;

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }

    /// The method or the version.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message. `None` if the connection ended before its first byte.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte_at = Instant::now();
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').ok_or_else(|| invalid("a header without a colon"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { line, headers, body: Vec::new(), first_byte_at, last_byte_at: first_byte_at };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| invalid("a chunk without a size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if !message.header("content-length").is_empty() {
        let length = message.header("content-length").parse().map_err(|_| invalid("a length that is no number"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    message.last_byte_at = Instant::now();
    Ok(Some(message))
}

fn read_line<R: Read>(reader: &mut BufReader<R>) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| invalid("a line that is not UTF-8"))
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// A response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
