//! HTTP exchanges: a request and its response over a connection.

use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::memory_budget::{MemoryBudget, MAX_BUFFERED_BODY_BYTES};
use crate::traffic::response_body::ResponseBody;
use crate::upstream::errors::{AttemptError, ExchangeError};
use crate::upstream::load_report::parse_load_report;
use crate::upstream::pool::{ConnectionPool, PooledConnection};
use balancer::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
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
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
            content_length: head.headers.get(CONTENT_LENGTH).filter(|_| is_head_request).cloned(),
            body: self.read_body(connection, body).await?,
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
        body: Incoming,
    ) -> Result<(), ExchangeError> {
        match Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await {
            Ok(_) => self.pool.check_in_when_ready(connection).await,
            Err(error) if error.is::<LengthLimitError>() => {}
            Err(error) => return Err(ExchangeError::ErrorBody(error)),
        }
        Ok(())
    }

    async fn read_body(
        &self,
        connection: PooledConnection,
        mut body: Incoming,
    ) -> Result<ResponseBody, ExchangeError> {
        let length = body.size_hint().exact();
        let mut chunks = VecDeque::new();
        if length.is_none_or(|length| length <= MAX_BUFFERED_BODY_BYTES as u64) {
            let reservation = self
                .budget
                .reserve_response(length.map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize))
                .await?;
            let deadline = length.is_none().then(|| Instant::now() + UNKNOWN_LENGTH_BUFFER_TIME);
            if read_short_body(&mut body, &mut chunks, deadline).await? {
                self.pool.check_in_when_ready(connection).await;
                return Ok(ResponseBody::complete(concatenate(chunks), Some(reservation)));
            }
        }
        let reservation = self.budget.reserve_streamed_response().await?;
        let pool = self.pool.clone();
        let check_in = move || {
            tokio::task::spawn_local(async move { pool.check_in_when_ready(connection).await });
        };
        Ok(ResponseBody::streamed(chunks, body, Box::new(check_in), reservation))
    }
}

/// Reads chunks until the body ends, exceeds [`MAX_BUFFERED_BODY_BYTES`], or `deadline` passes. Returns whether the
/// body has ended.
async fn read_short_body(
    body: &mut Incoming,
    chunks: &mut VecDeque<Bytes>,
    deadline: Option<Instant>,
) -> Result<bool, hyper::Error> {
    let mut size = 0;
    while size <= MAX_BUFFERED_BODY_BYTES {
        let frame = match deadline {
            None => body.frame().await,
            Some(deadline) => match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(false),
            },
        };
        let Some(frame) = frame.transpose()? else { return Ok(true) };
        if let Ok(bytes) = frame.into_data() {
            size += bytes.len();
            chunks.push_back(bytes);
        }
    }
    Ok(false)
}

fn concatenate(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 | 1 => chunks.pop_front().unwrap_or_default(),
        _ => chunks.iter().flat_map(|chunk| chunk.iter().copied()).collect::<Vec<u8>>().into(),
    }
}
