use super::*;

#[test]
fn lines_and_toml_name_the_same_agents() {
    let lines = parse_lines("# the north\nn0 127.0.0.1:1 # first\n\n  127.0.0.1:2\n").expect("agents");
    let toml =
        parse_toml("[agents]\nn0 = \"127.0.0.1:1\"\n\"127.0.0.1:2\" = \"127.0.0.1:2\"\n").expect("agents");
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|agent| toml.contains(agent)));
}

#[test]
fn an_error_names_the_line_or_key_and_what_was_expected() {
    for (text, expected) in
        [("n0 here\n", "line 1: \"here\""), ("\na b c\n", "line 2"), ("127.0.0.1\n", "line 1")]
    {
        let problem = parse_lines(text).expect_err(text).to_string();
        assert!(problem.contains(expected), "{text}: {problem}");
    }
    for (text, expected) in [
        ("[agents]\nn0 = 7\n", "agents.n0 is 7"),
        ("[agent]\n", "unknown key agent: expected a section [agents]"),
        ("[agents\n", ""),
        ("agents = 3\n", "a section [agents]"),
    ] {
        let problem = parse_toml(text).expect_err(text).to_string();
        assert!(problem.contains(expected), "{text}: {problem}");
    }
}

#[test]
fn a_file_without_agents_or_with_a_duplicate_is_rejected() {
    let problem_of = |text| check_agents(&parse_lines(text).expect("agents")).expect_err(text).to_string();
    assert!(problem_of("a 127.0.0.1:1\na 127.0.0.1:2\n").contains("two agents have the name a"));
    assert!(problem_of("a 127.0.0.1:1\nb 127.0.0.1:1\n").contains("two agents have the address 127.0.0.1:1"));
    assert!(problem_of("# none\n").contains("names no agent"));
}

#[test]
fn a_file_with_too_many_agents_is_rejected() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let agents = vec![Agent::unnamed(address); MAX_AGENTS + 1];
    let problem = check_agents(&agents).expect_err("more than the limit").to_string();
    assert_eq!(problem, "10001 agents: at most 10000 are allowed");
}

#[test]
fn an_error_names_the_file() {
    let error = read(Path::new("no-such-file")).expect_err("no file").to_string();
    assert!(error.starts_with("no-such-file: "), "{error}");
}
