use super::*;
use crate::{Endpoint, RequestId, ServerId, Span, ZoneId};

const NOW: Time = Time(60_000_000);

struct Fixture {
    selection: Selection,
    fleet: Fleet,
    rng: fastrand::Rng,
}

impl Fixture {
    /// A fleet of `servers` servers, alternately in zones 0 and 1.
    fn new(servers: u32, settings: Settings) -> Self {
        let settings = Arc::new(settings);
        let mut fleet = Fleet::new(Arc::clone(&settings));
        let entry = |i| Endpoint { zone: ZoneId(i % 2), ..Endpoint::serving(ServerId(i)) };
        fleet.update_endpoints(NOW, (0..servers).map(entry).collect(), true);
        fleet.endpoints.update_totals();
        Fixture { selection: Selection::new(settings), fleet, rng: fastrand::Rng::with_seed(1) }
    }

    fn candidates(&mut self, request: &SelectionRequest) -> Vec<usize> {
        self.selection.candidates(NOW, &self.fleet, request, &mut self.rng)
    }

    fn select(&mut self, candidates: &[usize], request: &SelectionRequest) -> Option<usize> {
        self.selection.select(NOW, &self.fleet, candidates, request, &mut self.rng)
    }

    /// Adds attempts in flight to a server.
    fn load(&mut self, slot: usize, attempts: u32) {
        for _ in 0..attempts {
            self.fleet.record_send(NOW, slot, 1.0, false);
        }
    }
}

fn request() -> SelectionRequest {
    SelectionRequest {
        id: RequestId(1),
        class: 0,
        scope: RetryScope::Anywhere,
        work: 1.0,
        mean_work: 1.0,
        slowdown_weight: 1.0,
        is_idempotent: true,
        key: None,
        affinity_server: None,
        tried: Vec::new(),
    }
}

#[test]
fn the_candidate_with_the_fewest_own_requests_is_selected_and_remembered() {
    let mut fixture = Fixture::new(4, Settings::default());
    [(0, 3), (1, 1), (2, 0), (3, 2)].into_iter().for_each(|(slot, attempts)| fixture.load(slot, attempts));
    assert_eq!(fixture.select(&[0, 1, 2, 3], &request()), Some(2));
    assert_eq!(fixture.selection.remembered(), [2]);
    assert_eq!(fixture.select(&[], &request()), None);
    assert!(fixture.candidates(&request()).contains(&2), "the remembered server is not a candidate");
}

#[test]
fn a_server_that_was_tried_is_a_candidate_only_if_no_other_is_ready() {
    let mut fixture = Fixture::new(2, Settings::default());
    let tried = SelectionRequest { tried: vec![0], ..request() };
    assert!(fixture.candidates(&tried).iter().all(|slot| *slot == 1));
    fixture.load(1, 50);
    assert!(fixture.candidates(&tried).iter().all(|slot| *slot == 0));
}

#[test]
fn all_candidates_are_within_the_retry_scope() {
    let mut fixture = Fixture::new(8, Settings::default());
    let limited = SelectionRequest { scope: RetryScope::Zone(ZoneId(1)), ..request() };
    for _ in 0..20 {
        let candidates = fixture.candidates(&limited);
        assert!(!candidates.is_empty() && candidates.iter().all(|slot| slot % 2 == 1), "{candidates:?}");
    }
}

#[test]
fn the_last_server_of_an_affinity_key_wins_unless_it_has_clearly_more_requests() {
    let mut fixture = Fixture::new(2, Settings::default());
    let keyed = SelectionRequest { key: Some(AffinityKey(9)), ..request() };
    fixture.select(&[1], &keyed);
    assert_eq!(fixture.selection.affinity_server(AffinityKey(9)), Some(ServerId(1)));
    let known = SelectionRequest { affinity_server: Some(1), ..request() };
    assert!((0..20).all(|_| fixture.select(&[0, 1], &known) == Some(1)));
    fixture.load(1, 2);
    assert!((0..20).all(|_| fixture.select(&[0, 1], &known) == Some(0)));
}

#[test]
fn a_server_in_the_own_zone_has_less_load_where_crossing_zones_has_a_price() {
    let prices = crate::Prices { cross_zone: 0.05, ..crate::Prices::default() };
    let mut fixture = Fixture::new(2, Settings { prices, ..Settings::default() });
    assert!((0..20).all(|_| fixture.select(&[0, 1], &request()) == Some(0)));
    fixture.load(0, 2);
    assert!((0..20).all(|_| fixture.select(&[0, 1], &request()) == Some(1)), "the price alone filled a zone");
}

#[test]
fn a_load_query_is_done_when_all_candidates_have_reported_or_its_time_is_up() {
    let settings = Settings { report_fields: vec![crate::ReportField::InFlight], ..Settings::default() };
    let mut fixture = Fixture::new(2, settings);
    let mut queries = LoadQueries::default();
    let until = NOW + Span::from_ms(5.0);
    queries.push(LoadQuery { request: RequestId(1), candidates: vec![0, 1], asked_at: NOW, until });
    let mut report = |slot: usize| {
        let Fleet { endpoints, load_reports, .. } = &mut fixture.fleet;
        load_reports.record(NOW, &mut endpoints.server_mut(slot).report, &[3.0]);
        queries.take_done(NOW, endpoints).len()
    };
    assert_eq!([report(0), report(1)], [0, 1]);
    queries.push(LoadQuery { request: RequestId(2), candidates: vec![0, 1], asked_at: until, until });
    assert!(queries.has_candidate(1));
    assert_eq!(queries.take_done(until, &fixture.fleet.endpoints).len(), 1);
    assert!(!queries.has_candidate(1));
}
