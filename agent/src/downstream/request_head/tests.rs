use super::*;

#[test]
fn timeouts_have_a_number_and_a_unit() {
    assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("900u"), Some(Duration::from_micros(900)));
    for text in
        ["", "m", "480", "-1m", "0m", "1e9m", "nanm", "infm", "99999999999999999999m", "4s", "é", "1é"]
    {
        assert_eq!(parse_timeout(text), None, "{text}");
    }
}
