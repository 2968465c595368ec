use super::*;

fn opened(count: usize) -> Requests {
    let mut requests = Requests::default();
    for n in 0..count {
        requests.open(&n.to_string()).expect("a new name");
    }
    requests
}

#[test]
fn a_name_that_is_in_use_is_an_error() {
    let error = opened(1).open("0").expect_err("the same name");
    assert_eq!(error.to_string(), "REQUEST 0 came twice");
}

#[test]
fn ended_requests_without_attempts_in_flight_are_dropped_and_no_others() {
    let mut requests = opened(MIN_REQUESTS_TO_DROP);
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
fn few_requests_are_kept_even_if_they_have_ended() {
    let mut requests = opened(1);
    requests.get_mut("0").expect("an open request").has_ended = true;
    requests.drop_ended();
    assert!(requests.get_mut("0").is_some());
}
