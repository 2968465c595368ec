use super::*;

#[test]
fn both_forms_name_the_same_agents() {
    let lines = of_lines("# the north\nn0 127.0.0.1:1 # first\n\n  127.0.0.1:2\n").expect("agents");
    let toml =
        of_toml("[agents]\nn0 = \"127.0.0.1:1\"\n\"127.0.0.1:2\" = \"127.0.0.1:2\"\n").expect("agents");
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|agent| toml.contains(agent)));
}

#[test]
fn what_makes_no_sense_is_named() {
    for (text, said) in
        [("n0 here\n", "line 1: \"here\""), ("\na b c\n", "line 2"), ("127.0.0.1\n", "line 1")]
    {
        assert!(of_lines(text).expect_err(text).contains(said), "{text}");
    }
    for (text, said) in [
        ("[agents]\nn0 = 7\n", "agents.n0 is 7"),
        ("[agent]\n", "agent has no meaning"),
        ("[agents\n", ""),
        ("agents = 3\n", "a section [agents]"),
    ] {
        assert!(of_toml(text).expect_err(text).contains(said), "{text}");
    }
    let two = |text| checked(of_lines(text).expect("agents")).expect_err(text);
    assert!(two("a 127.0.0.1:1\na 127.0.0.1:2\n").contains("two agents are called a"));
    assert!(two("a 127.0.0.1:1\nb 127.0.0.1:1\n").contains("two agents are at"));
    assert!(two("# none\n").contains("names no agent"));
}
