use super::*;
use hyper::header::HeaderValue;

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-timeout", "5m"), ("x-a", "b")] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let forwarded = forwarded_headers(&headers);
    assert_eq!(forwarded.len(), 1);
    assert_eq!(forwarded["x-a"], "b");
}
