use super::*;

#[test]
fn each_call_is_parsed_with_any_white_space() {
    let command = |target, is_withdrawn| Call::Command { target, is_withdrawn };
    let (server, zone) = (Target::Server("s".into()), Target::Zone("b".into()));
    for (line, call) in [
        ("health", Call::Health),
        ("counters\r", Call::Counters),
        (" renderers ", Call::Renderers),
        ("zones", Call::Zones),
        ("cordon  s", command(server.clone(), true)),
        ("uncordon s", command(server, false)),
        ("zone leave b", command(zone.clone(), true)),
        ("zone return b", command(zone, false)),
    ] {
        assert_eq!(Call::parse(line), Ok(call), "{line:?}");
    }
}

#[test]
fn an_invalid_line_yields_an_error_that_says_what_was_expected() {
    for (line, error) in [
        ("", format!("an empty line; calls are {CALLS}")),
        ("drain s", format!("no call drain; calls are {CALLS}")),
        ("health now", "this call stands alone".into()),
        ("cordon", "this call takes one renderer's name".into()),
        ("uncordon s t", "this call takes one renderer's name".into()),
        ("zone", "this call is zone leave NAME or zone return NAME".into()),
        ("zone keep b", "this call is zone leave NAME or zone return NAME".into()),
    ] {
        assert_eq!(Call::parse(line).map_err(|error| error.to_string()), Err(error), "{line:?}");
    }
}
