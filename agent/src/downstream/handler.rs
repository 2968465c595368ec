//! Handles requests: validates each, submits it to the balancer and waits for the answer.

use crate::downstream::arrival::HeadArrival;
use crate::downstream::body_reader::{BodyReader, ANSWER_RESERVE};
use crate::downstream::errors::RequestError;
use crate::downstream::lifecycle::Lifecycle;
use crate::downstream::request_head::{header_text, RequestHead};
use crate::downstream::responses::{answer_response, error_response, text_response};
use crate::driver::client_request::ClientRequest;
use crate::driver::requests::FinalResponse;
use crate::driver::{Driver, RESPONSE_DELIVERY_TURNS};
use crate::traffic::body_buffer::detached_uri;
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::connection_timer::{yield_turns, StartedRequest};
use crate::traffic::head_memory::{HeadGate, HeadMemory, NoHeadMemory};
use crate::traffic::request_body::{BodyError, RequestBodyStream};
use crate::traffic::response_body::ResponseBody;
use crate::traffic::socket::Socket;
use crate::upstream::headers::forwarded_headers;
use balancer::RequestId;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, EXPECT};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

/// The balancer ends each request by its deadline. If it does not, the agent does so this long after the deadline.
const OVERDUE_GRACE: Duration = Duration::from_millis(4);

/// A request whose head is complete.
pub struct IncomingRequest {
    /// The head, and the body, which may still be arriving.
    pub request: Request<Incoming>,
    /// The timing of the request.
    pub started: StartedRequest,
    /// Whether it is the first request of its connection.
    pub is_first: bool,
    /// When the head arrived.
    pub arrival: HeadArrival,
    /// Whether there is memory for the head.
    pub head_memory: Result<(), NoHeadMemory>,
    /// The gate of its connection.
    pub gate: Rc<HeadGate>,
}

/// When a request arrived, and when its body times out.
struct RequestTiming {
    arrival: HeadArrival,
    /// Whether it arrived before the previous request of its connection was answered.
    is_pipelined: bool,
    body_deadline: BodyDeadline,
    head_memory: Result<(), NoHeadMemory>,
}

/// Handles the requests of all connections.
pub struct RequestHandler {
    driver: Rc<Driver>,
    lifecycle: Lifecycle,
    /// One permit for each connection that may still be accepted.
    connection_slots: Arc<Semaphore>,
    head_memory: Rc<HeadMemory>,
    /// One permit, for the next pipelined request of all connections.
    pipelined_turns: Semaphore,
}

/// Notifies the balancer if it is dropped before the request has got its answer.
struct PendingRequest<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.driver.abandon(self.id);
    }
}

impl RequestHandler {
    /// A handler that submits requests to `driver`.
    pub fn new(driver: Rc<Driver>, connection_slots: Arc<Semaphore>, head_memory: Rc<HeadMemory>) -> Self {
        RequestHandler {
            driver,
            lifecycle: Lifecycle::new(),
            connection_slots,
            head_memory,
            pipelined_turns: Semaphore::new(1),
        }
    }

    /// The memory of client connections.
    pub fn head_memory(&self) -> Rc<HeadMemory> {
        self.head_memory.clone()
    }

    /// The lifecycle of the process.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Answers a request, with `Connection: close` if the connection is to be closed after the response.
    pub async fn handle(&self, incoming: IncomingRequest, socket: Socket) -> Response<ResponseBody> {
        let IncomingRequest { request, started, is_first, arrival, head_memory, gate } = incoming;
        let is_pipelined = !is_first && !arrival.was_awaited();
        let knows_chunks = request.version() > Version::HTTP_10;
        let timing =
            RequestTiming { arrival, is_pipelined, body_deadline: started.body_deadline, head_memory };
        let mut response = tokio::select! {
            biased;
            response = self.respond(request, timing, &socket) => response,
            // Hyper does not notice that the client has closed while unread bytes precede the end of the stream. Nobody
            // reads this response.
            () = socket.wait_for_peer_close() => text_response(StatusCode::BAD_REQUEST, "the client has left"),
        };
        response.body_mut().attach_request(started.active);
        if !knows_chunks && response.body().as_complete().is_none() {
            // The end of the connection ends the response. This process may be killed before.
            socket.set_reset_on_close(true);
        }
        // While all slots are used, new connections wait in the kernel's accept queue, where their requests stay unread
        // while their timeouts run, and the service terms do not allow an idle connection to be closed before 2 s. So a
        // connection is closed after its first response then; one that has been used again stays open.
        let closes_to_free_slot = is_first && self.connection_slots.available_permits() == 0;
        if closes_to_free_slot || gate.blocks_large_heads() || !self.lifecycle.is_running() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        timing: RequestTiming,
        socket: &Socket,
    ) -> Response<ResponseBody> {
        if timing.is_pipelined {
            self.wait_for_pipelined_turn().await;
        }
        if self.is_readiness_check(&request) {
            return self.readiness_response();
        }
        let request_id = request.headers().get("x-request-id").cloned();
        let read = tokio::select! {
            biased;
            read = self.read_request(request, timing, socket) => read,
            () = socket.wait_for_peer_close() => Err(RequestError::ClientLeft),
        };
        match read {
            Ok(client_request) => self.wait_for_answer(client_request).await,
            Err(error) => {
                let request_id = request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
                self.driver.record_invalid_request(request_id, error.status(), &error.to_string());
                error_response(error)
            }
        }
    }

