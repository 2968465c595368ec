//! The client of all servers: attempts and health checks over pooled connections.

use crate::endpoint_list::ServerEntry;
use crate::metrics::Metrics;
use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::memory_budget::MemoryBudget;
use crate::traffic::request_body::RequestBodyStream;
use crate::upstream::attempt::{AttemptContext, AttemptProgress};
use crate::upstream::exchange::{ExchangeResult, Exchanger};
use crate::upstream::health_check::check_health;
use crate::upstream::pool::ConnectionPool;
use balancer::ServerId;
use hyper::Request;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Sends requests to the servers of the endpoint list.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    exchanger: Exchanger,
    metrics: Rc<Metrics>,
}

impl UpstreamClient {
    /// Knows no server yet. It has at most `max_connections`, closes idle ones before `keepalive`, when servers would, keeps
    /// response bodies within `budget` and reads `load_report_fields` of load reports.
    pub fn new(
        max_connections: usize,
        metrics: Rc<Metrics>,
        budget: Rc<MemoryBudget>,
        connect_timeout: Duration,
        keepalive: Duration,
        load_report_fields: Vec<String>,
    ) -> Self {
        let pool = Rc::new(ConnectionPool::new(max_connections, connect_timeout, keepalive));
        let exchanger = Exchanger::new(pool.clone(), budget, load_report_fields);
        UpstreamClient { pool, exchanger, metrics }
    }

    /// The connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Applies an entry of the endpoint list.
    pub fn update_endpoint(&self, server: ServerId, host: &ServerEntry) {
        self.pool.update_endpoint(server, host);
    }

    /// Forgets a server; what is in flight to it goes on.
    pub fn remove_endpoint(&self, server: ServerId) {
        self.pool.remove_endpoint(server);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }

    /// Closes the connections that have been idle for too long.
    pub fn evict_idle(&self) {
        self.pool.evict_idle();
    }

    /// Sends an attempt and waits for its end, as [`AttemptContext::run`].
    pub async fn send_attempt(
        &self,
        server: ServerId,
        build_request: impl FnOnce() -> Option<Request<AttemptBody>>,
        body: Option<&Rc<RequestBodyStream>>,
        deadline: impl Future<Output = ()>,
        progress: &AttemptProgress,
    ) -> ExchangeResult {
        let context = AttemptContext { pool: &self.pool, exchanger: &self.exchanger, metrics: &self.metrics };
        context.run(server, build_request, body, deadline, progress).await
    }

    /// Checks a server's health, and reads its load report where it has one.
    pub async fn check_health(&self, server: ServerId) -> ExchangeResult {
        check_health(&self.pool, &self.exchanger, server).await
    }
}

#[cfg(test)]
mod tests;
