//! Health checks, which also request the load report if the settings name fields of it.

use crate::traffic::attempt_body::AttemptBody;
use crate::upstream::exchange::{ExchangeResult, Exchanger};
use crate::upstream::load_report::parse_load_report;
use crate::upstream::pool::ConnectionPool;
use balancer::{Outcome, ServerId};
use hyper::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Covers connecting, the request and the response of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs a health check of a server, for at most [`HEALTH_CHECK_TIMEOUT`].
pub async fn check_health(
    pool: &Rc<ConnectionPool>,
    exchanger: &Exchanger,
    server: ServerId,
) -> ExchangeResult {
    let check = request_health(pool, exchanger, server);
    let checked = timeout(HEALTH_CHECK_TIMEOUT, check).await;
    checked.unwrap_or(ExchangeResult::without_response(Outcome::TimedOut))
}

async fn request_health(
    pool: &Rc<ConnectionPool>,
    exchanger: &Exchanger,
    server: ServerId,
) -> ExchangeResult {
    let fields = exchanger.load_report_fields();
    let path = if fields.is_empty() { "/health" } else { "/status/load" };
    let request = Request::get(path).header("host", "backend").body(AttemptBody::default());
    let Ok(request) = request else { return ExchangeResult::without_response(Outcome::NotSent) };
    let connection = match pool.checkout(server).await {
        Ok(connection) => connection,
        Err(error) => return ExchangeResult::without_response(error.outcome()),
    };
    let Ok(mut result) = exchanger.exchange(connection, request).await else {
        return ExchangeResult::without_response(Outcome::ConnectionReset);
    };
    if result.load_report.is_none() {
        let body = result.response.as_ref().and_then(|response| response.body.as_complete());
        let text = body.and_then(|body| std::str::from_utf8(body).ok());
        result.load_report = text.and_then(|text| parse_load_report(text, fields));
    }
    result
}
