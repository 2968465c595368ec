//! The links between agents and renderers: one for each pair, with two ways of its own.
//!
//! Only one request at a time travels on a connection, so a link acts on whole messages: it holds each for as long as
//! its way takes, loses some (sent again after a time-out, as TCP does), and holds all while it is cut.

use crate::draw::Seed;
use crate::plan::Plan;
use crate::renderer::Micros;
use std::time::Duration;
use tokio::sync::watch;

/// What TCP waits before it sends a lost segment again: Linux's least.
const RESEND: Duration = Duration::from_millis(200);

/// The state of one pair's link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct State {
    /// Requests do not arrive.
    pub cut_to: bool,
    /// Answers do not.
    pub cut_back: bool,
    /// The share of requests that is lost and sent again.
    pub loss_to: f64,
    /// The share of answers.
    pub loss_back: f64,
    /// What requests take longer.
    pub more_to_us: f64,
    /// What answers take longer.
    pub more_back_us: f64,
    /// The share of datagrams that come twice.
    pub doubled: f64,
}

impl State {
    /// Nothing is wrong.
    pub const GOOD: State = State {
        cut_to: false,
        cut_back: false,
        loss_to: 0.0,
        loss_back: 0.0,
        more_to_us: 0.0,
        more_back_us: 0.0,
        doubled: 0.0,
    };

    /// No connection comes up: it takes both ways.
    pub fn closed(&self) -> bool {
        self.cut_to || self.cut_back
    }
}

/// One way of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Toward {
    /// From the agent.
    Renderer,
    /// From the renderer.
    Agent,
}

/// A pair's link.
pub struct Link {
    way_us: f64,
    jitter: f64,
    state: watch::Sender<State>,
}

/// All links from some parties to others.
pub struct Links {
    links: Vec<Link>,
    receivers: usize,
}

impl Links {
    /// As the plan lays them from its agents to its renderers.
    pub fn new(plan: &Plan) -> Self {
        let agents: Vec<usize> = plan.agents.iter().map(|agent| agent.zone).collect();
        let renderers: Vec<usize> = plan.renderers.iter().map(|renderer| renderer.zone).collect();
        Self::between(plan, &agents, &renderers)
    }

    /// Between parties in these zones.
    pub fn between(plan: &Plan, senders: &[usize], receivers: &[usize]) -> Self {
        let pairs = senders.iter().flat_map(|from| receivers.iter().map(move |to| (*from, *to)));
        let links = pairs.map(|(from, to)| Link::new(plan.ways_us[from][to], plan.jitter)).collect();
        Links { links, receivers: receivers.len() }
    }

    /// Between so many parties, each as far from each.
    pub fn alike(parties: usize, way_us: f64) -> Self {
        let links = (0..parties * parties).map(|_| Link::new(way_us, 0.0)).collect();
        Links { links, receivers: parties }
    }

    /// A pair's link.
    pub fn of(&self, from: usize, to: usize) -> &Link {
        &self.links[from * self.receivers + to]
    }
}

impl Link {
    fn new(way_us: f64, jitter: f64) -> Self {
        Link { way_us, jitter, state: watch::Sender::new(State::GOOD) }
    }

    /// How the link is now.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// It is like this from now on.
    pub fn set(&self, state: State) {
        self.state.send_if_modified(|now| std::mem::replace(now, state) != state);
    }

    /// To hear of changes.
    pub fn changes(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// How long a message takes that is neither lost nor cut off.
    pub fn once(&self, toward: Toward, draw: &mut Seed) -> Duration {
        let state = self.state();
        let more = match toward {
            Toward::Renderer => state.more_to_us,
            Toward::Agent => state.more_back_us,
        };
        let way = self.way_us * (1.0 + self.jitter * (draw.unit() - 0.5)) + more;
        Duration::from_micros(way as Micros)
    }

    /// How long a message takes that is sent again where it is lost, while nothing is cut.
    pub fn takes(&self, toward: Toward, draw: &mut Seed) -> Duration {
        let state = self.state();
        let loss = match toward {
            Toward::Renderer => state.loss_to,
            Toward::Agent => state.loss_back,
        };
        let mut takes = self.once(toward, draw);
        let mut again = RESEND;
        // TCP doubles its wait each time; six losses in a row are a cut.
        for _ in 0..6 {
            if draw.unit() >= loss {
                break;
            }
            takes += again;
            again *= 2;
        }
        takes
    }

    /// Carries a message: returns when it has arrived.
    pub async fn carry(&self, toward: Toward, draw: &mut Seed) {
        let takes = self.takes(toward, draw);
        crate::clock::sleep(takes).await;
        let cut = |state: &State| match toward {
            Toward::Renderer => state.cut_to,
            Toward::Agent => state.cut_back,
        };
        if cut(&self.state()) {
            let mut changes = self.changes();
            // The links live as long as the play.
            let _ = changes.wait_for(|state| !cut(state)).await;
        }
    }
}

#[cfg(test)]
mod tests;
