//! Load reports: the numbers of requests that servers report.

use crate::latency::RESPONSE_GAIN;
use crate::{Report, ReportField, Settings, Time};

/// The time constant with which the confidence in a report decays, in milliseconds.
const REPORT_TIME_CONSTANT_MS: f64 = 2000.0;
/// Reported numbers of requests are limited to this value.
const MAX_REPORTED_REQUESTS: f64 = 1e6;

/// The load reports of all servers.
pub(crate) struct LoadReports {
    /// The index of the requests in flight in a report or, if they are not reported, of the queue length.
    requests_field: Option<usize>,
    /// The moving average of the reported requests over all servers.
    mean: f64,
}

impl LoadReports {
    /// No reports yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        let index_of = |field| settings.report_fields.iter().position(|f| *f == field);
        let requests_field = index_of(ReportField::InFlight).or_else(|| index_of(ReportField::Queue));
        LoadReports { requests_field, mean: 0.0 }
    }

    /// Whether reports contain the number of requests at a server.
    pub(crate) fn have_request_counts(&self) -> bool {
        self.requests_field.is_some()
    }

    /// The mean of the requests in recent reports of all servers.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Records a server's report; one that has no finite number of requests is ignored.
    pub(crate) fn record(&mut self, now: Time, server: &mut ReportedLoad, report: &Report) {
        let value = self.requests_field.and_then(|index| report.get(index));
        if let Some(value) = value.filter(|value| value.is_finite()) {
            let requests = value.clamp(0.0, MAX_REPORTED_REQUESTS);
            *server = ReportedLoad { requests, reported_at: Some(now), sent_since: 0 };
            self.mean += RESPONSE_GAIN * (requests - self.mean);
        }
    }
}

/// The load of a server according to its last report.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoad {
    /// The requests in the last report; 0 before the first one.
    requests: f64,
    /// When the last report arrived.
    reported_at: Option<Time>,
    /// This balancer's requests sent to the server since the report.
    sent_since: u32,
}

impl ReportedLoad {
    /// Records that a request is sent to the server.
    pub(crate) fn record_send(&mut self) {
        self.sent_since += 1;
    }

    /// The requests in the last report plus this balancer's own requests since.
    pub(crate) fn requests(&self) -> f64 {
        self.requests + f64::from(self.sent_since)
    }

    /// Whether the last report arrived at `moment` or later.
    pub(crate) fn has_report_since(&self, moment: Time) -> bool {
        self.reported_at.is_some_and(|at| at >= moment)
    }

    /// An estimate of the requests at the server now. As the report ages, the `mean` of all servers replaces it.
    pub(crate) fn estimated_requests(&self, now: Time, mean: f64) -> f64 {
        let age_ms = |at: Time| now.since(at).as_ms();
        let confidence = self.reported_at.map_or(0.0, |at| (-age_ms(at) / REPORT_TIME_CONSTANT_MS).exp());
        confidence * self.requests() + (1.0 - confidence) * mean
    }
}

#[cfg(test)]
mod tests;