    /// Waits until all connections have had a turn since the last pipelined request. Clients that send ahead of the
    /// responses always have a request to handle; one at a time of all these clients delays nobody else.
    async fn wait_for_pipelined_turn(&self) {
        // The semaphore is never closed.
        let _turn = self.pipelined_turns.acquire().await;
        yield_now().await;
    }

    /// Whether a request is a readiness check. The settings may also have a class `ready`, whose requests name it in
    /// `X-Priority-Class`.
    fn is_readiness_check(&self, request: &Request<Incoming>) -> bool {
        let is_of_ready_class = header_text(request.headers(), "x-priority-class") == Some("ready")
            && self.driver.names.classes.iter().any(|name| name == "ready");
        request.uri().path() == "/ready" && !is_of_ready_class
    }

    fn readiness_response(&self) -> Response<ResponseBody> {
        if self.driver.is_ready() && self.lifecycle.is_running() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Validates a request and reads its body, completely or until it is known to be too long to be buffered.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        timing: RequestTiming,
        socket: &Socket,
    ) -> Result<ClientRequest, RequestError> {
        timing.head_memory?;
        let (parts, body) = request.into_parts();
        let head = RequestHead::parse(&parts, &self.driver.names, &self.driver.idempotency)?;
        let headers = forwarded_headers(&parts.headers);
        let expects_continue = parts.headers.contains_key(EXPECT);
        // The request may wait for its body and for a server, and needs nothing else of its head. The read buffer of its
        // connection is free for the body then.
        let Parts { method, uri, .. } = parts;
        let uri = detached_uri(uri);
        let reader = BodyReader {
            budget: &self.driver.memory_budget,
            lifecycle: &self.lifecycle,
            deadline: timing.body_deadline,
            head_arrival: timing.arrival,
            expects_continue,
            client_timeout: head.client_timeout,
            connection: socket,
        };
        let body = reader.read(body).await?;
        let arrived_at = body.arrived_at;
        Ok(ClientRequest {
            class: head.class,
            tenant: head.tenant,
            affinity_key: head.affinity_key,
            cost_hint: head.cost_hint,
            is_retry: head.is_retry,
            request_id: head.request_id,
            arrived_at,
            connection: socket.downgrade(),
            deadline: self.deadline(arrived_at, head.client_timeout),
            headers,
            method,
            uri,
            body: body.content,
        })
    }

    /// When the balancer must have answered a request that arrived at `arrived_at`. The time left until the client's
    /// timeout and until the process must have answered is for writing the response.
    fn deadline(&self, arrived_at: Instant, client_timeout: Duration) -> Instant {
        let reserve = ANSWER_RESERVE.min(client_timeout / 4);
        let timeout = match self.lifecycle.answer_by() {
            Some(answer_by) => {
                client_timeout.min(answer_by.saturating_duration_since(arrived_at)).max(reserve)
            }
            None => client_timeout,
        };
        arrived_at + (timeout - reserve)
    }

    async fn wait_for_answer(&self, client_request: ClientRequest) -> Response<ResponseBody> {
        let (deadline, timeout, body) = (
            client_request.deadline,
            client_request.response_timeout(),
            client_request.streamed_body().cloned(),
        );
        let (id, mut answer) = self.driver.submit(client_request);
        // When the client disconnects, hyper drops this future, and this guard notifies the balancer.
        let _pending = PendingRequest { driver: &self.driver, id };
        let answer = tokio::select! {
            // A body that fails also ends its attempt. Polled first, so that the client gets the cause of the failure.
            biased;
            error = wait_for_body_error(body.as_deref()) => return error_response(error.into()),
            answer = &mut answer => answer.ok(),
            () = wait_until_overdue(body.as_deref(), deadline, timeout) => self.answer_now(id, answer),
            () = self.lifecycle.wait_until_answer_due() => self.answer_now(id, answer),
        };
        if let Some(body) = body.filter(|body| body.completed_at().is_none()) {
            if let Some(FinalResponse::Served(_)) = answer {
                body.record_answered();
            }
            tokio::task::spawn_local(body.discard());
        }
        answer
            .map_or_else(|| text_response(StatusCode::BAD_GATEWAY, "no answer was decided"), answer_response)
    }

    /// Has the balancer answer a request now, and returns the answer.
    fn answer_now(
        &self,
        id: RequestId,
        mut answer: oneshot::Receiver<FinalResponse>,
    ) -> Option<FinalResponse> {
        self.driver.answer_now(id);
        answer.try_recv().ok()
    }
}

async fn wait_for_body_error(body: Option<&RequestBodyStream>) -> BodyError {
    match body {
        None => std::future::pending().await,
        Some(body) => body.wait_for_error().await,
    }
}

/// Waits until a request should have been answered: until `deadline`, or `timeout` after its client may have sent the last
/// byte of a streamed body, and then for [`OVERDUE_GRACE`].
async fn wait_until_overdue(body: Option<&RequestBodyStream>, deadline: Instant, timeout: Duration) {
    match body {
        None => sleep_until(deadline + OVERDUE_GRACE).await,
        Some(body) => {
            body.wait_until_answer_due(timeout).await;
            sleep(OVERDUE_GRACE).await;
        }
    }
    yield_turns(2 * RESPONSE_DELIVERY_TURNS).await;
}
