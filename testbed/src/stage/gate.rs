//! The renderers' sockets: a listener for each agent and renderer, which can refuse, fall mute, and answer as the
//! platform's protocol page says.

use super::machine::{Presence, Taken, Work};
use super::World;
use crate::crowd::{respond, Responder};
use crate::draw::Seed;
use crate::link::Toward;
use crate::oracle::{Entry, TryId};
use crate::plan::ATTEMPT_CV;
use crate::renderer::Ticket;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Round trips that a handshake takes beyond the connection's own.
const HANDSHAKE_ROUNDS: f64 = 2.5;
/// The longest body that is read.
const BODY_MOST: usize = 64 << 10;
/// An answer is about as long as this.
const ANSWER_BYTES: usize = 600;
const BACKLOG: i32 = 256;
/// A renderer that has been pushed over is taken off the list after this.
const NOTICE_US: u64 = 1_000_000;
/// What no attempt asks for: it waits as long as this at the most.
const WAIT_MOST_US: u64 = 600_000_000;

/// A connection that can end with a reset.
pub struct Wire {
    stream: TcpStream,
    reset: Arc<AtomicBool>,
}

impl Drop for Wire {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Relaxed) {
            // A connection that its peer has closed meanwhile needs no reset.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Binds a listener whose port may have been in use a moment ago.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|e| format!("the testbed cannot listen on {address}: {e}"))
}

/// A listener that lets nobody in: its queue is as short as the kernel has it, and full. The kernel then drops what
/// knocks, as a network does that has lost a machine.
struct Mute<'a> {
    listener: &'a TcpListener,
    _inside: Vec<std::net::TcpStream>,
}

impl<'a> Mute<'a> {
    fn of(listener: &'a TcpListener) -> Self {
        let mut inside = Vec::new();
        // Linux lets one connection wait in a queue of none. Where an agent's is there already, the second of these
        // waits in vain, and is given up after a moment.
        if rustix::net::listen(listener, 0).is_ok() {
            if let Ok(address) = listener.local_addr() {
                for _ in 0..2 {
                    let Ok(socket) = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
                    else {
                        continue;
                    };
                    if socket.set_nonblocking(true).is_ok() {
                        // It is under way, or there is no room: both are meant.
                        let _ = socket.connect(&address.into());
                        inside.push(socket.into());
                    }
                }
            }
        }
        Mute { listener, _inside: inside }
    }

    /// Whatever waits was never let in: it is reset, as by a machine that is back.
    fn over(self) {
        drop(self._inside);
        let _ = rustix::net::listen(self.listener, BACKLOG);
    }
}

/// Serves one renderer to one agent until the play ends.
pub async fn serve(world: Arc<World>, agent: usize, renderer: usize) {
    let link = world.links.of(agent, renderer);
    let (mut changes, mut seen) = (link.changes(), world.machines[renderer].seen());
    let address = world.addresses.renderer(renderer, agent);
    loop {
        if seen.wait_for(|seen| seen.0 != Presence::Down).await.is_err() {
            return;
        }
        let listener = match bind(address).await {
            Ok(listener) => listener,
            Err(why) => return world.break_off(why),
        };
        loop {
            let presence = seen.borrow_and_update().0;
            let closed = changes.borrow_and_update().closed();
            if presence == Presence::Down {
                break;
            }
            let over = async {
                tokio::select! {
                    changed = seen.changed() => changed.is_ok(),
                    changed = changes.changed() => changed.is_ok(),
                }
            };
            if presence == Presence::Vanished || closed {
                let mute = Mute::of(&listener);
                if !over.await {
                    return;
                }
                mute.over();
                // What came meanwhile waits at the front of the queue, and is let go by a reset.
                while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await
                {
                    drop(Wire { stream, reset: Arc::new(AtomicBool::new(true)) });
                }
                continue;
            }
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(connection(world.clone(), agent, renderer, stream));
                    } else {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
                going = over => if !going { return },
            }
        }
    }
}

