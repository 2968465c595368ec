//! Servers whose responses break off, stall or go on for too long, and clients that verify every byte of what they get.
//!
//! The path of a request says what its server does, so that a server needs no state, and a seed can draw the path. Every
//! body is a function of the request's id and of its length, so that a client can tell a byte of another response.

pub mod client;
pub mod server;

pub use client::{send_request, Ending, Received, RequestOptions};
pub use server::FaultyServer;

use crate::draw::Seed;
use std::time::Duration;

/// Paths that hold a plan have this prefix after the class.
const PATH_PREFIX: &str = "faulty-";
/// The length of a body that is drawn.
const LENGTHS: [usize; 12] =
    [0, 1_000, 8_191, 8_193, 32_768, 40_000, 65_535, 65_537, 116_310, 255_695, 256 << 10, 1 << 20];
/// The sizes of pieces that are drawn.
const PIECES: [usize; 4] = [100, 4_096, 16_384, 1 << 20];
/// The pauses after a piece that are drawn.
const PAUSES_MS: [u64; 4] = [0, 0, 1, 20];
/// How long a response that is drawn takes at the longest.
const MAX_DRAWN_TIME: Duration = Duration::from_secs(3);

/// How the end of a response is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// What a server does once it has written the part of the response that its plan names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing wrong: the part is the complete response.
    None,
    /// Writes nothing more, and keeps the connection open.
    Stop,
    /// Ends the connection.
    Close,
    /// Resets the connection once what it has written is acknowledged and some time has passed.
    Reset,
    /// Resets the connection at once: what it has written may lie unread, or never arrive.
    ResetAtOnce,
    /// Writes bytes that belong to no response behind a complete one.
    ExtraBytes,
    /// Writes another response behind a complete one.
    SecondResponse,
}

impl Framing {
    /// Every framing.
    pub const ALL: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 7] = [
        Fault::None,
        Fault::Stop,
        Fault::Close,
        Fault::Reset,
        Fault::ResetAtOnce,
        Fault::ExtraBytes,
        Fault::SecondResponse,
    ];

    /// Whether all of the response is written before it.
    pub fn follows_complete_response(self) -> bool {
        matches!(self, Fault::None | Fault::ExtraBytes | Fault::SecondResponse)
    }
}

/// What a server does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponsePlan {
    /// How the end of the response is marked.
    pub framing: Framing,
    /// The length of the whole body.
    pub length: usize,
    /// How many bytes of the body are written before the fault.
    pub written: usize,
    /// How much of the body is written at once.
    pub piece_bytes: usize,
    /// The pause after each piece.
    pub pause: Duration,
    /// What follows.
    pub fault: Fault,
}

impl ResponsePlan {
    /// A complete response that is written at once.
    pub fn complete(framing: Framing, length: usize) -> Self {
        let (pause, fault) = (Duration::ZERO, Fault::None);
        ResponsePlan { framing, length, written: length, piece_bytes: usize::MAX, pause, fault }
    }

    /// The same with a fault after `written` bytes of the body.
    pub fn with_fault(self, fault: Fault, written: usize) -> Self {
        ResponsePlan { fault, written, ..self }
    }

    /// The same in pieces of `piece_bytes` bytes, with a pause after each.
    pub fn in_pieces(self, piece_bytes: usize, pause: Duration) -> Self {
        ResponsePlan { piece_bytes, pause, ..self }
    }

    /// Draws a plan.
    pub fn draw(draw: &mut Seed) -> Self {
        let length = LENGTHS[draw.below(LENGTHS.len())];
        let fault = Fault::ALL[draw.below(Fault::ALL.len())];
        let written = if fault.follows_complete_response() { length } else { draw.below(length + 1) };
        let pause = Duration::from_millis(PAUSES_MS[draw.below(PAUSES_MS.len())]);
        let drawn_piece_bytes = PIECES[draw.below(PIECES.len())];
        let max_pieces = match pause.as_millis() {
            0 => usize::MAX,
            pause_ms => (MAX_DRAWN_TIME.as_millis() / pause_ms) as usize,
        };
        let piece_bytes = drawn_piece_bytes.max(length / max_pieces + 1);
        ResponsePlan {
            framing: Framing::ALL[draw.below(Framing::ALL.len())],
            length,
            written,
            piece_bytes,
            pause,
            fault,
        }
    }

    /// The last segment of a path that asks for this.
    pub fn path_segment(&self) -> String {
        let place = |found: Option<usize>| found.unwrap_or_default();
        let framing = place(Framing::ALL.iter().position(|framing| *framing == self.framing));
        let fault = place(Fault::ALL.iter().position(|fault| *fault == self.fault));
        let ResponsePlan { length, written, piece_bytes, pause, .. } = self;
        format!("{PATH_PREFIX}{framing}-{length}-{written}-{piece_bytes}-{}-{fault}", pause.as_micros())
    }

    /// What a path asks for; `None` if it holds no plan.
    pub fn of_path(path: &str) -> Option<Self> {
        let segment = path.split('?').next()?.rsplit('/').next()?.strip_prefix(PATH_PREFIX)?;
        let numbers: Vec<u64> =
            segment.split('-').map(|number| number.parse().ok()).collect::<Option<_>>()?;
        let &[framing, length, written, piece_bytes, pause_us, fault] = &numbers[..] else { return None };
        Some(ResponsePlan {
            framing: *Framing::ALL.get(framing as usize)?,
            length: length as usize,
            written: written as usize,
            piece_bytes: piece_bytes as usize,
            pause: Duration::from_micros(pause_us),
            fault: *Fault::ALL.get(fault as usize)?,
        })
    }
}

/// The body of the response to the request `id`, of `length` bytes: no other request has the same bytes at a place.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let mut seed = id.bytes().fold(Seed(length as u64), |seed, byte| seed.fork(u64::from(byte)));
    let mut body = format!("{id}:{length}:").into_bytes();
    body.truncate(length);
    while body.len() < length {
        let bits = seed.bits().to_le_bytes();
        let rest = (length - body.len()).min(bits.len());
        body.extend_from_slice(&bits[..rest]);
    }
    body
}

#[cfg(test)]
mod tests;
