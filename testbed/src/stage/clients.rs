//! The clients: first tries when they are due, whatever has become of those before, and repeats as clients make them.

use super::World;
use crate::draw::Seed;
use crate::oracle::{Outcome, TryEnd, TryId, LOST_AFTER_US, SLACK_US};
use crate::plan::Arrival;
use crate::renderer::Micros;
use crate::scenario::Effect;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep_until, timeout_at};

/// The application uses no more than this part of an agent's descriptors.
const DESCRIPTORS_PART: usize = 3;
/// The longest answer that is read.
const ANSWER_MOST: usize = 1 << 20;
/// A repeat is not worth its while with less time left.
const LEAST_US: Micros = 10_000;
/// A body like those of the platform's small requests.
const BODY: &[u8] = &[b'x'; 212];

type Sender = SendRequest<Full<Bytes>>;

/// The connections to one agent.
struct Pool {
    idle: Mutex<Vec<Sender>>,
    places: Semaphore,
    opened: AtomicUsize,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, Vec<Sender>> {
        crate::lock(&self.idle)
    }
}

/// All clients.
pub struct Clients {
    pools: Vec<Pool>,
    /// Requests that have not ended.
    open: AtomicUsize,
}

impl Clients {
    /// None has connected yet.
    pub fn new(world: &World) -> Arc<Self> {
        let places = (world.plan.sockets / DESCRIPTORS_PART).max(1);
        let pool =
            || Pool { idle: Mutex::default(), places: Semaphore::new(places), opened: AtomicUsize::new(0) };
        Arc::new(Clients {
            pools: world.plan.agents.iter().map(|_| pool()).collect(),
            open: AtomicUsize::new(0),
        })
    }

    /// Connections that clients have opened.
    pub fn connections(&self) -> usize {
        self.pools.iter().map(|pool| pool.opened.load(Ordering::Relaxed)).sum()
    }

    /// Whether all requests have ended.
    pub fn done(&self) -> bool {
        self.open.load(Ordering::Relaxed) == 0
    }

