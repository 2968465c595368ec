//! HTTP exchanges: a request and its response over a connection.

use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::body_buffer::{detached, detached_header, BodyBuffer};
use crate::traffic::memory_budget::{MemoryBudget, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use crate::traffic::response_body::{Framing, ResponseBody};
use crate::upstream::errors::{AttemptError, ExchangeError};
use crate::upstream::load_report::parse_load_report;
use crate::upstream::pool::{ConnectionPool, PooledConnection};
use balancer::Outcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How long after its head a response of unknown length is buffered. One that is cut off within this time can be
/// retried on another server; after it, the response is streamed to the client.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(50);

/// The result of an attempt or a health check.
pub struct ExchangeResult {
    /// The outcome that is reported to the balancer.
    pub outcome: Outcome,
    /// The status of the response, for the log; `None` without a response.
    pub status: Option<StatusCode>,
    /// How long the connection had been idle before, for the log; `None` for a new connection.
    pub connection_idle: Option<Duration>,
    /// The error of the connection or the response, for the log.
    pub error: Option<AttemptError>,
    /// The values of the load report, in the order of the fields in the settings; NaN for a field without one.
    pub load_report: Option<Vec<f64>>,
    /// The response, if the outcome is a success.
    pub response: Option<ServedResponse>,
}

impl ExchangeResult {
    /// A result with no more than an outcome.
    pub fn without_response(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            status: None,
            connection_idle: None,
            error: None,
            load_report: None,
            response: None,
        }
    }
}

/// A server's response with status 200.
pub struct ServedResponse {
    /// The `Content-Type` header.
    pub content_type: Option<HeaderValue>,
    /// The `Content-Length` header of the response to a HEAD request; `None` for other methods.
    pub content_length: Option<HeaderValue>,
    /// The body: complete, or streamed with what has been buffered so far.
    pub body: ResponseBody,
}

/// Runs exchanges over connections of a pool.
pub struct Exchanger {
    pool: Rc<ConnectionPool>,
    budget: Rc<MemoryBudget>,
    load_report_fields: Vec<String>,
}

impl Exchanger {
    /// Creates an exchanger that returns connections to `pool`, limits the memory of response bodies by `budget`, and
    /// reads `load_report_fields` from load reports.
    pub fn new(pool: Rc<ConnectionPool>, budget: Rc<MemoryBudget>, load_report_fields: Vec<String>) -> Self {
        Exchanger { pool, budget, load_report_fields }
    }

    /// The fields that are read from load reports, in the order of the settings.
    pub fn load_report_fields(&self) -> &[String] {
        &self.load_report_fields
    }

    /// Sends a request and reads its response: completely if it is short, else as much as is buffered before streaming.
    /// An error response is a result, not an error.
    pub async fn exchange(
        &self,
        mut connection: PooledConnection,
        request: Request<AttemptBody>,
    ) -> Result<ExchangeResult, ExchangeError> {
        let is_head_request = request.method() == Method::HEAD;
        let response = connection.http.sender.send_request(request).await?;
        let result = self.classify(&response);
        let (head, body) = response.into_parts();
        if result.outcome != Outcome::Success {
            self.drain_error_body(connection, body).await?;
            return Ok(result);
        }
        let response = ServedResponse {
            content_type: head.headers.get(CONTENT_TYPE).map(detached_header),
            content_length: head.headers.get(CONTENT_LENGTH).filter(|_| is_head_request).cloned(),
            body: self.read_body(connection, framing(&head.headers, &body), body).await?,
        };
        Ok(ExchangeResult { response: Some(response), ..result })
    }