async fn connection(world: Arc<World>, agent: usize, renderer: usize, stream: TcpStream) {
    let machine = &world.machines[renderer];
    let reset = Arc::new(AtomicBool::new(false));
    // It spares waits; a connection without it is good all the same.
    let _ = stream.set_nodelay(true);
    let wire = Wire { stream, reset: reset.clone() };
    if !machine.connects(world.clock.now(), true) {
        reset.store(true, Ordering::Relaxed);
        return;
    }
    world.ledger().connections += 1;
    let mut seen = machine.seen();
    let process = seen.borrow().1;
    let fresh = Arc::new(AtomicBool::new(true));
    let service = {
        let (world, reset) = (world.clone(), reset.clone());
        service_fn(move |request| {
            let (world, fresh, reset) = (world.clone(), fresh.swap(false, Ordering::Relaxed), reset.clone());
            async move {
                match Responder::of_path(request.uri().path()) {
                    Some(responder) => {
                        let pace = world.plan.paces.get(renderer).copied().unwrap_or(responder.pace);
                        let responder = Responder { pace, ..responder };
                        let response = respond(responder, request.into_body()).await;
                        response.map(|response| response.map(Either::Right)).map_err(|_| Broken)
                    }
                    None => {
                        let answered = answer(&world, agent, renderer, fresh, &reset, request).await;
                        answered.map(|response| response.map(Either::Left))
                    }
                }
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(Duration::from_micros(world.plan.idle_us));
    let served = builder.serve_connection(TokioIo::new(wire), service);
    tokio::select! {
        // An error is the agent's leaving, or the reset that was asked for.
        _ = served => {}
        _ = seen.wait_for(|seen| seen.0 == Presence::Down || seen.1 != process) => {
            reset.store(true, Ordering::Relaxed);
        }
    }
    machine.connects(world.clock.now(), false);
}

/// The connection ends without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is broken on purpose")]
struct Broken;

fn plain(status: StatusCode, never_ran: bool, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    if never_ran {
        response.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Says that the agent has given an attempt up, if it is dropped before it is answered.
struct GivenUp {
    world: Arc<World>,
    agent: usize,
    renderer: usize,
    ticket: Option<Ticket>,
    attempt: Option<(TryId, usize)>,
}

impl Drop for GivenUp {
    fn drop(&mut self) {
        if let Some((id, number)) = self.attempt.take() {
            self.world.ledger().answered(id, number, None, false);
        }
        let Some(ticket) = self.ticket.take() else { return };
        // The word has to travel as well; the runtime may be gone at the play's end.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let (world, agent, renderer) = (self.world.clone(), self.agent, self.renderer);
            runtime.spawn(async move {
                world.links.of(agent, renderer).carry(Toward::Renderer, &mut Seed(ticket)).await;
                world.machines[renderer].leave(world.clock.now(), ticket);
            });
        }
    }
}

/// Numbers all exchanges, so that each has draws of its own.
static EXCHANGES: AtomicU64 = AtomicU64::new(0);

async fn answer(
    world: &Arc<World>,
    agent: usize,
    renderer: usize,
    fresh: bool,
    reset: &AtomicBool,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Broken> {
    let began = world.clock.now();
    let (machine, link) = (&world.machines[renderer], world.links.of(agent, renderer));
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let probed = match head.uri.path() {
        "/health" => Some(false),
        "/status/load" => Some(true),
        _ => None,
    };
    if let Some(load) = probed {
        let mut draw = Seed(EXCHANGES.fetch_add(1, Ordering::Relaxed));
        world.ledger().probes += 1;
        link.carry(Toward::Renderer, &mut draw).await;
        machine.awake().await;
        let (in_flight, queued) = machine.probed(world.clock.now());
        let report = format!("TEXT inflight={in_flight}, queue={queued}");
        link.carry(Toward::Agent, &mut draw).await;
        return Ok(plain(StatusCode::OK, false, if load { report } else { "ok".into() }));
    }
    let id = text("x-request-id").and_then(|id| TryId::from_str_radix(id, 16).ok());
    let wait = text("x-timeout").and_then(wait_us).unwrap_or(WAIT_MOST_US).min(WAIT_MOST_US);
    let read = Limited::new(body, BODY_MOST).collect().await;
    if read.is_err() {
        // It broke off before its last byte, or is too long for this platform: it has not run.
        return Err(Broken);
    }
    let now = world.clock.now();
    let entry = world.ledger().attempt(began, now, agent, renderer, id);
    let (Entry::Known { number, arrival }, Some(id)) = (entry, id) else {
        let status = if id.is_some() { StatusCode::BAD_REQUEST } else { StatusCode::NOT_FOUND };
        return Ok(plain(status, false, "no client has sent this".into()));
    };
    let mut owed =
        GivenUp { world: world.clone(), agent, renderer, ticket: None, attempt: Some((id, number)) };
    let mut draw = Seed(world.plan.seed).fork(id).fork(number as u64 + 1);
    if fresh {
        let round = link.takes(Toward::Renderer, &mut draw) + link.takes(Toward::Agent, &mut draw);
        crate::clock::sleep(round.mul_f64(HANDSHAKE_ROUNDS)).await;
    }
    link.carry(Toward::Renderer, &mut draw).await;
    machine.awake().await;

    let due = &world.plan.arrivals[arrival];
    let work = draw.lognormal(due.work_us as f64, ATTEMPT_CV);
    let luck = (draw.unit(), draw.unit());
    let now = world.clock.now();
    let taken = machine.arrive(now, work, due.apart_us, now + wait, luck);
    let (status, never_ran) = match taken {
        Err(pushed) => {
            world.ledger().pushed_over(now, renderer, pushed);
            world.directory.ended(world, renderer, NOTICE_US);
            std::future::pending().await
        }
        Ok(Taken::Reset) => {
            reset.store(true, Ordering::Relaxed);
            return Err(Broken);
        }
        Ok(Taken::Error) => (StatusCode::INTERNAL_SERVER_ERROR, false),
        Ok(Taken::Away) => (StatusCode::SERVICE_UNAVAILABLE, true),
        Ok(Taken::In(ticket, told)) => {
            owed.ticket = Some(ticket);
            match told.await {
                Ok(Work::Done) => (StatusCode::OK, false),
                Ok(Work::Expired) => (StatusCode::GATEWAY_TIMEOUT, true),
                // The process has ended; the connection ends with it, or stays silent with its machine.
                Err(_) => std::future::pending().await,
            }
        }
    };
    owed.ticket = None;
    link.carry(Toward::Agent, &mut draw).await;
    owed.attempt = None;
    world.ledger().answered(id, number, Some(status.as_u16()), never_ran);
    let mut text = format!("{id:016x} {}\n", world.plan.renderers[renderer].name);
    if status == StatusCode::OK {
        text.extend(std::iter::repeat_n('.', ANSWER_BYTES));
    }
    Ok(plain(status, never_ran, text))
}

/// Reads a wait such as `480m` or `900u`.
pub fn wait_us(text: &str) -> Option<u64> {
    let unit = match text.chars().last()? {
        'm' => 1000.0,
        'u' => 1.0,
        _ => return None,
    };
    let figure: f64 = text[..text.len() - 1].parse().ok()?;
    (figure.is_finite() && figure >= 0.0).then_some((figure * unit) as u64)
}

#[cfg(test)]
mod tests;
