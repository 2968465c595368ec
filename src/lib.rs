//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. The host passes it every [`Event`] with the current [`Time`] and carries
//! out the [`Action`]s that it returns. The balancer never reads a clock, opens a socket or starts a thread.
//! For each request it compares the least loaded server that it remembers with servers drawn uniformly at random; the
//! load of a server is the number of this balancer's own requests in flight there.
//!
//! ```
//! use balancer::*;
//!
//! let class = Class { latency_objective: Span::from_ms(100.0), deadline: Span::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//!
//! // The host passes in the endpoint list ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(servers)), &mut actions);
//!
//! // ... and then a request. The balancer returns the server to send it to.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod abandoned;
mod action;
mod admission;
mod balancer;
mod concurrency;
mod connections;
mod decaying_sum;
mod due_times;
mod endpoint;
mod endpoints;
mod event;
mod fleet;
mod ids;
mod latency;
mod load_report;
mod moving_average;
mod outliers;
mod pending;
mod retries;
mod running_median;
mod selection;
mod server;
mod settings;
mod slot_sets;
mod slow_start;
mod snapshot;
mod takeover;
#[cfg(test)]
mod tests;
mod time;
mod view;
mod windowed_sum;
mod zones;

pub use action::*;
pub use balancer::Balancer;
pub use endpoint::*;
pub use endpoints::CallTimes;
pub use event::*;
pub use ids::*;
pub use settings::*;
pub use snapshot::{ServerSnapshot, Snapshot};
pub use takeover::{confirmed_ago, HandedOverList, Takeover};
pub use time::*;
pub use view::*;
