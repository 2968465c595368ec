//! A renderer: reads requests, one at a time on a connection, and lets the case answer them. Probes are answered here.

use crate::http::{read_message, response, Message};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Answers a request; whether the connection stays open.
pub type Handler = Arc<dyn Fn(&str, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// The input of a connection. While the renderer hangs it takes nothing, as a process that stands still.
struct Input {
    stream: TcpStream,
    hangs: Arc<AtomicBool>,
}

impl Read for Input {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        wait_while(&self.hangs);
        self.stream.read(buffer)
    }
}

/// Waits until a renderer hangs no more.
fn wait_while(hangs: &AtomicBool) {
    while hangs.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub struct Renderer {
    pub name: String,
    pub zone: &'static str,
    pub cell: u32,
    pub address: SocketAddr,
    /// While it is set the renderer reads nothing and answers nothing.
    pub hangs: Arc<AtomicBool>,
}

impl Renderer {
    /// Starts a renderer on a free port of a loopback address of its own.
    pub fn start(index: usize, zone: &'static str, cell: u32, handler: Handler) -> Self {
        let listener = TcpListener::bind(format!("127.0.5.{}:0", index + 1)).expect("renderer");
        let address = listener.local_addr().expect("renderer");
        let name = format!("r{}", index + 1);
        let in_hand = Arc::new(AtomicUsize::new(0));
        let own_name = name.clone();
        let hangs = Arc::new(AtomicBool::new(false));
        let own_hangs = hangs.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, handler, in_hand) = (own_name.clone(), handler.clone(), in_hand.clone());
                let hangs = own_hangs.clone();
                std::thread::spawn(move || serve(&name, stream, &handler, &in_hand, &hangs));
            }
        });
        Renderer { name, zone, cell, address, hangs }
    }

    /// Its entry in discovery's list.
    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"mid-2c","block":{},"health":"{health}","share":1.0,"born_ms":0}}"#,
            self.name, self.address, self.zone, self.cell
        )
    }
}

fn serve(name: &str, stream: TcpStream, handler: &Handler, in_hand: &AtomicUsize, hangs: &Arc<AtomicBool>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(Input { stream, hangs: hangs.clone() });
    while let Ok(Some(request)) = read_message(&mut reader) {
        wait_while(hangs);
        let path = request.word(1);
        if path == "/health" || path == "/status/load" {
            let body = format!("TEXT inflight={}, queue=0", in_hand.load(Ordering::SeqCst));
            if writer.write_all(&response("200 OK", "", &body)).is_err() {
                return;
            }
            continue;
        }
        in_hand.fetch_add(1, Ordering::SeqCst);
        let stays_open = handler(name, &request, &mut writer);
        in_hand.fetch_sub(1, Ordering::SeqCst);
        if !stays_open {
            return;
        }
    }
}
