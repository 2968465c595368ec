//! Which headers of a request are forwarded.

use hyper::header::HeaderMap;

/// Headers that concern one connection only, or that the agent writes itself.
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

/// The headers that are forwarded: all but [`NOT_FORWARDED`] and those that `Connection` names.
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
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

#[cfg(test)]
mod tests;
