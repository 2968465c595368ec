use super::*;
use crate::config::Config;
use std::io::Write as _;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A working stream on which TCP options cannot be set, and its other end: it is a Unix socket.
fn stream_without_tcp_options() -> std::io::Result<(TcpStream, tokio::net::UnixStream)> {
    let (server_end, client_end) = UnixStream::pair()?;
    server_end.set_nonblocking(true)?;
    client_end.set_nonblocking(true)?;
    let server_end = std::net::TcpStream::from(OwnedFd::from(server_end));
    Ok((TcpStream::from_std(server_end)?, tokio::net::UnixStream::from_std(client_end)?))
}

/// Loads a configuration with `endpoint_list` from a file, as the agent does.
fn config(name: &str, endpoint_list: &str) -> Config {
    let path = std::env::temp_dir().join(format!("balancer-agent-{name}-{}.json", std::process::id()));
    let settings = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":2500,"effect":"at_most_once"}]}"#;
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","known":{endpoint_list},"settings":{settings}}}"#
    );
    let mut file = std::fs::File::create(&path).expect("create the file");
    file.write_all(text.as_bytes()).expect("write the file");
    let name = path.to_str().expect("a path in UTF-8").to_owned();
    let config = Config::load(|var| (var == "PROXY_CONFIG").then(|| name.clone()));
    std::fs::remove_file(&path).expect("remove the file");
    config.expect("load the configuration")
}

#[tokio::test]
async fn a_connection_whose_tcp_options_cannot_be_set_is_served() {
    let config = config("options", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let driver = Driver::start(config, 8).expect("start the driver");
            let server = Server::new(driver, 8);
            let (server_end, mut client_end) = stream_without_tcp_options().expect("create a socket pair");
            assert!(server_end.set_nodelay(true).is_err(), "TCP options can be set on this stream");
            let slot = server.connection_slots.clone().try_acquire_owned().expect("get a connection slot");
            tokio::task::spawn_local(server.serve_until_closed(Socket::new(server_end), slot));
            client_end.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("send the request");
            let mut answer = vec![0; 12];
            client_end.read_exact(&mut answer).await.expect("read the response");
            assert_eq!(answer, b"HTTP/1.1 503");
        })
        .await;
}

/// A backend that is cut off from the network never responds. The client must still get an answer before its timeout.
/// Runs on tokio's paused clock, which stands still until the backend has the request and then advances from timer to
/// timer.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_backend_does_not_delay_the_answer_past_the_client_timeout() {
    const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("get the local address");
    let endpoint = format!(r#"{{"host":"s","dial":"{address}","site":"a","health":"up"}}"#);
    let config = config("silent", &format!(r#"{{"seq":1,"whole":true,"hosts":[{endpoint}]}}"#));
    // The paused clock does not advance while a blocking task is running.
    let (received, until_received) = std::sync::mpsc::channel::<()>();
    let clock_holder =
        tokio::task::spawn_blocking(move || until_received.recv_timeout(Duration::from_secs(30)));
    let backend = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept the agent's connection");
        let mut request = Vec::new();
        while !request.windows(4).any(|w| w == b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut request).await.expect("read the request"), 0);
        }
        received.send(()).expect("release the clock");
        stream
    });
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let driver = Driver::start(config, 8).expect("start the driver");
            tokio::task::spawn_local(driver.clone().run());
            let server = Server::new(driver, 8);
            let (server_end, mut client_end) = stream_without_tcp_options().expect("create a socket pair");
            let slot = server.connection_slots.clone().try_acquire_owned().expect("get a connection slot");
            tokio::task::spawn_local(server.serve_until_closed(Socket::new(server_end), slot));
            let request = "POST /a HTTP/1.1\r\nhost: x\r\nx-request-id: 1\r\nx-priority-class: a\r\n\
                               x-timeout: 2000m\r\ncontent-length: 0\r\n\r\n";
            let started = Instant::now();
            client_end.write_all(request.as_bytes()).await.expect("send the request");
            let mut answer = vec![0; 12];
            client_end.read_exact(&mut answer).await.expect("read the response");
            assert!(started.elapsed() < CLIENT_TIMEOUT, "{:?}", started.elapsed());
            assert!(
                started.elapsed() > CLIENT_TIMEOUT - CLIENT_TIMEOUT / 10,
                "answered already after {:?}",
                started.elapsed()
            );
            assert_eq!(answer, b"HTTP/1.1 504");
        })
        .await;
    assert!(
        clock_holder.await.expect("the task does not panic").is_ok(),
        "the backend did not get the request"
    );
    backend.await.expect("the task does not panic");
}

/// A request that arrives at the moment when the idle timeout expires must be answered; closing the connection would
/// lose it. On the paused clock the connection's task finds both when it runs next.
#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_as_the_idle_timeout_expires_is_answered() {
    /// Just short of the idle timeout.
    const STEP: Duration = Duration::from_millis(2190);
    const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let config = config("idle", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let server = Server::new(Driver::start(config, 8).expect("start the driver"), 64);
            for round in 0..32 {
                let (server_end, mut client_end) =
                    stream_without_tcp_options().expect("create a socket pair");
                let slot =
                    server.connection_slots.clone().try_acquire_owned().expect("get a connection slot");
                tokio::task::spawn_local(server.clone().serve_until_closed(Socket::new(server_end), slot));
                let mut answer = vec![0; 256];
                client_end.write_all(READY_REQUEST).await.expect("send the request");
                assert_ne!(client_end.read(&mut answer).await.expect("read the response"), 0);
                tokio::time::advance(STEP).await;
                client_end.try_write(READY_REQUEST).expect("send the request");
                tokio::time::advance(STEP).await;
                assert_ne!(
                    client_end.read(&mut answer).await.expect("read the response"),
                    0,
                    "round {round}"
                );
            }
        })
        .await;
}

/// A head whose last bytes arrive at the moment when its timeout expires must be answered, on a new connection and on
/// one that has been used. On the paused clock the connection's task finds both when it runs next.
#[tokio::test(start_paused = true)]
async fn a_head_completed_as_its_timeout_expires_is_answered() {
    /// Just short of the timeout of a head.
    const STEP: Duration = Duration::from_millis(2790);
    const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let (first, rest) = READY_REQUEST.split_at(READY_REQUEST.len() / 2);
    let config = config("head", "null");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let server = Server::new(Driver::start(config, 8).expect("start the driver"), 64);
            for round in 0..32 {
                let (server_end, mut client_end) =
                    stream_without_tcp_options().expect("create a socket pair");
                let slot =
                    server.connection_slots.clone().try_acquire_owned().expect("get a connection slot");
                tokio::task::spawn_local(server.clone().serve_until_closed(Socket::new(server_end), slot));
                let mut answer = vec![0; 256];
                for used in [false, true] {
                    client_end.write_all(first).await.expect("send the request");
                    // The paused clock advances by itself only when all tasks wait, so the bytes have been read then.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    tokio::time::advance(STEP).await;
                    client_end.try_write(rest).expect("send the request");
                    tokio::time::advance(STEP).await;
                    let read = client_end.read(&mut answer).await.expect("read the response");
                    assert_ne!(read, 0, "round {round}, used before: {used}");
                }
            }
        })
        .await;
}
