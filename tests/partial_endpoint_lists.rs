//! An answer that is taken in in parts says what it says at once, however it is cut.
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
    let mut lines = fleet(12, 3, 3);
    lines.remove(2);
    for (line, status) in lines.iter_mut().zip([Status::Draining, Status::Gone, Status::Serving]) {
        line.status = status;
    }
    let mut whole = rig();
    whole.notify(Event::Endpoints(EndpointUpdate::Changes(lines.clone())));
    for size in [1, 2, 5, 11] {
        let mut parts = rig();
        for part in lines.chunks(size) {
            parts.notify(Event::Endpoints(EndpointUpdate::Partial(part.to_vec())));
        }
        assert_eq!(
            parts.balancer.server_views(parts.now),
            whole.balancer.server_views(whole.now),
            "parts of {size}"
        );
        let before = parts.balancer.endpoint_counts(parts.now);
        parts.notify(Event::Endpoints(EndpointUpdate::Changes(Vec::new())));
        assert_eq!(parts.balancer.endpoint_counts(parts.now), before, "its end adds nothing");
    }
    // What drains by a part gets nothing more, whatever becomes of the rest.
    let mut torn = rig();
    torn.notify(Event::Endpoints(EndpointUpdate::Partial(lines[..1].to_vec())));
    torn.notify(Event::Endpoints(EndpointUpdate::Unusable));
    for _ in 0..50 {
        assert_ne!(torn.request(0).1, Some(lines[0].server));
    }
}
