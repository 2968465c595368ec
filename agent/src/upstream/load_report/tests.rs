use super::*;

#[test]
fn load_reports_follow_the_order_of_the_settings() {
    let fields = ["qps", "queue"].map(String::from);
    assert_eq!(parse_load_report("TEXT queue=2, unknown=1, qps=40.5", &fields), Some(vec![40.5, 2.0]));
    let partial = parse_load_report("queue=x,,=,qps=1", &fields).expect("a report");
    assert_eq!(partial[0], 1.0);
    assert!(partial[1].is_nan());
    for text in ["", "TEXT", "TEXT queue=NaN", "unknown=1", "queue"] {
        assert_eq!(parse_load_report(text, &fields), None, "{text}");
    }
}