    /// Sends every first try when it is due.
    pub async fn arrive(self: Arc<Self>, world: Arc<World>) {
        for (place, arrival) in world.plan.arrivals.iter().enumerate() {
            sleep_until(world.clock.instant(arrival.due_us.saturating_sub(500))).await;
            world.clock.did(arrival.due_us);
            self.open.fetch_add(1, Ordering::Relaxed);
            let (clients, world) = (self.clone(), world.clone());
            tokio::spawn(async move {
                clients.request(&world, place).await;
                clients.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn request(&self, world: &Arc<World>, place: usize) {
        let arrival = world.plan.arrivals[place];
        let (class, habits) = (&world.plan.classes[arrival.class], world.plan.clients);
        let mut draw = Seed(world.plan.seed).fork(0xc11e_4705).fork(place as u64);
        let tries = 1 + (habits.retries + draw.unit()) as u32;
        let honours = draw.unit() < habits.honour;
        let impatient = draw.unit() < habits.impatient;
        let (mut backoff, mut made, mut last) = (habits.backoff_us, 0, TryEnd::Unheard);
        let mut served_us = None;
        while made < tries {
            let left = (arrival.due_us + class.deadline_us).saturating_sub(world.clock.now());
            if made > 0 && left < LEAST_US {
                break;
            }
            made += 1;
            let wait = ((class.deadline_us as f64 * habits.try_share) as Micros).min(left.max(LEAST_US));
            let leaves = impatient.then(|| (wait as f64 * draw.unit()) as Micros);
            let id: TryId = draw.bits();
            world.ledger().tries(id, place);
            let tried = Try { world, clients: self, arrival, place, id, wait, leaves };
            let (end, advice) = tried.run().await;
            last = end;
            if end == TryEnd::Served {
                served_us = Some(world.clock.now().saturating_sub(arrival.due_us));
                break;
            }
            if end == TryEnd::Left {
                break;
            }
            let advised = advice.filter(|_| honours).unwrap_or(0).min(habits.advice_most_us) as f64;
            let pause = (backoff * (0.5 + draw.unit())).max(advised);
            backoff *= 2.0;
            if made < tries {
                tokio::time::sleep(Duration::from_micros(pause as u64)).await;
            }
        }
        world.ledger().settled(place, Outcome { served_us, last, tries: made });
    }
}

struct Try<'a> {
    world: &'a Arc<World>,
    clients: &'a Clients,
    arrival: Arrival,
    place: usize,
    id: TryId,
    wait: Micros,
    leaves: Option<Micros>,
}

/// What came back over a connection.
enum Back {
    Answer {
        status: StatusCode,
        body: Bytes,
        advice: Option<Micros>,
    },
    /// The head came, and not all of the body.
    Broken,
    /// Nothing came before the connection ended.
    Nothing,
}

impl Try<'_> {
    async fn run(self) -> (TryEnd, Option<Micros>) {
        let began = self.world.clock.now();
        let gives_up = began + self.wait;
        let (end, advice, problem) = self.attempt(gives_up).await;
        self.world.ledger().ended(began, self.world.clock.now(), self.id, end, problem);
        (end, advice)
    }

    async fn attempt(&self, gives_up: Micros) -> (TryEnd, Option<Micros>, Option<&'static str>) {
        let (world, pool) = (self.world, &self.clients.pools[self.arrival.agent]);
        let until = world.clock.instant(gives_up);
        let Ok(Ok(_place)) = timeout_at(until, pool.places.acquire()).await else {
            return (TryEnd::Unheard, None, None);
        };
        let mut again = false;
        loop {
            let kept = if again { None } else { Self::kept(pool) };
            let reused = kept.is_some();
            let mut sender = match kept {
                Some(sender) => sender,
                None => match timeout_at(until, self.open()).await {
                    Ok(Some(sender)) => sender,
                    _ => return (TryEnd::Unheard, None, None),
                },
            };
            let left = gives_up.saturating_sub(world.clock.now());
            let Some(request) = self.request(left) else { return (TryEnd::Unheard, None, None) };
            let leaves = self.leaves.map(|leaves| gives_up - self.wait + leaves).unwrap_or(u64::MAX >> 20);
            let back = tokio::select! {
                back = Self::exchange(&mut sender, request) => back,
                () = sleep_until(world.clock.instant(leaves)) => return (TryEnd::Left, None, None),
                () = sleep_until(world.clock.instant(gives_up + LOST_AFTER_US)) => {
                    return (TryEnd::TimedOut, None, Some("no answer half a second after its time"));
                }
            };
            let now = world.clock.now();
            return match back {
                Back::Answer { status, body, advice } => {
                    if !sender.is_closed() {
                        pool.idle().push(sender);
                    }
                    self.judge(status, &body, advice, now > gives_up + SLACK_US)
                }
                Back::Broken => (TryEnd::Failed, None, None),
                // The close crossed the request: it is sent once more, on a new connection.
                Back::Nothing if reused && !world.ledger().sent_on(self.id) => {
                    again = true;
                    continue;
                }
                Back::Nothing if reused => {
                    let why = "its connection ended without an answer after it had been sent on";
                    (TryEnd::Unheard, None, Some(why))
                }
                Back::Nothing => (TryEnd::Unheard, None, None),
            };
        }
    }

    fn kept(pool: &Pool) -> Option<Sender> {
        let mut idle = pool.idle();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn open(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.world.addresses.agent(self.arrival.agent)).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        self.clients.pools[self.arrival.agent].opened.fetch_add(1, Ordering::Relaxed);
        let (world, agent) = (self.world.clone(), self.arrival.agent);
        tokio::spawn(async move {
            let ended = connection.await;
            // Bytes that came while no answer was owed.
            if ended.is_err_and(|e| format!("{e:?}").contains("UnexpectedMessage")) {
                world.ledger().answered_twice(world.clock.now(), agent);
            }
        });
        Some(sender)
    }

    fn request(&self, left: Micros) -> Option<Request<Full<Bytes>>> {
        let class = &self.world.plan.classes[self.arrival.class];
        let safe = class.effect == Effect::Safe;
        let mut request = Request::builder()
            .method(if safe { Method::GET } else { Method::POST })
            .uri(format!("/{}/{}", class.name, self.place))
            .header("host", "service.internal")
            .header("x-request-id", format!("{:016x}", self.id))
            .header("x-priority-class", &class.name)
            .header("x-timeout", format!("{}u", left.max(1)));
        if class.effect == Effect::Keyed {
            request = request.header("idempotency-key", format!("{:016x}", self.id));
        }
        request.body(Full::new(Bytes::from_static(if safe { b"" } else { BODY }))).ok()
    }

    async fn exchange(sender: &mut Sender, request: Request<Full<Bytes>>) -> Back {
        let Ok(response) = sender.send_request(request).await else { return Back::Nothing };
        let (head, body) = response.into_parts();
        let advice = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let advice = advice.filter(|s| s.is_finite() && *s >= 0.0).map(|s| (s * 1e6) as Micros);
        match Limited::new(body, ANSWER_MOST).collect().await {
            Ok(body) => Back::Answer { status: head.status, body: body.to_bytes(), advice },
            Err(_) => Back::Broken,
        }
    }

    fn judge(
        &self,
        status: StatusCode,
        body: &[u8],
        advice: Option<Micros>,
        late: bool,
    ) -> (TryEnd, Option<Micros>, Option<&'static str>) {
        match status {
            StatusCode::OK if !self.made(body) => {
                (TryEnd::Failed, None, Some("it was served with what no renderer had made for it"))
            }
            _ if late => (TryEnd::TimedOut, None, None),
            StatusCode::OK => (TryEnd::Served, None, None),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                (TryEnd::Refused, advice, None)
            }
            _ => (TryEnd::Failed, None, None),
        }
    }

    /// Whether a renderer has made this answer for this try.
    fn made(&self, body: &[u8]) -> bool {
        let line = body.split(|b| *b == b'\n').next().unwrap_or_default();
        let Some((id, name)) = std::str::from_utf8(line).ok().and_then(|line| line.split_once(' ')) else {
            return false;
        };
        let renderer = self.world.plan.renderers.iter().position(|r| r.name == name);
        TryId::from_str_radix(id, 16) == Ok(self.id)
            && renderer.is_some_and(|renderer| self.world.ledger().made(self.id, renderer))
    }
}
