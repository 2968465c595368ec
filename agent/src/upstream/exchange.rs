//! One request and its response over a connection.

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

/// A response of unknown length is held back for this long after its head: one that breaks off by then is retried
/// elsewhere, and one that goes on is passed on as it comes.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(50);

/// How an exchange ended.
pub struct ExchangeResult {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The status that the server gave, for the log.
    pub status: Option<StatusCode>,
    /// How long the connection had been idle before, if it was not a new one; for the log.
    pub connection_idle: Option<Duration>,
    /// What was wrong with the connection or the response; for the log.
    pub error: Option<AttemptError>,
    /// The load report that came along, in the order of the settings.
    pub load_report: Option<Vec<f64>>,
    /// The response to a request that was served.
    pub response: Option<ServedResponse>,
}

impl ExchangeResult {
    /// An exchange that brought no response.
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

/// A server's response to a request that it served.
pub struct ServedResponse {
    /// Its content type.
    pub content_type: Option<HeaderValue>,
    /// The length of the body that it would have, if only its head was requested.
    pub content_length: Option<HeaderValue>,
    /// The body, as far as it has come.
    pub body: ResponseBody,
}

/// Runs exchanges on connections of a pool.
pub struct Exchanger {
    pool: Rc<ConnectionPool>,
    budget: Rc<MemoryBudget>,
    load_report_fields: Vec<String>,
}

impl Exchanger {
    /// Gives connections back to `pool`, keeps response bodies within `budget`, and reads the named fields of load
    /// reports.
    pub fn new(pool: Rc<ConnectionPool>, budget: Rc<MemoryBudget>, load_report_fields: Vec<String>) -> Self {
        Exchanger { pool, budget, load_report_fields }
    }

    /// The fields of load reports that are read.
    pub fn load_report_fields(&self) -> &[String] {
        &self.load_report_fields
    }

    /// Sends a request and reads its response, completely or so much of it that the rest can be passed on. The error is
    /// what broke the exchange.
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

    /// What a response means. Only a rejection that says so proves that the request was not executed: a bare 503 may come
    /// from something that executed it.
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

    /// The status of an error says it all. Its body is not passed on; if that is long, it is not read either, and the
    /// connection ends.
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

/// Reads a body until it has ended, is too long to be kept, or `until` has come; whether it has ended.
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
