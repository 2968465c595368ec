//! Reads messages of HTTP/1.1.

use std::io::Read;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 for none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// `X-Timeout` in milliseconds.
    pub fn timeout_ms(&self) -> Option<f64> {
        let text = self.header("x-timeout")?;
        let (digits, unit) = text.split_at(text.len().checked_sub(1)?);
        let number: f64 = digits.parse().ok()?;
        match unit {
            "m" => Some(number),
            "u" => Some(number / 1e3),
            _ => None,
        }
    }
}

/// Why no message came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The other side ended or reset the connection before the first byte.
    Closed,
    /// It did so within a message.
    Broken,
    /// Nothing, or not all, came in time.
    Silent,
}

/// Reads messages of one connection; keeps what came after one for the next.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    fn fill(&mut self, stream: &mut impl Read) -> Result<(), Missing> {
        let mut chunk = [0; 16 << 10];
        loop {
            return match stream.read(&mut chunk) {
                Ok(0) if self.buffer.is_empty() => Err(Missing::Closed),
                Ok(0) => Err(Missing::Broken),
                Ok(length) => {
                    self.buffer.extend_from_slice(&chunk[..length]);
                    Ok(())
                }
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    Err(Missing::Silent)
                }
                Err(_) if self.buffer.is_empty() => Err(Missing::Closed),
                Err(_) => Err(Missing::Broken),
            };
        }
    }

    fn take_line(&mut self, stream: &mut impl Read) -> Result<String, Missing> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill(stream)?;
        }
    }

    fn take(&mut self, stream: &mut impl Read, length: usize) -> Result<Vec<u8>, Missing> {
        while self.buffer.len() < length {
            self.fill(stream)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one message with a length or in chunks; one with neither has no body.
    pub fn read(&mut self, stream: &mut impl Read) -> Result<Message, Missing> {
        while self.buffer.is_empty() {
            self.fill(stream)?;
        }
        let whole = |missing| if missing == Missing::Closed { Missing::Broken } else { missing };
        self.read_begun(stream).map_err(whole)
    }

    fn read_begun(&mut self, stream: &mut impl Read) -> Result<Message, Missing> {
        let mut message = Message { first_line: self.take_line(stream)?, ..Message::default() };
        loop {
            let line = self.take_line(stream)?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = self.take_line(stream)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| Missing::Broken)?;
                if size == 0 {
                    while !self.take_line(stream)?.is_empty() {}
                    break;
                }
                let chunk = self.take(stream, size)?;
                message.body.extend(chunk);
                self.take_line(stream)?;
            }
        } else if let Some(length) = message.header("content-length").and_then(|value| value.parse().ok()) {
            message.body = self.take(stream, length)?;
        }
        Ok(message)
    }
}
