use super::*;

#[test]
fn reports_are_read_in_the_order_of_the_settings() {
    let fields = ["qps", "queue"].map(String::from);
    assert_eq!(parse_report("TEXT queue=2, novel=1, qps=40.5", &fields), Some(vec![40.5, 2.0]));
    let odd = parse_report("queue=x,,=,qps=1", &fields).expect("a report");
    assert_eq!(odd[0], 1.0);
    assert!(odd[1].is_nan());
    for text in ["", "TEXT", "TEXT queue=NaN", "novel=1", "queue"] {
        assert_eq!(parse_report(text, &fields), None, "{text}");
    }
}

/// A backend whose connects fail becomes suspect; one that the agent has no descriptor for must not.
#[tokio::test]
async fn an_attempt_without_a_place_was_not_sent() {
    // Nobody listens there, and nobody else can while it is held.
    let held = tokio::net::TcpSocket::new_v4().expect("a socket");
    held.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let dial = held.local_addr().expect("an address").to_string();
    let host = serde_json::json!({"host": "s", "dial": dial, "site": "a", "health": "up"});
    let list = serde_json::json!({"seq": 1, "whole": true, "hosts": [host]});
    let list = crate::endpoint_list::read_list(list.to_string().as_bytes(), 1).expect("a list");
    let wait = Duration::from_secs(10);
    for (places, outcome) in [(0, Outcome::NotSent), (1, Outcome::ConnectFailed)] {
        let budget = Rc::new(Budget::of(32, false));
        let upstream = Rc::new(Upstream::new(places, Metrics::new(1), budget, wait, wait, Vec::new()));
        upstream.describe(ServerId(1), &list.hosts[0]);
        let request = Request::get("/a").header("host", "s").body(Outgoing::default()).expect("a request");
        let progress = Progress::default();
        let over = tokio::time::sleep(wait);
        let attempt = upstream.attempt(ServerId(1), || Some(request), None, over, &progress);
        let ended = tokio::task::LocalSet::new().run_until(attempt).await;
        assert_eq!(ended.outcome, outcome, "with {places} places");
    }
}

/// A backend ends a resting connection, or says half a line on it, in the moment before its next use; the
/// connection's task has not run since, so only the system knows.
#[tokio::test]
async fn a_connection_that_ended_just_now_is_not_used() {
    use std::io::{Read as _, Write as _};
    let wait = Duration::from_secs(10);
    let get = || Request::get("/a").header("host", "s").body(Outgoing::default()).expect("a request");
    for end in [None, Some(&b"HTTP/1.1 40"[..])] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let dial = listener.local_addr().expect("an address").to_string();
        let host = serde_json::json!({"host": "s", "dial": dial, "site": "a", "health": "up"});
        let list = serde_json::json!({"seq": 1, "whole": true, "hosts": [host]});
        let list = crate::endpoint_list::read_list(list.to_string().as_bytes(), 1).expect("a list");
        // Answers one request on each of two connections and hands the connections out.
        let answering = std::thread::spawn(move || {
            [(); 2].map(|()| {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let mut byte = [0; 1];
                    stream.read_exact(&mut byte).expect("a request");
                    head.extend(byte);
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("sent");
                stream
            })
        });
        let budget = Rc::new(Budget::of(32, false));
        let upstream = Rc::new(Upstream::new(4, Metrics::new(1), budget, wait, wait, Vec::new()));
        upstream.describe(ServerId(1), &list.hosts[0]);
        tokio::task::LocalSet::new()
            .run_until(async {
                let attempt = || async {
                    let over = tokio::time::sleep(wait);
                    let progress = Progress::default();
                    upstream.attempt(ServerId(1), || Some(get()), None, over, &progress).await.outcome
                };
                // Two at once, so that two connections rest.
                let both = tokio::join!(attempt(), attempt());
                assert_eq!(both, (Outcome::Success, Outcome::Success));
                let mut streams = answering.join().expect("answered").into_iter();
                let mut first = streams.next().expect("a connection");
                match end {
                    Some(bytes) => first.write_all(bytes).expect("sent"),
                    None => drop(first.shutdown(std::net::Shutdown::Both)),
                }
                // From here on the runtime runs nothing before the next attempt has its connection.
                let ended = || {
                    let remotes = upstream.remotes.borrow();
                    let idle = &remotes[&ServerId(1)].idle;
                    assert_eq!(idle.len(), 2);
                    idle.iter().any(|c| !c.socket.quiet())
                };
                while !ended() {}
                // The last to rest is used first; whichever that is, the ended one must not be.
                let taken = [upstream.connection(ServerId(1)).await, upstream.connection(ServerId(1)).await];
                let used = taken.iter().flatten().filter(|c| c.wire.written.get() > 0);
                assert!(used.clone().all(|c| c.socket.quiet()), "an ended one is used again");
                assert_eq!(used.count(), 1, "the one that stands is used");
            })
            .await;
    }
}

#[test]
fn headers_of_the_connection_stay_behind() {
    let mut headers = HeaderMap::new();
    for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-timeout", "5m"), ("x-a", "b")] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let left = forwarded(&headers);
    assert_eq!(left.len(), 1);
    assert_eq!(left["x-a"], "b");
}
