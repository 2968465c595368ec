//! Handles one request: validates it, submits it to the balancer and waits for the answer.

use crate::downstream::body_reader::{BodyReader, ANSWER_RESERVE};
use crate::downstream::errors::RequestError;
use crate::downstream::lifecycle::Lifecycle;
use crate::downstream::request_head::{header_text, RequestHead};
use crate::downstream::responses::{answer_response, error_response, text_response};
use crate::driver::client_request::ClientRequest;
use crate::driver::{Driver, RESPONSE_DELIVERY_TURNS};
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::connection_timer::{yield_turns, StartedRequest};
use crate::traffic::request_body::{BodyError, RequestBodyStream};
use crate::traffic::response_body::ResponseBody;
use crate::traffic::socket::Socket;
use crate::upstream::headers::forwarded_headers;
use balancer::RequestId;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, EXPECT};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{sleep_until, Instant};

/// The balancer ends each request by its deadline; should it not, the agent does, this much later.
const OVERDUE_GRACE: Duration = Duration::from_millis(4);

/// A request whose head is complete.
pub struct IncomingRequest {
    /// Its head, and its body as it comes.
    pub request: Request<Incoming>,
    /// When its body has to come, and what ends with its answer.
    pub started: StartedRequest,
    /// Whether it is the first of its connection.
    pub is_first: bool,
}

/// Handles the requests of all connections.
pub struct RequestHandler {
    driver: Rc<Driver>,
    lifecycle: Lifecycle,
    /// The connections that may still be accepted.
    connection_slots: Arc<Semaphore>,
}

/// Notifies the balancer if a request ends without having been given its answer.
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
    /// Submits requests to `driver`.
    pub fn new(driver: Rc<Driver>, connection_slots: Arc<Semaphore>) -> Self {
        RequestHandler { driver, lifecycle: Lifecycle::new(), connection_slots }
    }

    /// The phase of the process.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Answers a request.
    pub async fn handle(&self, incoming: IncomingRequest, socket: Socket) -> Response<ResponseBody> {
        let IncomingRequest { request, started, is_first } = incoming;
        let mut response = tokio::select! {
            biased;
            response = self.respond(request, started.body_deadline) => response,
            // Hyper does not look for the end of a connection while bytes come before it. Nobody reads this.
            () = socket.wait_for_peer_close() => text_response(StatusCode::BAD_REQUEST, "the client has left"),
        };
        response.body_mut().attach_request(started.active);
        // When all slots are used, new clients wait in the system's queue, unread while their time goes by, and the terms
        // let no idle connection be closed for 2 s. So a connection ends with its first answer then; one that is used again
        // stays.
        let gives_up_slot = is_first && self.connection_slots.available_permits() == 0;
        if gives_up_slot || !self.lifecycle.is_running() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        body_deadline: BodyDeadline,
    ) -> Response<ResponseBody> {
        if self.is_readiness_check(&request) {
            return self.readiness_response();
        }
        let request_id = request.headers().get("x-request-id").cloned();
        match self.read(request, body_deadline).await {
            Ok(client_request) => self.wait_for_answer(client_request).await,
            Err(error) => {
                let request_id = request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
                self.driver.record_invalid_request(request_id, error.status(), &error.to_string());
                error_response(error)
            }
        }
    }

    /// A deployment may have a class `ready`, whose requests say so.
    fn is_readiness_check(&self, request: &Request<Incoming>) -> bool {
        let is_of_class = header_text(request.headers(), "x-priority-class") == Some("ready")
            && self.driver.names.classes.iter().any(|name| name == "ready");
        request.uri().path() == "/ready" && !is_of_class
    }

    fn readiness_response(&self) -> Response<ResponseBody> {
        if self.driver.is_ready() && self.lifecycle.is_running() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Reads a request completely, or until its body has turned out to be long.
    async fn read(
        &self,
        request: Request<Incoming>,
        body_deadline: BodyDeadline,
    ) -> Result<ClientRequest, RequestError> {
        let (parts, body) = request.into_parts();
        let head = RequestHead::parse(&parts, &self.driver.names, &self.driver.idempotency)?;
        let reader = BodyReader {
            budget: &self.driver.memory_budget,
            lifecycle: &self.lifecycle,
            deadline: body_deadline,
            expects_continue: parts.headers.contains_key(EXPECT),
            wait: head.wait,
        };
        let body = reader.read(body).await?;
        // While the body waited for memory its client may have sent all of it, and its time went by.
        let arrived_at = Instant::now() - body.memory_wait;
        Ok(ClientRequest {
            class: head.class,
            tenant: head.tenant,
            affinity_key: head.key,
            cost_hint: head.cost_hint,
            is_retry: head.is_retry,
            request_id: head.request_id,
            arrived_at,
            deadline: self.deadline(arrived_at, head.wait),
            headers: forwarded_headers(&parts.headers),
            method: parts.method,
            uri: parts.uri,
            body: body.content,
        })
    }

    /// When the answer of a request that arrived at `arrived_at` must be on its way.
    fn deadline(&self, arrived_at: Instant, wait: Duration) -> Instant {
        let reserve = ANSWER_RESERVE.min(wait / 4);
        let wait = match self.lifecycle.answer_by() {
            Some(answer_by) => wait.min(answer_by.saturating_duration_since(arrived_at)).max(reserve),
            None => wait,
        };
        arrived_at + (wait - reserve)
    }

    async fn wait_for_answer(&self, client_request: ClientRequest) -> Response<ResponseBody> {
        let (deadline, wait, body) = (
            client_request.deadline,
            client_request.response_timeout(),
            client_request.streamed_body().cloned(),
        );
        let (id, answer) = self.driver.submit(client_request);
        // When the client disconnects, hyper drops this future, and the guard notifies the balancer.
        let _pending = PendingRequest { driver: &self.driver, id };
        let response = tokio::select! {
            // A body that breaks off ends its attempt as well, and its client gets the cause.
            biased;
            error = wait_for_body_error(body.as_deref()) => return error_response(error.into()),
            answer = answer => answer.map_or_else(
                |_| text_response(StatusCode::BAD_GATEWAY, "no answer was decided"),
                answer_response,
            ),
            () = wait_until_overdue(body.as_deref(), deadline, wait) => {
                text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            () = self.lifecycle.wait_until_answer_due(body.as_deref()) => {
                text_response(StatusCode::GATEWAY_TIMEOUT, "the agent ends")
            }
        };
        if let Some(body) = body.filter(|body| body.completed_at().is_none()) {
            tokio::task::spawn_local(body.discard());
        }
        response
    }
}

async fn wait_for_body_error(body: Option<&RequestBodyStream>) -> BodyError {
    match body {
        None => std::future::pending().await,
        Some(body) => body.wait_for_error().await,
    }
}

/// Waits until a request should have been answered: by `deadline`, or if its body is long, `wait` after its last byte.
async fn wait_until_overdue(body: Option<&RequestBodyStream>, deadline: Instant, wait: Duration) {
    match body {
        None => sleep_until(deadline + OVERDUE_GRACE).await,
        Some(body) => sleep_until(body.wait_until_complete().await + wait + OVERDUE_GRACE).await,
    }
    yield_turns(2 * RESPONSE_DELIVERY_TURNS).await;
}
