//! One client connection: its requests, its timeouts and its end.

use crate::downstream::handler::{IncomingRequest, RequestHandler};
use crate::downstream::lifecycle::Phase;
use crate::traffic::connection_timer::{ConnectionTimer, TimedSocket};
use crate::traffic::memory_budget::HTTP_BUFFER_BYTES;
use crate::traffic::socket::Socket;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::yield_now;

/// Answers the requests of a connection until it is to be closed; the caller closes it.
pub async fn serve_connection(handler: Rc<RequestHandler>, socket: &Socket) {
    let mut phases = handler.lifecycle().subscribe();
    let is_last_request = phases.borrow_and_update().closes_idle();
    let timer = ConnectionTimer::new();
    let (request_timer, request_socket) = (timer.clone(), socket.clone());
    let service = service_fn(move |request| {
        let is_first = request_timer.awaits_first_request();
        let started = request_timer.start_request();
        let incoming = IncomingRequest { request, started, is_first };
        let (handler, socket) = (handler.clone(), request_socket.clone());
        async move { Ok::<_, Infallible>(handler.handle(incoming, socket).await) }
    });
    let mut builder = http1::Builder::new();
    // Hyper's own timeout for a head would count idle time and head together.
    builder.header_read_timeout(None).keep_alive(!is_last_request).max_buf_size(HTTP_BUFFER_BYTES);
    let timed_socket = TimedSocket::new(socket.clone(), timer.clone());
    let mut connection = pin!(builder.serve_connection(timed_socket, service));
    loop {
        // Whatever has come is read before anything is closed. An error is that the client has disconnected or has sent
        // malformed bytes; both concern this connection alone.
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = timer.wait_until_overdue() => {
                if timer.is_write_blocked() || !socket.has_pending_input() {
                    return;
                }
                // The runtime has not been notified of it yet.
                yield_now().await;
            }
            Ok(()) = phases.changed() => {
                let phase = *phases.borrow_and_update();
                if phase.closes_idle() && timer.has_active_request() {
                    connection.as_mut().graceful_shutdown();
                } else if should_close(phase, &timer, socket) {
                    return;
                }
            },
        }
    }
}

/// Whether a connection without an active request is closed as the process enters a phase. Where it is not, a request
/// may be on its way here, and its answer says that it is the last.
fn should_close(phase: Phase, timer: &ConnectionTimer, socket: &Socket) -> bool {
    let is_new = phase == Phase::Draining && timer.awaits_first_request();
    phase.closes_idle() && !is_new && timer.is_idle() && !socket.has_pending_input()
}
