//! The second address, for the operators' admin: one line a connection, one answer. It reads the call and words
//! the answer; what a call means is [`Admin`]'s to say.

use super::commands::Admin;
use serde::Serialize;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Connections that are held at a time. One more has the oldest end that has its answer or no whole call yet; where all
/// are being answered it waits for the first that is done.
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
/// What is read away at a time after the answer.
const DISCARDED_PIECE: usize = 4 << 10;

/// How far a caller has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its call is not whole.
    Reading,
    /// Its answer is being written, and is never cut short for another caller.
    Answering,
    /// Its answer is written, and it has still to end its own side.
    Closing,
}

/// A caller as the listener sees it.
struct Held {
    stage: Rc<Cell<Stage>>,
    /// Says that its place is needed.
    leave: watch::Sender<bool>,
}

/// The same caller as its own task sees it.
struct Caller {
    stage: Rc<Cell<Stage>>,
    leave: watch::Receiver<bool>,
    turn: Arc<Semaphore>,
    _place: OwnedSemaphorePermit,
}

/// The callers that are held, the oldest first.
struct Callers {
    places: Arc<Semaphore>,
    /// Taken by the one call that is carried out now: figures on many renderers take their time, and the requests of
    /// the application have theirs between any two calls.
    turn: Arc<Semaphore>,
    held: VecDeque<Held>,
}

impl Callers {
    fn new() -> Self {
        let (places, turn) = (Arc::new(Semaphore::new(CALLERS_MOST)), Arc::new(Semaphore::new(1)));
        Callers { places, turn, held: VecDeque::new() }
    }

    /// A place for one more, as soon as there is one.
    async fn admit(&mut self) -> Option<Caller> {
        self.held.retain(|held| !held.leave.is_closed());
        if self.places.available_permits() == 0 {
            self.tell_oldest_to_leave();
        }
        let place = self.places.clone().acquire_owned().await.ok()?;
        let stage = Rc::new(Cell::new(Stage::Reading));
        let (leave, told) = watch::channel(false);
        self.held.push_back(Held { stage: stage.clone(), leave });
        Some(Caller { stage, leave: told, turn: self.turn.clone(), _place: place })
    }

    fn tell_oldest_to_leave(&mut self) {
        let oldest = |stage| self.held.iter().position(|held| held.stage.get() == stage);
        let oldest = oldest(Stage::Closing).or_else(|| oldest(Stage::Reading));
        if let Some(held) = oldest.and_then(|oldest| self.held.remove(oldest)) {
            held.leave.send_replace(true);
        }
    }
}

impl Caller {
    /// Ends when its place is needed.
    async fn told_to_leave(&mut self) {
        // The listener lasts as long as the process, and tells each caller before it forgets it.
        let _ = self.leave.wait_for(|leave| *leave).await;
    }

    /// Carries a whole call out when it is its turn; nobody's place is needed so much that it would be cut off here.
    async fn answer(&self, admin: &Rc<Admin>, call: &str) -> String {
        self.stage.set(Stage::Answering);
        let turn = self.turn.acquire().await;
        let mut answer = pin!(answer(admin, call));
        // The first step is what takes processor time; a call that goes on waits for the disk, and others have their turn.
        let first_step = poll_fn(|context| Poll::Ready(answer.as_mut().poll(context))).await;
        yield_now().await;
        drop(turn);
        match first_step {
            Poll::Ready(answer) => answer,
            Poll::Pending => answer.await,
        }
    }
}

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
    let mut callers = Callers::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let Some(caller) = callers.admit().await else { return };
        tokio::task::spawn_local(converse(admin.clone(), stream, caller));
    }
}

/// Reads one call and answers it.
async fn converse(admin: Rc<Admin>, mut stream: TcpStream, mut caller: Caller) {
    let crowded_out = async {
        caller.told_to_leave().await;
        // The runtime may not have heard yet of what has come: a call that is whole by now is answered.
        yield_now().await;
    };
    let answer = tokio::select! {
        biased;
        call = timeout(LINE_WAIT, line(&mut stream)) => match call {
            Ok(Some(Ok(call))) => caller.answer(&admin, &call).await,
            Ok(Some(Err(why))) => format!("error {why}\n"),
            Ok(None) => return,
            Err(_) => "error no whole line in time\n".to_owned(),
        },
        () = crowded_out => "error too many callers\n".to_owned(),
    };
    // A caller that has gone hears nothing; one that sends on is read to its end, or the close would take the
    // answer back from it.
    let _ = timeout(ANSWER_WAIT, async {
        caller.stage.set(Stage::Answering);
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        caller.stage.set(Stage::Closing);
        tokio::select! {
            biased;
            ended = discard(&mut stream) => ended,
            () = caller.told_to_leave() => Ok(()),
        }
    })
    .await;
}

/// Reads away what a caller sends after its call, in turn with everything else that the process does.
async fn discard(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut rest = [0; DISCARDED_PIECE];
    while stream.read(&mut rest).await? > 0 {
        yield_now().await;
    }
    Ok(())
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
async fn answer(admin: &Rc<Admin>, call: &str) -> String {
    let words: Vec<&str> = call.split_whitespace().collect();
    let answer = match words[..] {
        ["health"] if admin.serves() => Ok("done".to_owned()),
        ["health"] => Err("no clients are taken yet".to_owned()),
        ["counters"] => return figures(&admin.counters()),
        ["renderers"] => return figures(&admin.renderers()),
        ["zones"] => return figures(&admin.zones()),
        [call @ ("cordon" | "uncordon"), id] => match admin.cordon(id, call == "cordon").await {
            Ok(true) => Ok("done".to_owned()),
            Ok(false) => Err(format!("no renderer {id:.80}")),
            Err(why) => Err(format!("it holds in this process alone, an upgrade would forget it: {why}")),
        },
        ["zone", word @ ("leave" | "return"), name] => match admin.zone(name, word == "leave").await {
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
