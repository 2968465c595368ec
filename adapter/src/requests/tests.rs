use super::*;

fn with_open_requests(count: usize) -> Requests {
    let mut requests = Requests::default();
    for n in 0..count {
        requests.open(&n.to_string()).expect("a new name");
    }
    requests
}

#[test]
fn opening_a_request_with_a_name_in_use_fails() {
    let error = with_open_requests(1).open("0").expect_err("the same name");
    assert_eq!(error.to_string(), "REQUEST 0 came twice");
}

#[test]
fn ended_requests_without_attempts_in_flight_are_dropped_and_no_others() {
    let mut requests = with_open_requests(MIN_REQUESTS_TO_DROP);
    for name in ["0", "1"] {
        requests.get_mut(name).expect("an open request").has_ended = true;
    }
    requests.get_mut("1").expect("an open request").attempts_in_flight = 1;
    let id = requests.get_mut("0").expect("an open request").id;
    requests.drop_ended();
    assert!(requests.get_mut("0").is_none() && requests.by_id(id).is_none());
    assert!(requests.get_mut("1").is_some() && requests.get_mut("2").is_some());
}

#[test]
fn ended_requests_are_kept_while_few_requests_are_stored() {
    let mut requests = with_open_requests(1);
    requests.get_mut("0").expect("an open request").has_ended = true;
    requests.drop_ended();
    assert!(requests.get_mut("0").is_some());
}
