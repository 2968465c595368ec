//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. It is notified of what happens ([`Event`]) and when ([`Time`]), and
//! responds with what to do ([`Action`]); it never reads a clock, opens a socket or starts a thread. Per request
//! it compares the lightest server it remembers with fresh uniform draws, by its own requests in flight.
//!
//! ```
//! use balancer::*;
//!
//! let class = Class { latency_objective: Span::from_ms(100.0), deadline: Span::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The host passes on the endpoint list ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(servers)), &mut actions);
//!
//! // ... and a request: the balancer decides where to send it.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
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
#[cfg(test)]
mod tests;
mod time;
mod view;
mod windowed_sum;
mod zones;

pub use action::*;
pub use balancer::Balancer;
pub use endpoint::*;
pub use event::*;
pub use ids::*;
pub use settings::*;
pub use snapshot::{ServerSnapshot, Snapshot};
pub use time::*;
pub use view::*;
