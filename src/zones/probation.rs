//! Probation requests and health checks for zones whose share is reduced.

use super::health::{ZoneHealth, ZoneUsage};
use super::{ZoneScope, Zones};
use crate::{Span, Time, ZoneId, ZonePhase};

impl Zones {
    /// A zone in the phase `Away` or `Returning` that is due for a probation request of this class. Requests that are
    /// not idempotent are used two intervals later than others.
    pub(crate) fn due_probation(&self, now: Time, class: usize, is_idempotent: bool) -> Option<ZoneScope> {
        if !self.is_any_restricted {
            return None;
        }
        let is_due = |usage: &ZoneUsage| {
            let may_respond = usage.phase == ZonePhase::Returning
                || !self.has_health_checks
                || usage.has_passed_health_check;
            let extra = if is_idempotent { Span::ZERO } else { usage.probation_interval * 2.0 };
            matches!(usage.phase, ZonePhase::Away | ZonePhase::Returning)
                && may_respond
                && now >= usage.next_probation_at + extra
        };
        let is_whole_due = |health: &ZoneHealth| is_due(&health.usages[self.class_count]);
        let is_class_due = |health: &ZoneHealth| {
            health.usages[self.class_count].share > 0.0 && is_due(&health.usages[class])
        };
        let find = |is_due: &dyn Fn(&ZoneHealth) -> bool| {
            self.zones.iter().find(|(_, health)| is_due(health)).map(|(zone, _)| *zone)
        };
        let whole = find(&is_whole_due).map(ZoneScope::whole_zone);
        whole.or_else(|| find(&is_class_due).map(|zone| ZoneScope { zone, class: Some(class) }))
    }

    /// Records that a probation request has been sent.
    pub(crate) fn record_probation(&mut self, now: Time, scope: ZoneScope) {
        let usage = self.usage_mut(scope);
        usage.next_probation_at = now + usage.probation_interval;
        usage.has_passed_health_check = scope.class.is_some();
    }

    /// The zones that are due for a health check, which finds out whether a zone responds without risking a request.
    pub(crate) fn due_health_checks(&self, now: Time) -> Vec<ZoneId> {
        if !self.is_any_restricted || !self.has_health_checks {
            return Vec::new();
        }
        let is_due = |usage: &ZoneUsage| {
            usage.phase == ZonePhase::Away && !usage.has_passed_health_check && now >= usage.next_probation_at
        };
        let due = self.zones.iter().filter(|(_, health)| is_due(&health.usages[self.class_count]));
        due.map(|(zone, _)| *zone).collect()
    }

    /// Records that a health check has been sent to a zone.
    pub(crate) fn record_health_check_sent(&mut self, now: Time, zone: ZoneId) {
        let usage = self.usage_mut(ZoneScope::whole_zone(zone));
        usage.next_probation_at = now + usage.probation_interval;
    }

    /// Records the result of a health check. A zone that passes one is due for a probation request at once.
    pub(crate) fn record_health_check(&mut self, now: Time, zone: ZoneId, is_success: bool) {
        let usage = self.usage_mut(ZoneScope::whole_zone(zone));
        if is_success && usage.phase == ZonePhase::Away {
            (usage.has_passed_health_check, usage.next_probation_at) = (true, now);
        }
    }
}
