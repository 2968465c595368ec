//! How far each zone is in use: by the balancer's own evidence, over several servers of the zone, and next to
//! the other zones in the same time, so that a fleet that is ill everywhere has no failing zone.
//!
//! A zone that is silent is away at once. One that fails or is slow for a class gives up half of its draws of
//! that class a step. Back it comes by trials, then with a quarter, a half and all of its draws, each after
//! good answers at the step before.

use crate::api::*;
use crate::records::*;

/// Answers without which there is no verdict on a zone.
const ENOUGH: f64 = 8.0;
/// It fails if it loses this much more than the others do, and by so many deviations of chance.
const LOSES: f64 = 0.05;
const DEVIATIONS: f64 = 3.0;
/// It is slow at this multiple of the others, each server against its own usual time.
const SLOWER: f64 = 3.0;
/// The share of its draws with which it returns, the good answers before that is doubled (more of them where
/// it is gray, as most of its answers are good then too), and the bad ones that end the return.
const RETURN_SHARE: f64 = 0.25;
const GATE: u32 = 2;
const GATE_GRAY: u32 = 6;
const RELAPSE: u32 = 2;
/// First and longest pause between trials. One that is heard again within two first ones had not been away.
const PAUSE_FIRST: Span = Span(250_000);
const PAUSE_MOST: Span = Span(8_000_000);
const RELAPSES_MOST: u32 = 4;
/// Requests that a server works on at once at least: two cores, and half of an answer's time is waiting.
const AT_ONCE: f64 = 4.0;

