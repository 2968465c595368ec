use super::*;

/// Two names whose hashes have the same low 32 bits.
const COLLIDING_NAMES: [&str; 2] = ["backend_251191", "backend_805080"];

fn catalogue(names: &[&str]) -> Vec<CatalogueServer> {
    let entry = |name: &str| Entry {
        server: name.to_owned().into(),
        zone: 1,
        kind: 2,
        cell: 3,
        status: EntryStatus::Serving,
        weight: None,
        started_ms: Some(0.0),
    };
    names.iter().map(|name| CatalogueServer::from(entry(name))).collect()
}

#[test]
fn a_server_has_the_same_id_in_each_list_and_at_each_instance() {
    let mut servers = Servers::default();
    let first = servers.endpoints(&catalogue(&["a", "b"]));
    let second = servers.endpoints(&catalogue(&["b"]));
    assert_eq!(first[1], second[0]);
    assert_eq!(Servers::default().endpoints(&catalogue(&["b"]))[0], second[0]);
    assert_eq!(servers.id("a"), Some(first[0].server));
    assert_eq!(servers.name(first[0].server).as_deref(), Some("a"));
    assert_eq!((second[0].weight, second[0].started), (DEFAULT_WEIGHT, None));
}

#[test]
fn names_with_the_same_hash_have_different_ids() {
    let mut servers = Servers::default();
    let endpoints = servers.endpoints(&catalogue(&COLLIDING_NAMES));
    assert_eq!(endpoints[1].server, ServerId(endpoints[0].server.0.wrapping_add(1)));
    for (name, endpoint) in COLLIDING_NAMES.iter().zip(&endpoints) {
        assert_eq!(servers.name(endpoint.server).as_deref(), Some(*name));
    }
}
