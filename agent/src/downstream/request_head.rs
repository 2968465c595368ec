//! Reads and validates the head of a request.

use crate::downstream::errors::RequestError;
use balancer::{AffinityKey, ClassId, Idempotency, Span, TenantId};
use balancer_settings::{fnv1a, Names};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use std::time::Duration;

/// The longest wait that a request may have.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// What the head of a valid request says.
pub struct RequestHead {
    /// Its class, the first segment of the path.
    pub class: ClassId,
    /// Its tenant, if the settings have tenants.
    pub tenant: Option<TenantId>,
    /// The application's name for it.
    pub request_id: String,
    /// How long its client waits.
    pub wait: Duration,
    /// What it is about, for affinity.
    pub key: Option<AffinityKey>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it is a retry.
    pub is_retry: bool,
}

impl RequestHead {
    /// Validates a head against the names of the settings and the idempotency of their classes.
    pub fn parse(head: &Parts, names: &Names, classes: &[Idempotency]) -> Result<Self, RequestError> {
        let class = class_of(head, names)?;
        let request_id = header_text(&head.headers, "x-request-id").filter(|id| !id.is_empty());
        let request_id = request_id.ok_or(RequestError::MissingRequestId)?.to_owned();
        let tenant = tenant_of(&head.headers, names)?;
        let wait = header_text(&head.headers, "x-timeout").and_then(parse_wait);
        let wait = wait.ok_or(RequestError::InvalidTimeout)?;
        check_method(head, classes[class.0])?;
        Ok(RequestHead {
            class,
            tenant,
            request_id,
            wait,
            key: affinity_key(&head.uri),
            cost_hint: cost_hint(&head.headers),
            is_retry: header_text(&head.headers, "x-retried") == Some("1"),
        })
    }
}

/// The text of a header, if it has one.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn class_of(head: &Parts, names: &Names) -> Result<ClassId, RequestError> {
    let first_segment = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = names.classes.iter().position(|name| name == first_segment);
    let class = class.ok_or(RequestError::UnknownClass)?;
    if header_text(&head.headers, "x-priority-class") != Some(first_segment) {
        return Err(RequestError::ClassMismatch);
    }
    Ok(ClassId(class))
}

fn tenant_of(headers: &HeaderMap, names: &Names) -> Result<Option<TenantId>, RequestError> {
    if names.tenants.is_empty() {
        return Ok(None);
    }
    let tenant = header_text(headers, "x-tenant-id");
    let index = tenant.and_then(|tenant| names.tenants.iter().position(|name| name == tenant));
    index.map(|index| Some(TenantId(index))).ok_or(RequestError::UnknownTenant)
}

/// Idempotent classes are read, the others are written, those that are deduplicated with a key.
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

fn affinity_key(uri: &Uri) -> Option<AffinityKey> {
    let query = uri.query().unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix("key=")).map(|key| AffinityKey(fnv1a(key)))
}

/// `X-Cost` in microseconds; what is no positive number says nothing.
fn cost_hint(headers: &HeaderMap) -> Option<Span> {
    let micros = header_text(headers, "x-cost")?.parse::<f64>().ok()?;
    (micros > 0.0 && micros.is_finite()).then(|| Span::from_ms(micros / 1e3))
}

/// Reads a wait such as `480m` (milliseconds) or `900u` (microseconds), of [`MAX_WAIT`] at most.
fn parse_wait(text: &str) -> Option<Duration> {
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
    let wait = Duration::try_from_secs_f64(micros / 1e6).ok()?;
    (!wait.is_zero() && wait <= MAX_WAIT).then_some(wait)
}

#[cfg(test)]
mod tests;
