use super::*;

/// `two` is 2, `odd` is not measured, `line(x)` is 10 and 3 for each x.
struct Few;

impl Names for Few {
    fn figure(&mut self, name: &str, _: Option<f64>) -> Result<Option<f64>, String> {
        match name {
            "two" => Ok(Some(2.0)),
            "odd" => Ok(None),
            _ => Err(format!("unknown name {name}")),
        }
    }

    fn slope(&mut self, name: &str, x: f64) -> Result<Option<f64>, String> {
        match name {
            "line" => Ok(Some(10.0 + 3.0 * x)),
            _ => Err(format!("unknown slope {name}")),
        }
    }
}

fn is(text: &str) -> Result<Option<f64>, String> {
    Expr::read(text)?.eval(&mut Few)
}

#[test]
fn signs_bind_as_they_do_on_paper() {
    for (text, value) in [
        ("1 + 2 * 3", 7.0),
        ("(1 + 2) * 3", 9.0),
        ("8 - 2 - 1", 5.0),
        ("8 / 2 / 2", 2.0),
        ("2 * 3 ^ 2", 18.0),
        ("29_000 / two", 14_500.0),
        ("2.5e6 * 4e-2 + 1e0", 100_001.0),
        ("line(two * 2) + 0.5", 22.5),
        ("min(two, 1) + max(two, line(0))", 11.0),
    ] {
        assert_eq!(is(text), Ok(Some(value)), "{text}");
    }
}

#[test]
fn a_figure_that_nobody_measured_makes_no_figure() {
    for text in ["odd", "odd * 0", "line(odd)", "min(1, odd)", "odd ^ 2", "2 ^ odd"] {
        assert_eq!(is(text), Ok(None), "{text}");
    }
}

#[test]
fn what_makes_no_sense_is_said() {
    for (text, why) in [
        ("", "it ends where a number or a name was expected"),
        ("1 +", "it ends where a number or a name was expected"),
        ("1 2", "'2' is not expected there"),
        ("(1", "it ends where ')' was expected"),
        ("1.2.3", "1.2.3 is no number"),
        ("1e", "1e is no number"),
        ("-1", "'-' stands where a number or a name was expected"),
        ("min(1)", "min takes two figures"),
        ("line(1, 2)", "line takes one figure"),
        ("2 ^ 0.5", "the power 0.5 is no whole number from 0 to 1000"),
        ("none", "unknown name none"),
    ] {
        assert_eq!(is(text), Err(why.to_owned()), "{text}");
    }
    assert_eq!(is(&"(".repeat(401)), Err("over 400 characters".to_owned()));
}
