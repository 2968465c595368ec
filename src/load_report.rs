//! Load reports: what servers say of the requests that they have.

use crate::latency::RESPONSE_GAIN;
use crate::{Report, ReportField, Settings, Time};

/// A report loses its meaning over about this many milliseconds.
const REPORT_LIFETIME_MS: f64 = 2000.0;
/// The most requests that a report is believed to say.
const MAX_REPORTED: f64 = 1e6;

/// What the load reports of all servers say.
pub(crate) struct LoadReports {
    /// The place in a report of the requests in flight or, without those, of the queue.
    requests_field: Option<usize>,
    mean: f64,
}

impl LoadReports {
    /// No reports yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        let place = |field| settings.report_fields.iter().position(|f| *f == field);
        let requests_field = place(ReportField::InFlight).or_else(|| place(ReportField::Queue));
        LoadReports { requests_field, mean: 0.0 }
    }

    /// Whether reports say how many requests a server has.
    pub(crate) fn have_request_counts(&self) -> bool {
        self.requests_field.is_some()
    }

    /// The mean of the recent reports.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Takes in a report of a server; one without a plausible number is ignored.
    pub(crate) fn record(&mut self, now: Time, server: &mut ReportedLoad, report: &Report) {
        let value = self.requests_field.and_then(|place| report.get(place));
        if let Some(value) = value.filter(|value| value.is_finite()) {
            let requests = value.clamp(0.0, MAX_REPORTED);
            *server = ReportedLoad { requests, reported_at: Some(now), sent_since: 0 };
            self.mean += RESPONSE_GAIN * (requests - self.mean);
        }
    }
}

/// The load of one server by its last report.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoad {
    requests: f64,
    reported_at: Option<Time>,
    /// Own requests sent since.
    sent_since: u32,
}

impl ReportedLoad {
    /// Takes in that the server is sent a request.
    pub(crate) fn record_send(&mut self) {
        self.sent_since += 1;
    }

    /// The requests by the last report, and own ones since.
    pub(crate) fn requests(&self) -> f64 {
        self.requests + f64::from(self.sent_since)
    }

    /// Whether there has been a report since then.
    pub(crate) fn has_report_since(&self, moment: Time) -> bool {
        self.reported_at.is_some_and(|at| at >= moment)
    }

    /// The requests that the server has now: by its report as far as that is recent, else as many as the others.
    pub(crate) fn estimated_requests(&self, now: Time, mean: f64) -> f64 {
        let age_ms = |at: Time| now.since(at).as_ms();
        let confidence = self.reported_at.map_or(0.0, |at| (-age_ms(at) / REPORT_LIFETIME_MS).exp());
        confidence * self.requests() + (1.0 - confidence) * mean
    }
}

#[cfg(test)]
mod tests;
