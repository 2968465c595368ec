//! Builds the responses to clients.

use crate::downstream::errors::RequestError;
use crate::driver::requests::FinalResponse;
use crate::traffic::response_body::ResponseBody;
use crate::upstream::exchange::ServedResponse;
use balancer::Span;
use hyper::header::{HeaderValue, ALLOW, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The response for an answer that the balancer has decided on.
pub fn answer_response(answer: FinalResponse) -> Response<ResponseBody> {
    match answer {
        FinalResponse::Served(served) => {
            let ServedResponse { content_type, content_length, body } = *served;
            let mut response = Response::new(body);
            response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
            response.headers_mut().extend(content_length.map(|value| (CONTENT_LENGTH, value)));
            response
        }
        FinalResponse::Rejected(retry_after) => {
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut response = text_response(status, "refused; trying again is harmless");
            let retry_after = retry_after.and_then(retry_after_seconds);
            response.headers_mut().extend(retry_after.map(|value| (RETRY_AFTER, value)));
            response
        }
        FinalResponse::Failed(status) => text_response(status, "failed"),
    }
}

/// The value of `Retry-After`: seconds with three decimals.
fn retry_after_seconds(span: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.as_ms() / 1e3)).ok()
}

/// The response to a request that is rejected before the balancer decides about it.
pub fn error_response(error: RequestError) -> Response<ResponseBody> {
    let mut response = text_response(error.status(), &error.to_string());
    if let RequestError::MethodNotAllowed { allowed } = error {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    }
    response
}

/// A plain-text response whose body is `text` and a line feed.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(format!("{text}\n").into(), None));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
