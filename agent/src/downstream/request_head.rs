//! Parses and validates the head of a request.

use crate::downstream::errors::RequestError;
use balancer::{AffinityKey, ClassId, Idempotency, Span, TenantId};
use balancer_settings::{fnv1a, Names};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use std::time::Duration;

/// The largest valid `X-Timeout`.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(600);

/// The contents of a valid head.
pub struct RequestHead {
    /// The class, named by the first segment of the path.
    pub class: ClassId,
    /// The tenant, if the settings have tenants.
    pub tenant: Option<TenantId>,
    /// The value of `X-Request-ID`, by which the application identifies the request.
    pub request_id: String,
    /// How long the client waits for the response.
    pub client_timeout: Duration,
    /// The affinity key: the hash of the query parameter `key`.
    pub affinity_key: Option<AffinityKey>,
    /// The client's estimate of the work, if it has sent a valid one.
    pub cost_hint: Option<Span>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
}

impl RequestHead {
    /// Validates a head against the settings: the names of classes and tenants, and the idempotency of each class.
    pub fn parse(
        head: &Parts,
        names: &Names,
        idempotency_by_class: &[Idempotency],
    ) -> Result<Self, RequestError> {
        let class = parse_class(head, names)?;
        let request_id = header_text(&head.headers, "x-request-id").filter(|id| !id.is_empty());
        let request_id = request_id.ok_or(RequestError::MissingRequestId)?.to_owned();
        let tenant = parse_tenant(&head.headers, names)?;
        let client_timeout = header_text(&head.headers, "x-timeout").and_then(parse_timeout);
        let client_timeout = client_timeout.ok_or(RequestError::InvalidTimeout)?;
        check_method(head, idempotency_by_class[class.0])?;
        Ok(RequestHead {
            class,
            tenant,
            request_id,
            client_timeout,
            affinity_key: parse_affinity_key(&head.uri),
            cost_hint: cost_hint(&head.headers),
            is_retry: header_text(&head.headers, "x-retried") == Some("1"),
        })
    }
}

/// The value of a header, if it is present and consists of visible ASCII characters.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_class(head: &Parts, names: &Names) -> Result<ClassId, RequestError> {
    let first_segment = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = names.classes.iter().position(|name| name == first_segment);
    let class = class.ok_or(RequestError::UnknownClass)?;
    if header_text(&head.headers, "x-priority-class") != Some(first_segment) {
        return Err(RequestError::ClassMismatch);
    }
    Ok(ClassId(class))
}

fn parse_tenant(headers: &HeaderMap, names: &Names) -> Result<Option<TenantId>, RequestError> {
    if names.tenants.is_empty() {
        return Ok(None);
    }
    let tenant = header_text(headers, "x-tenant-id");
    let index = tenant.and_then(|tenant| names.tenants.iter().position(|name| name == tenant));
    index.map(|index| Some(TenantId(index))).ok_or(RequestError::UnknownTenant)
}

/// Checks that the class allows the method, `GET` or `HEAD` if it is idempotent and `POST` otherwise, and that a
/// request of a deduplicated class has an idempotency key.
fn check_method(head: &Parts, idempotency: Idempotency) -> Result<(), RequestError> {
    let is_idempotent = idempotency == Idempotency::Idempotent;
    let methods: &[Method] = if is_idempotent { &[Method::GET, Method::HEAD] } else { &[Method::POST] };
    if !methods.contains(&head.method) {
        let allowed = if is_idempotent { "GET, HEAD" } else { "POST" };
        return Err(RequestError::MethodNotAllowed { allowed });
    }
    let has_key = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
    if matches!(idempotency, Idempotency::Deduplicated { .. }) && !has_key {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

fn parse_affinity_key(uri: &Uri) -> Option<AffinityKey> {
    let query = uri.query().unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix("key=")).map(|key| AffinityKey(fnv1a(key)))
}

/// Parses `X-Cost`, in microseconds. A value that is not a finite positive number is ignored.
fn cost_hint(headers: &HeaderMap) -> Option<Span> {
    let micros = header_text(headers, "x-cost")?.parse::<f64>().ok()?;
    (micros > 0.0 && micros.is_finite()).then(|| Span::from_ms(micros / 1e3))
}

/// Parses a timeout such as `480m` (milliseconds) or `900u` (microseconds) of at most [`MAX_CLIENT_TIMEOUT`].
pub fn parse_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    let micros = digits.parse::<f64>().ok()? * micros_per_unit;
    let timeout = Duration::try_from_secs_f64(micros / 1e6).ok()?;
    (!timeout.is_zero() && timeout <= MAX_CLIENT_TIMEOUT).then_some(timeout)
}

#[cfg(test)]
mod tests;
