//! Selects the request headers that are forwarded to servers.

use crate::traffic::body_buffer::detached_header;
use hyper::header::HeaderMap;

/// Hop-by-hop headers, and headers that the agent sets itself.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout",
];

/// Returns copies of all headers but [`NOT_FORWARDED`] and those that the `Connection` header names.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_forwarded =
        |name: &str| !NOT_FORWARDED.contains(&name) && !connection_headers.iter().any(|other| other == name);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(|(name, value)| (name.clone(), detached_header(value)))
        .collect()
}

#[cfg(test)]
mod tests;
