//! Calls at an even pace from threads that do nothing else, timed from when each was due. The runtime's timers go by whole
//! milliseconds, which is more than what is measured here.

use crate::clock::histogram;
use hdrhistogram::Histogram;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A call that is not answered by then has failed.
const PATIENCE: Duration = Duration::from_secs(5);
/// The connections are open by then.
const BEFORE: Duration = Duration::from_millis(30);
const MOST_US: u64 = 60_000_000;
const HEAD_MOST: usize = 16 << 10;

/// What is asked, and how often.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Who is asked.
    pub to: SocketAddr,
    /// The whole path.
    pub path: String,
    /// The class that it is of.
    pub class: &'static str,
    /// Calls a second.
    pub rate: f64,
    /// For so many seconds.
    pub seconds: f64,
    /// Connections, each with its thread: so many calls may be out at a time.
    pub connections: usize,
}

/// What came of it.
pub struct Heard {
    /// Microseconds from when a call was due until its answer was whole.
    pub times: Histogram<u64>,
    /// Microseconds that the testbed was late with a call although a connection was free.
    pub late: Histogram<u64>,
    /// Calls that were not answered by 200.
    pub unserved: u64,
}

impl Heard {
    fn new() -> Self {
        Heard { times: histogram(MOST_US), late: histogram(MOST_US), unserved: 0 }
    }

    /// Milliseconds at a quantile from 0 to 1.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }

    /// The testbed's own lateness at the 99th percentile, in milliseconds.
    pub fn late_ms(&self) -> f64 {
        self.late.value_at_quantile(0.99) as f64 / 1e3
    }

    /// Takes in what another thread heard.
    fn add(&mut self, other: &Heard) {
        // The bounds are the same.
        let _ = (self.times.add(&other.times), self.late.add(&other.late));
        self.unserved += other.unserved;
    }
}

impl Pace {
    /// Calls at this pace; blocks until all is answered.
    pub fn hold(&self) -> Heard {
        let (next, begun) = (AtomicU64::new(0), Instant::now() + BEFORE);
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..self.connections).map(|_| scope.spawn(|| self.call(&next, begun))).collect();
            let mut heard = Heard::new();
            // A thread that panics takes the whole measurement with it.
            threads.into_iter().for_each(|thread| heard.add(&thread.join().expect("no panic")));
            heard
        })
    }

    /// One connection: takes the next call that nobody has taken, until the time is over.
    fn call(&self, next: &AtomicU64, begun: Instant) -> Heard {
        let mut heard = Heard::new();
        let mut stream = self.connect().ok();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let at = number as f64 / self.rate;
            if at >= self.seconds {
                return heard;
            }
            let due = begun + Duration::from_secs_f64(at);
            let early = due.saturating_duration_since(Instant::now());
            if !early.is_zero() {
                std::thread::sleep(early);
                heard.late.saturating_record(due.elapsed().as_micros().max(1) as u64);
            }
            let served = self.ask(&mut stream, number);
            heard.times.saturating_record(due.elapsed().as_micros().max(1) as u64);
            heard.unserved += u64::from(!served);
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.to, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(stream)
    }

    /// Whether a call is served. One that crosses the end of a kept connection is sent once more.
    fn ask(&self, kept: &mut Option<TcpStream>, number: u64) -> bool {
        for fresh in [false, true] {
            let stream = match kept.take() {
                Some(stream) if !fresh => Ok(stream),
                _ => self.connect(),
            };
            let answered = stream.and_then(|mut stream| Ok((self.exchange(&mut stream, number)?, stream)));
            match answered {
                Ok((served, stream)) => {
                    *kept = Some(stream);
                    return served;
                }
                Err(why) if is_silence(&why) => return false,
                Err(_) => {}
            }
        }
        false
    }

    fn exchange(&self, stream: &mut TcpStream, number: u64) -> io::Result<bool> {
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {number:016x}\r\n\
             X-Priority-Class: {}\r\nX-Timeout: 1000m\r\n\r\n",
            self.path, self.class
        );
        stream.write_all(request.as_bytes())?;
        let mut answer = Vec::with_capacity(1024);
        let mut part = [0; 4096];
        loop {
            let read = stream.read(&mut part)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            answer.extend_from_slice(&part[..read]);
            if let Some(served) = whole(&answer)? {
                return Ok(served);
            }
        }
    }
}

fn is_silence(why: &io::Error) -> bool {
    matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Whether an answer says 200, once it is whole. Bodies hold dots alone, so the end of a chunked one cannot stand within.
pub(super) fn whole(answer: &[u8]) -> io::Result<Option<bool>> {
    let odd = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let Some(end) = answer.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if answer.len() > HEAD_MOST { Err(odd("a head without end")) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&answer[..end]).map_err(|_| odd("a head that is no text"))?;
    let served = head.starts_with("HTTP/1.1 200");
    let header = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (own, value) = line.split_once(':')?;
            own.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    };
    let body = &answer[end + 4..];
    let ended = match header("content-length") {
        Some(length) => body.len() >= length.parse().map_err(|_| odd("a length that is no number"))?,
        None if header("transfer-encoding").is_some() => body.ends_with(b"0\r\n\r\n"),
        None => return Err(odd("an answer without a length")),
    };
    Ok(ended.then_some(served))
}
