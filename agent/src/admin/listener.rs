//! The second address, for the operators' admin: one line a connection, one answer. It reads the call and words
//! the answer; what a call means is [`Admin`]'s to say.

use super::commands::Admin;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Connections that are held at a time. One more closes the oldest: a call is answered as it comes, so an old one
/// has no whole call yet.
const CALLERS_MOST: usize = 32;
/// Descriptors that are set aside for them, for the listener and for one that is just being accepted.
pub const SOCKETS: usize = CALLERS_MOST + 2;
/// The longest call; no name of a renderer is nearly as long.
const LINE_MOST: usize = 1024;
/// A call that is not whole by then is given up.
const LINE_WAIT: Duration = Duration::from_secs(6);
/// What a caller gets to read its answer and to close.
const ANSWER_WAIT: Duration = Duration::from_secs(2);
const CALLS: &str =
    "health, counters, renderers, zones, cordon ID, uncordon ID, zone leave NAME, zone return NAME";
/// Pause after a bind or an accept that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Listens there for as long as the agent runs. An address that is not to be had costs no client its service: it is
/// asked for again until it is.
pub async fn listen(admin: Rc<Admin>, address: SocketAddr) {
    let mut told = false;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(why) if !told => {
                told = true;
                tracing::warn!(target: "admin", "cannot listen on {address} yet: {why}");
            }
            Err(_) => {}
        }
        sleep(PAUSE).await;
    };
    tracing::info!(target: "admin", "answers on {}", listener.local_addr().unwrap_or(address));
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS_MOST {
            callers.pop_front().inspect(|oldest| oldest.abort());
        }
        callers.push_back(tokio::task::spawn_local(caller(admin.clone(), stream)));
    }
}

async fn caller(admin: Rc<Admin>, mut stream: TcpStream) {
    let answer = match timeout(LINE_WAIT, line(&mut stream)).await {
        Ok(Some(Ok(call))) => answer(&admin, &call),
        Ok(Some(Err(why))) => format!("error {why}\n"),
        Ok(None) => return,
        Err(_) => "error no whole line in time\n".to_owned(),
    };
    // A caller that has gone hears nothing; one that sends on is read to its end, or the close would take the
    // answer back from it.
    let _ = timeout(ANSWER_WAIT, async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = [0; 256];
        while stream.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    })
    .await;
}

/// The one line of a connection, without its end; `None` if its caller left without a word.
async fn line(stream: &mut TcpStream) -> Option<Result<String, &'static str>> {
    let mut bytes = Vec::new();
    let mut piece = [0; 256];
    loop {
        let n = stream.read(&mut piece).await.ok()?;
        if n == 0 {
            // Half of a name may be another name: what is not whole is not carried out.
            return (!bytes.is_empty()).then_some(Err("the line has no end"));
        }
        bytes.extend_from_slice(&piece[..n]);
        if let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            bytes.truncate(end);
            return Some(String::from_utf8(bytes).map_err(|_| "the line is no text"));
        }
        if bytes.len() > LINE_MOST {
            return Some(Err("the line is too long"));
        }
    }
}

/// Metrics as one line, and the line that says that there is no more.
fn figures(form: &impl Serialize) -> String {
    // These forms have text for keys and nothing that could fail to be written.
    let line = serde_json::to_string(form).unwrap_or_default();
    format!("{line}\nend\n")
}

/// The answer to a call, whole.
fn answer(admin: &Rc<Admin>, call: &str) -> String {
    let words: Vec<&str> = call.split_whitespace().collect();
    let answer = match words[..] {
        ["health"] if admin.serves() => Ok("done".to_owned()),
        ["health"] => Err("no clients are taken yet".to_owned()),
        ["counters"] => return figures(&admin.counters()),
        ["renderers"] => return figures(&admin.renderers()),
        ["zones"] => return figures(&admin.zones()),
        [call @ ("cordon" | "uncordon"), id] => match admin.cordon(id, call == "cordon") {
            Ok(true) => Ok("done".to_owned()),
            Ok(false) => Err(format!("no renderer {id:.80}")),
            Err(why) => Err(format!("it holds in this process alone, an upgrade would forget it: {why}")),
        },
        ["zone", word @ ("leave" | "return"), name] => match admin.zone(name, word == "leave") {
            Ok(true) => Ok("done".to_owned()),
            Ok(false) => Err(format!("no zone {name:.80}")),
            Err(why) => Err(format!("it holds in this process alone, an upgrade would forget it: {why}")),
        },
        ["zone", ..] => Err("this call is zone leave NAME or zone return NAME".to_owned()),
        ["cordon" | "uncordon", ..] => Err("this call takes one renderer's name".to_owned()),
        ["health" | "counters" | "renderers" | "zones", ..] => Err("this call stands alone".to_owned()),
        [] => Err(format!("an empty line; calls are {CALLS}")),
        [other, ..] => Err(format!("no call {other:.40}; calls are {CALLS}")),
    };
    match answer {
        Ok(said) => said + "\n",
        Err(why) => format!("error {why}\n"),
    }
}