    /// Derives the outcome and the load report from the head of a response. A 503 or 504 is a rejection only with the
    /// header `x-not-processed: 1`; without it, the status may come from a component that executed the request.
    fn classify<B>(&self, response: &Response<B>) -> ExchangeResult {
        let not_processed = response.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match response.status() {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                Outcome::Rejected
            }
            _ => Outcome::ServerError,
        };
        let report_header = response.headers().get("x-server-load").and_then(|value| value.to_str().ok());
        ExchangeResult {
            status: Some(response.status()),
            load_report: report_header.and_then(|text| parse_load_report(text, &self.load_report_fields)),
            ..ExchangeResult::without_response(outcome)
        }
    }

    /// Reads and discards the body of an error response, of which only the status is used, so that the connection can
    /// be reused. If the body is longer than [`MAX_BUFFERED_BODY_BYTES`], the connection is closed instead.
    async fn drain_error_body(
        &self,
        connection: PooledConnection,
        mut body: Incoming,
    ) -> Result<(), ExchangeError> {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            length += frame?.data_ref().map_or(0, Bytes::len);
            if length > MAX_BUFFERED_BODY_BYTES {
                return Ok(());
            }
        }
        self.pool.check_in_when_ready(connection).await;
        Ok(())
    }

    async fn read_body(
        &self,
        connection: PooledConnection,
        framing: Framing,
        mut body: Incoming,
    ) -> Result<ResponseBody, ExchangeError> {
        let (mut reservation, max_buffered_bytes, deadline) = match body.size_hint().exact() {
            Some(length) if length <= MAX_BUFFERED_BODY_BYTES as u64 => {
                (self.budget.reserve_response(length as usize).await?, length as usize, None)
            }
            Some(_) => {
                let reservation = self.budget.reserve_streamed_response().await?;
                // One that is cut off before can be retried on another server.
                let first_bytes = read_first_bytes(&mut body).await?;
                return Ok(self.stream_body(connection, first_bytes, body, framing, reservation));
            }
            None => {
                let open = self.budget.reserve_open_response().await?;
                let deadline = Instant::now() + UNKNOWN_LENGTH_BUFFER_TIME;
                (open.reservation, open.max_buffered_bytes, Some(deadline))
            }
        };
        let capacity = match deadline {
            None => max_buffered_bytes,
            Some(_) => self.budget.buffer_bytes(max_buffered_bytes),
        };
        let mut buffer = BodyBuffer::with_capacity(capacity);
        let is_complete = read_short_body(&mut body, &mut buffer, max_buffered_bytes, deadline).await?;
        let bytes = buffer.into_bytes();
        if is_complete {
            reservation.shrink_to(bytes.len());
            self.pool.check_in_when_ready(connection).await;
            return Ok(ResponseBody::complete(bytes, Some(reservation)));
        }
        Ok(self.stream_body(connection, bytes, body, framing, reservation))
    }

    /// A body of which `buffered` has been read.
    fn stream_body(
        &self,
        connection: PooledConnection,
        buffered: Bytes,
        body: Incoming,
        framing: Framing,
        reservation: MemoryReservation,
    ) -> ResponseBody {
        let pool = self.pool.clone();
        let check_in = move || {
            tokio::task::spawn_local(async move { pool.check_in_when_ready(connection).await });
        };
        ResponseBody::streamed(buffered, body, framing, Box::new(check_in), reservation)
    }
}

/// How the end of a response is marked.
fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    if headers.contains_key(TRANSFER_ENCODING) {
        Framing::Chunked
    } else if body.size_hint().exact().is_some() {
        Framing::Length
    } else {
        Framing::Close
    }
}

/// Reads the first chunk of a body that is not empty.
async fn read_first_bytes(body: &mut Incoming) -> Result<Bytes, hyper::Error> {
    let frame = body.frame().await.transpose()?;
    Ok(frame.as_ref().and_then(Frame::data_ref).map(detached).unwrap_or_default())
}

/// Reads chunks until the body ends, exceeds `max_bytes`, or `deadline` passes. Returns whether the body has ended.
async fn read_short_body(
    body: &mut Incoming,
    buffer: &mut BodyBuffer,
    max_bytes: usize,
    deadline: Option<Instant>,
) -> Result<bool, hyper::Error> {
    while buffer.len() <= max_bytes {
        let frame = match deadline {
            None => body.frame().await,
            Some(deadline) => match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(false),
            },
        };
        let Some(frame) = frame.transpose()? else { return Ok(true) };
        if let Some(bytes) = frame.data_ref() {
            buffer.push(bytes);
        }
    }
    Ok(false)
}