impl Balancer {
    /// Learns of a zone, and of the class in it, by one outcome there.
    pub(crate) fn zone_learns(&mut self, now: Time, flight: &Flight, ended: &Ended, out: &mut Vec<Action>) {
        let (s, (outcome, elapsed, _)) = (&self.servers[flight.server], ended);
        let (zone, server, cold) = (s.listed.zone, s.listed.server, self.warmth(s, now) < 1.0);
        let usual = self.usual(flight.class) * s.stretch;
        let (well, whole) = (*outcome == Outcome::Success, self.settings.classes.len());
        let lost = outcome.failure() || *outcome == Outcome::TimedOut;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            if self.zone_mute(now, flight.server, flight.sent, out) {
                return;
            }
        } else if matches!(outcome, Outcome::Success | Outcome::ServerError | Outcome::Rejected) {
            self.zone(zone).heard(now, flight.sent);
        }
        if !well && !lost {
            return;
        }
        // A cold server is slow by nature, and what was lost took no time that tells anything.
        let slow = if well && !cold { (elapsed.ms() / usual).min(2.0 * SLOWER) } else { 1.0 };
        let in_time = *elapsed <= self.settings.classes[flight.class].aim;
        self.zone(zone).standings[flight.class].count(server, lost, slow, slow > SLOWER, 4.0 * ENOUGH);
        for part in [flight.class, whole] {
            let seen = (well && in_time && slow <= SLOWER, lost || slow > SLOWER, flight.sent);
            self.judge_zone(now, (zone, part), seen, out);
        }
    }

    /// Takes in that an attempt has no answer for too long; true if its zone has said nothing since either.
    pub(crate) fn zone_mute(&mut self, now: Time, server: usize, sent: Time, out: &mut Vec<Action>) -> bool {
        let Listed { server, zone, .. } = self.servers[server].listed;
        let whole = self.settings.classes.len();
        let of = self.zone(zone);
        if sent < of.heard_at {
            return false;
        }
        let (new, since) = of.owes(server, sent);
        let in_use = matches!(of.standings[whole].phase, ZonePhase::Serving | ZonePhase::Leaving);
        // With the fleet silent as a whole, nothing that was sent after both is answered by another zone.
        let well = |at: Time| self.zones.iter().any(|(id, z)| *id != zone && z.asked_at > at);
        if in_use && since.is_some_and(well) {
            self.set_zone(now, (zone, whole), 0.0, "silent", out);
            self.rescue(now, zone, out);
        } else if !in_use && new {
            self.judge_zone(now, (zone, whole), (false, true, sent), out);
        }
        true
    }

    /// Calls back what is out in a silent zone and may go elsewhere. It needs no budget: nobody works on it.
    /// Nor does it tell of the servers that are left, whose level it must not lower.
    fn rescue(&mut self, now: Time, zone: ZoneId, out: &mut Vec<Action>) {
        let there = |f: &Flight| !f.called && self.servers[f.server].listed.zone == zone;
        let keys: Vec<_> = self.flights.iter().filter(|(_, f)| there(f)).map(|(key, _)| *key).collect();
        for key in keys {
            self.retries += 1.0;
            if !self.call_back(now, key, true, out) {
                self.retries -= 1.0;
            }
            self.flights.get_mut(&key).into_iter().for_each(|flight| flight.counted = true);
        }
    }

    /// What follows for a zone, or a class in it, from an answer that is good or bad.
    fn judge_zone(&mut self, now: Time, at: Part, seen: (bool, bool, Time), out: &mut Vec<Action>) {
        let (good, bad, sent) = seen;
        let whole = at.1 == self.settings.classes.len();
        let gate = [if self.blind { 1 } else { GATE }, GATE_GRAY][usize::from(!whole)];
        let it = &mut self.zone(at.0).standings[at.1];
        let after = sent >= it.since;
        it.good += u32::from(good && after);
        it.bad += u32::from(bad && after);
        let (share, why) = match it.phase {
            ZonePhase::Away if good && whole && now.since(it.since) <= PAUSE_FIRST * 2.0 => (1.0, "not away"),
            ZonePhase::Away if good && (whole || after) => (RETURN_SHARE, "a trial went well"),
            ZonePhase::Away if bad && after => return it.put_off(now, PAUSE_MOST),
            ZonePhase::Returning if it.bad >= RELAPSE => (0.0, "relapsed"),
            ZonePhase::Returning if it.good >= gate => (2.0 * it.share, "answers well"),
            ZonePhase::Leaving if it.answers >= 2.0 * ENOUGH => (it.share, "no worse"),
            ZonePhase::Serving | ZonePhase::Leaving if it.answers >= ENOUGH && it.several() => {
                let less = if it.share > RETURN_SHARE { 0.5 * it.share } else { 0.0 };
                let (answers, lost, slow) = (it.answers, it.lost, it.slow);
                let Some((usually, usual)) = self.others(at, ENOUGH) else { return };
                let chance = (usually + LOSES).min(0.9);
                let fails =
                    (lost - chance) * answers > DEVIATIONS * (answers * chance * (1.0 - chance)).sqrt();
                match fails {
                    true => (less, "failing"),
                    false if slow > SLOWER * usual.max(1.0) => (less, "slow"),
                    false => return,
                }
            }
            _ => return,
        };
        self.set_zone(now, at, share, why, out);
    }

    fn set_zone(&mut self, now: Time, at: Part, share: f64, why: &'static str, out: &mut Vec<Action>) {
        // The trials of all balancers together stay within what the zone's servers bear while they are cold.
        let there = self.open_in.of(at.0).len().max(1);
        let bears =
            (self.settings.cold_share * self.settings.overload_factor).max(0.01) * AT_ONCE * there as f64;
        let usual = (0..self.settings.classes.len()).map(|class| self.usual(class)).fold(0.0, f64::max);
        let crowd = Span::from_ms(usual * f64::from(self.settings.balancers) / bears).min(PAUSE_MOST);
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let whole = at.1 == self.settings.classes.len();
        let it = &mut self.zone(at.0).standings[at.1];
        let phase = it.phase_with(share);
        let longer = PAUSE_FIRST * 2f64.powi(it.relapses as i32);
        let again = it.phase == ZonePhase::Returning || now.since(it.since) < longer * 8.0;
        let (pause, relapses) = match phase {
            ZonePhase::Away if again => (longer * 2.0, (it.relapses + 1).min(RELAPSES_MOST)),
            ZonePhase::Away => (PAUSE_FIRST, 0),
            _ => (PAUSE_FIRST, it.relapses),
        };
        let (pause, bad) = (pause.max(crowd), if phase == it.phase { it.bad } else { 0 });
        let next = now + pause * jitter;
        *it = Standing {
            phase,
            share,
            why,
            since: now,
            pause,
            next,
            bad,
            relapses,
            probed: !whole,
            ..Standing::default()
        };
        self.look_for_ill_zones();
        if whole {
            self.zone(at.0).mute.clear();
            // What its servers are suspected of was the zone's.
            self.of_zone(at.0, |s| (s.suspicion, s.doubted_until) = (None, now));
        }
        let of = if whole { String::new() } else { format!(" for class {}", at.1) };
        let text = format!("zone is {phase:?}{of} with {:.0}% of its draws: {why}", 100.0 * share);
        out.push(Action::Log { server: None, zone: Some(at.0), text });
    }

    /// A server of a zone that is away or returning and due for a trial.
    pub(crate) fn zone_trial(&mut self, now: Time, ask: &Pick) -> Option<usize> {
        if !self.zones_ill || !ask.tried.is_empty() {
            return None;
        }
        let asked = |s: &Standing| s.phase == ZonePhase::Returning || !self.settings.probes || s.probed;
        let due = |s: &Standing| {
            let out = matches!(s.phase, ZonePhase::Away | ZonePhase::Returning);
            out && asked(s) && now >= if ask.safe { s.next } else { s.next + s.pause * 2.0 }
        };
        let parts = [self.settings.classes.len(), ask.class];
        let (zone, part) = self.find_part(parts, due)?;
        let server = self.one_of(zone, |balancer, i| balancer.allowed(now, i, ask))?;
        let it = &mut self.zone(zone).standings[part];
        (it.next, it.probed) = (now + it.pause, part != parts[0]);
        Some(server)
    }

    /// Asks zones that are away whether they are back, so that no request need find out.
    pub(crate) fn probe_zones(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.zones_ill || !self.settings.probes {
            return;
        }
        let whole = self.settings.classes.len();
        let due = |s: &Standing| s.phase == ZonePhase::Away && !s.probed && now >= s.next;
        let zones = self.zones.iter().filter(|(_, z)| due(&z.standings[whole])).map(|(zone, _)| *zone);
        for zone in zones.collect::<Vec<_>>() {
            let Some(server) = self.one_of(zone, |_, _| true) else { continue };
            let it = &mut self.zone(zone).standings[whole];
            it.next = now + it.pause;
            out.push(Action::Probe { server: self.servers[server].listed.server });
        }
    }

    /// One that answers a probe is tried with a request at once.
    pub(crate) fn zone_probed(&mut self, now: Time, server: usize, well: bool) {
        let (zone, whole) = (self.servers[server].listed.zone, self.settings.classes.len());
        let it = &mut self.zone(zone).standings[whole];
        if well && it.phase == ZonePhase::Away {
            (it.probed, it.next) = (true, now);
        }
    }
}
