//! An endpoint list that is received in parts has the same effect as the whole list, wherever it is split.
#![allow(missing_docs)]

mod common;
use balancer::*;
use common::{class, fleet, Rig};

fn rig() -> Rig {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 4);
    rig.set_endpoints(fleet(9, 3, 3));
    rig
}

#[test]
fn a_list_in_parts_has_the_effect_of_the_whole_list() {
    let mut endpoints = fleet(12, 3, 3);
    endpoints.remove(2);
    for (endpoint, status) in endpoints.iter_mut().zip([Status::Draining, Status::Gone, Status::Serving]) {
        endpoint.status = status;
    }
    let mut whole = rig();
    whole.notify(Event::Endpoints(EndpointUpdate::Changes(endpoints.clone())));
    for size in [1, 2, 5, 11] {
        let mut parts = rig();
        for part in endpoints.chunks(size) {
            parts.notify(Event::Endpoints(EndpointUpdate::Partial(part.to_vec())));
        }
        assert_eq!(
            parts.balancer.server_views(parts.now),
            whole.balancer.server_views(whole.now),
            "parts of {size} entries"
        );
        let before = parts.balancer.endpoint_counts(parts.now);
        parts.notify(Event::Endpoints(EndpointUpdate::Changes(Vec::new())));
        assert_eq!(parts.balancer.endpoint_counts(parts.now), before, "the end of the list changes nothing");
    }
    // A server that a part reports as draining gets no further requests, even if the rest of the list is unusable.
    let mut incomplete = rig();
    incomplete.notify(Event::Endpoints(EndpointUpdate::Partial(endpoints[..1].to_vec())));
    incomplete.notify(Event::Endpoints(EndpointUpdate::Unusable));
    for _ in 0..50 {
        assert_ne!(incomplete.request(0).1, Some(endpoints[0].server));
    }
}
