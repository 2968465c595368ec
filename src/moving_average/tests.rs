use super::*;

#[test]
fn a_lower_value_moves_the_average_four_times_as_far() {
    let (mut down, mut up) = (1.0, 1.0);
    step_favoring_low(&mut down, 0.0, 0.2);
    step_favoring_low(&mut up, 2.0, 0.2);
    assert!((down - 0.8).abs() < 1e-9 && (up - 1.05).abs() < 1e-9, "{down} and {up}");
}
