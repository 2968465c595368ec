//! The HTTP client for all servers: sends attempts and health checks over pooled connections.

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
    /// Creates a client that knows no servers yet. It closes idle connections before `keepalive`, after which
    /// servers close them, limits the memory of connections and response bodies by `budget`, and reads
    /// `load_report_fields` from load reports.
    pub fn new(
        metrics: Rc<Metrics>,
        budget: Rc<MemoryBudget>,
        connect_timeout: Duration,
        keepalive: Duration,
        load_report_fields: Vec<String>,
    ) -> Self {
        let buffer_bytes = budget.stream_buffer_bytes();
        let max_connections = budget.max_server_connections();
        let pool = ConnectionPool::new(max_connections, connect_timeout, keepalive, buffer_bytes);
        let pool = Rc::new(pool);
        let exchanger = Exchanger::new(pool.clone(), budget, load_report_fields);
        UpstreamClient { pool, exchanger, metrics }
    }

    /// The number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Adds or updates a server from its entry in the endpoint list.
    pub fn update_endpoint(&self, server: ServerId, host: &ServerEntry) {
        self.pool.update_endpoint(server, host);
    }

    /// Removes a server; exchanges in flight to it continue.
    pub fn remove_endpoint(&self, server: ServerId) {
        self.pool.remove_endpoint(server);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }

    /// Closes connections that have been idle for too long.
    pub fn evict_idle(&self) {
        self.pool.evict_idle();
    }

    /// Runs an attempt until it ends; see [`AttemptContext::run`].
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

    /// Runs a health check of a server and reads the load report, if the response has one.
    pub async fn check_health(&self, server: ServerId) -> ExchangeResult {
        check_health(&self.pool, &self.exchanger, server).await
    }
}

#[cfg(test)]
mod tests;
