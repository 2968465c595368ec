//! Serves one client connection, enforces its timeouts and ends it on shutdown.

use crate::downstream::arrival::HeadArrival;
use crate::downstream::handler::{IncomingRequest, RequestHandler};
use crate::downstream::lifecycle::Phase;
use crate::traffic::connection_timer::{ConnectionTimer, TimedSocket};
use crate::traffic::head_memory::HeadGate;
use crate::traffic::memory_budget::HTTP_BUFFER_BYTES;
use crate::traffic::socket::Socket;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::yield_now;

/// Rejects a request whose head is not read to its end. The HTTP library has no request to respond to yet.
const NO_HEAD_MEMORY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 25\r\n\r\nno capacity for the head\n";

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// With a lingering close, so that no response is lost.
    Close,
    /// With a reset: a response has broken off, and its client might take the end of the connection for the end of the response.
    Reset,
}

/// Answers the requests of a connection until it is to be closed. The caller closes it.
pub async fn serve_connection(handler: Rc<RequestHandler>, socket: &Socket) -> ConnectionEnd {
    let gate = HeadGate::new(handler.head_memory());
    let timer = ConnectionTimer::new(socket.opened_at());
    serve_requests(handler, socket, &gate, &timer).await;
    if gate.is_rejected() {
        socket.write_now(NO_HEAD_MEMORY_RESPONSE);
    }
    match timer.has_broken_response() {
        true => ConnectionEnd::Reset,
        false => ConnectionEnd::Close,
    }
}

async fn serve_requests(
    handler: Rc<RequestHandler>,
    socket: &Socket,
    gate: &Rc<HeadGate>,
    timer: &Rc<ConnectionTimer>,
) {
    let mut phases = handler.lifecycle().subscribe();
    let closes_after_response = phases.borrow_and_update().closes_idle_connections();
    let (request_timer, request_socket, request_gate) = (timer.clone(), socket.clone(), gate.clone());
    let bytes_read = Cell::new(0);
    let service = service_fn(move |request: Request<Incoming>| {
        let head_memory = request_gate.admit_parsed_head(request.headers().len());
        let is_first = request_timer.awaits_first_request();
        let started = request_timer.start_request();
        // Hyper may read on before the request is handled.
        let arrival = HeadArrival::of_last_read(&request_socket, bytes_read.get());
        bytes_read.set(arrival.bytes_read());
        let gate = request_gate.clone();
        let incoming = IncomingRequest { request, started, is_first, arrival, head_memory, gate };
        let (handler, socket) = (handler.clone(), request_socket.clone());
        async move { Ok::<_, Infallible>(handler.handle(incoming, socket).await) }
    });
    let mut builder = http1::Builder::new();
    // Hyper's own timeout for heads would also count the idle time before a head.
    builder.header_read_timeout(None).keep_alive(!closes_after_response).max_buf_size(HTTP_BUFFER_BYTES);
    let timed_socket = TimedSocket::new(socket.clone(), timer.clone(), gate.clone());
    let mut connection = pin!(builder.serve_connection(timed_socket, service));
    loop {
        // The connection is polled first, so that input which has arrived is read before a timeout or a change of phase
        // closes the connection. Its errors are not reported: the client has disconnected or has sent malformed bytes,
        // which concerns this connection alone.
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = timer.wait_until_overdue() => {
                if timer.is_write_blocked() || gate.is_waiting() || !socket.has_pending_input() {
                    timer.record_timed_out();
                    return;
                }
                // The input has arrived, but the runtime has not been notified of it yet.
                yield_now().await;
            }
            Ok(()) = phases.changed() => {
                let phase = *phases.borrow_and_update();
                if phase.closes_idle_connections() && timer.has_active_request() {
                    connection.as_mut().graceful_shutdown();
                } else if should_close_idle(phase, timer, socket) {
                    return;
                }
            },
        }
    }
}

/// Whether a connection without an active request is closed when the process enters `phase`. If it is not, a request
/// may be in flight, and its response will carry `Connection: close`.
fn should_close_idle(phase: Phase, timer: &ConnectionTimer, socket: &Socket) -> bool {
    let is_new = phase == Phase::Draining && timer.awaits_first_request();
    phase.closes_idle_connections() && !is_new && timer.is_idle() && !socket.has_pending_input()
}
