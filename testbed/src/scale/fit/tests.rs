use super::{fit, student, Point};

fn points(values: impl IntoIterator<Item = (f64, f64)>) -> Vec<Point> {
    values.into_iter().map(|(size, value)| Point { size, value }).collect()
}

#[test]
fn a_line_is_found_again() {
    let fit = fit(&points([10.0, 100.0, 1000.0, 10_000.0].map(|x| (x, 3.0 + 0.5 * x)))).expect("four sizes");
    assert!((fit.slope - 0.5).abs() < 1e-9 && (fit.at_zero - 3.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.low <= fit.slope && fit.slope <= fit.high && fit.high - fit.low < 1e-6);
    assert_eq!((fit.from, fit.to, fit.runs, fit.bends), (10.0, 10_000.0, 4, None));
}

#[test]
fn the_interval_holds_the_slope_of_noisy_repeats() {
    let noise = [0.3, -0.2, 0.1, -0.4, 0.25, -0.05, 0.15, -0.15];
    let values = (0..8).map(|i| {
        let x = [10.0, 20.0, 40.0, 80.0][i / 2];
        (x, 2.0 * x + noise[i])
    });
    let fit = fit(&points(values)).expect("four sizes");
    assert!(fit.low < 2.0 && 2.0 < fit.high && fit.high - fit.low < 0.1, "{fit:?}");
}

#[test]
fn growth_that_is_no_line_is_said_so() {
    let square = fit(&points([10.0, 100.0, 1000.0, 10_000.0].map(|x| (x, x * x)))).expect("four sizes");
    assert!(square.bends.is_some(), "{square:?}");
    let flat = fit(&points([10.0, 100.0, 1000.0, 10_000.0].map(|x: f64| (x, x.ln())))).expect("four sizes");
    assert!(flat.bends.is_some(), "{flat:?}");
}

#[test]
fn too_few_sizes_and_what_is_no_number_are_refused() {
    assert!(fit(&points([(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (3.0, 3.1)])).is_err());
    assert!(fit(&points([(1.0, f64::NAN), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0)])).is_err());
    assert!(fit(&points([(-1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0)])).is_err());
}

#[test]
fn the_points_of_students_distribution_are_those_of_the_tables() {
    for (freedom, table) in
        [(1, 12.706), (2, 4.303), (3, 3.182), (4, 2.776), (6, 2.447), (10, 2.228), (30, 2.042)]
    {
        let is = student(freedom);
        assert!((is / table - 1.0).abs() < 0.02, "{freedom}: {is} and {table}");
    }
}
