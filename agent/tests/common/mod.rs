//! The real program, and the stand-ins that its tests script.
#![allow(dead_code, missing_docs)]

pub use testbed::scripted::*;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;

/// The real program.
pub struct Agent {
    pub address: SocketAddr,
    /// Its second address, if it was given one.
    pub admin_address: Option<SocketAddr>,
    pub child: Child,
    log: mpsc::UnboundedReceiver<String>,
    file: PathBuf,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn config(directory: SocketAddr, hosts: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": directory.to_string(), "seed": "0f",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"seq": 1, "whole": true, "hosts": hosts}, "settings": settings()})
}

pub fn write_config(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name =
        format!("balancer-agent-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

pub fn command(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-agent"));
    command.env_clear().env("PROXY_CONFIG", file).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

/// A listener to which a connect stays under way until the test takes it: its backlog is full.
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // Two fill the backlog of one; a third connect stays under way until they are taken.
        let mut fillers = Vec::new();
        for _ in 0..2 {
            fillers.push(TcpStream::connect(address).await.expect("a place in the backlog"));
        }
        FullBacklog { address, listener, fillers }
    }

    /// Makes room; the connect that waits comes up, as the kernel tries again within some seconds.
    pub async fn accept_pending(&self) -> TcpStream {
        for _ in &self.fillers {
            soon("a filler", self.listener.accept()).await.expect("a filler");
        }
        soon("the agent's connection", self.listener.accept()).await.expect("a connection").0
    }
}

impl Agent {
    pub async fn start(directory: SocketAddr, hosts: &[Value]) -> Self {
        Self::start_with(config(directory, hosts), |_| {}).await
    }

    pub async fn start_with(config: Value, adapt: impl FnOnce(&mut Command)) -> Self {
        let file = write_config(&config.to_string());
        let admin_enabled = config["operator"].is_string();
        let mut command = command(&file);
        adapt(&mut command);
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        // The agent binds what is free and says so: a port that a test had found free would be another's by then.
        let (mut address, mut admin_address) = (None, None);
        let (tell, told) = mpsc::unbounded_channel();
        while address.is_none() || (admin_enabled && admin_address.is_none()) {
            let line = soon("the agent's start", log.next_line()).await.expect("a log").expect("a line");
            let bound = |what: &str| line.split_once(what).map(|(_, at)| at.parse().expect("an address"));
            admin_address = admin_address.or(bound("answers on "));
            address = address.or(bound("listening on "));
            let _ = tell.send(line);
        }
        let address = address.expect("bound above");
        // Someone must read on, or a full pipe would stop the agent.
        tokio::spawn(async move {
            while let Ok(Some(line)) = log.next_line().await {
                let _ = tell.send(line);
            }
        });
        Agent { address, admin_address, child, log: told, file }
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("a connection") }
    }

    pub async fn get(&self, path: &str) -> Message {
        self.client().await.ask(&request("GET", path, "5000m", "")).await
    }

    /// A connection to the second address.
    pub async fn connect_admin(&self) -> TcpStream {
        TcpStream::connect(self.admin_address.expect("a second address")).await.expect("a connection")
    }

    /// What the agent says to this call at its second address.
    pub async fn admin_call(&self, call: &str) -> String {
        let mut stream = self.connect_admin().await;
        stream.write_all(format!("{call}\n").as_bytes()).await.expect("the agent reads");
        let mut answer = String::new();
        soon("an answer", stream.read_to_string(&mut answer)).await.expect("text");
        answer
    }

    pub async fn counters(&self) -> Value {
        self.admin_json("counters").await
    }

    pub async fn admin_json(&self, call: &str) -> Value {
        let answer = self.admin_call(call).await;
        let (figures, end) = answer.split_once('\n').expect("lines");
        assert_eq!(end, "end\n");
        serde_json::from_str(figures).expect("figures")
    }

    pub async fn wait_until_ready(&self) {
        soon("readiness", async {
            while self.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status() != 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// The next line of the log with this in it.
    pub async fn wait_for_log(&mut self, what: &str) -> String {
        soon(what, async {
            loop {
                let line = self.log.recv().await.expect("the agent runs");
                if line.contains(what) {
                    return line;
                }
            }
        })
        .await
    }

    pub async fn send_sighup(&self) {
        self.signal("-HUP").await;
    }

    pub async fn send_sigterm(&self) {
        self.signal("-TERM").await;
    }

    /// Replaces the configuration by this text and says so.
    pub async fn reconfigure(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
        self.send_sighup().await;
    }

    pub async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        soon("the agent's end", self.child.wait()).await.expect("a status")
    }
}
