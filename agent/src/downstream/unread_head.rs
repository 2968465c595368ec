//! Looks at a request that lies unread on a connection, and leaves it there.

use crate::downstream::request_head::parse_timeout;
use crate::traffic::socket::Socket;
use std::time::Duration;

/// Of a longer head nothing is known.
const MAX_PEEKED_BYTES: usize = 8 << 10;
const MAX_FIELDS: usize = 64;

/// The client's timeout in the head that lies unread on a connection; `None` if there is no complete and valid one.
pub fn unread_timeout(socket: &Socket) -> Option<Duration> {
    let mut bytes = vec![0; MAX_PEEKED_BYTES];
    let length = socket.peek(&mut bytes).ok()?;
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    head.parse(&bytes[..length]).ok().filter(httparse::Status::is_complete)?;
    let field = head.headers.iter().find(|field| field.name.eq_ignore_ascii_case("x-timeout"))?;
    parse_timeout(std::str::from_utf8(field.value).ok()?)
}

#[cfg(test)]
mod tests;
