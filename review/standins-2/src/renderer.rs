//! A renderer: reads requests, and answers them as the driver says.

use crate::case::{note, now_ms};
use crate::http::{Message, Reader};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The writing side of a connection, which a late answer may use too.
#[derive(Clone)]
pub struct Answers(Arc<Mutex<TcpStream>>);

impl Answers {
    /// Writes bytes; a connection that is gone is no fault of the renderer.
    pub fn write(&self, bytes: &[u8]) {
        let _ = self.0.lock().unwrap().write_all(bytes);
    }

    /// Ends the connection.
    pub fn close(&self) {
        let _ = self.0.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// An answer with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A request that has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: f64,
    pub renderer: String,
    pub id: String,
    pub told_timeout_ms: Option<f64>,
}

/// What all renderers of a run have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Renderer {
    pub name: String,
    pub address: SocketAddr,
}

impl Renderer {
    /// Starts a renderer. Health checks are answered here; `serve` gets each request of a client when its last byte has
    /// come, and answers it.
    pub fn start(name: &str, ip: &str, serve: impl Fn(&Message, &Answers) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("no free port");
        let address = listener.local_addr().unwrap();
        let serve = Arc::new(serve);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serve = serve.clone();
                std::thread::spawn(move || connection(stream, &*serve));
            }
        });
        Renderer { name: name.to_owned(), address }
    }
}

fn connection(stream: TcpStream, serve: &(dyn Fn(&Message, &Answers) + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let answers = Answers(Arc::new(Mutex::new(writer)));
    let mut stream = stream;
    let mut reader = Reader::default();
    while let Ok(message) = reader.read(&mut stream) {
        match message.target() {
            "/health" | "/status/load" => answers.write(&answer("200 OK", "", "TEXT inflight=0, queue=0")),
            _ if message.header("x-request-id").is_none() => answers.write(&answer("404 Not Found", "", "")),
            _ => serve(&message, &answers),
        }
    }
}

/// Records that a renderer runs a request.
pub fn record_run(runs: &Runs, renderer: &str, message: &Message) -> String {
    let id = message.header("x-request-id").unwrap_or_default().to_owned();
    let told_timeout_ms = message.timeout_ms();
    note(&format!(
        "{renderer} runs {id} {} told {:.0} ms",
        message.target(),
        told_timeout_ms.unwrap_or(f64::NAN)
    ));
    runs.lock().unwrap().push(Run {
        at_ms: now_ms(),
        renderer: renderer.to_owned(),
        id: id.clone(),
        told_timeout_ms,
    });
    id
}

/// Works for some milliseconds.
pub fn work(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64(ms / 1e3));
}
