use super::changes::changes;
use super::*;

fn names() -> Names {
    let params = serde_json::json!({"classes": [{"name": "archive", "aimMs": 1, "deadlineMs": 2}]});
    balancer_settings::names(&serde_json::from_value(params).expect("settings"))
}

fn parse(text: &str) -> Result<Contents, FleetError> {
    parse::parse(text, &names())
}

const COMPLETE: &str =
    "[fleet]\nname = \"tartu\"\nlisten = \"127.0.1.4:7946\"\nseeds = [\"127.0.1.5:7946\"]\n\
                         state = \"s\"\n[regions]\nnorth = [\"a\", \"b\"]\nsouth = [\"c\"]\n[shared]\n\
                         stale_after_ms = 500\n[limits.classes]\narchive = 400\n";

#[test]
fn a_complete_file_is_read_and_an_empty_one_says_nothing() {
    let fleet = parse(COMPLETE).expect("a fleet file");
    let membership = fleet.membership.as_ref().expect("a section");
    assert_eq!((membership.name.as_str(), membership.seeds.len()), ("tartu", 1));
    assert_eq!(fleet.regions["north"], ["a", "b"]);
    assert_eq!((fleet.stale_after.as_millis(), fleet.class_limits["archive"]), (500, 400.0));
    let empty = parse("").expect("an empty file");
    assert_eq!((empty.membership, empty.stale_after.as_millis()), (None, 2000));
}

/// Each says where and what in one line.
#[test]
fn what_makes_no_sense_is_named_by_key_and_value() {
    for (text, said) in [
        ("[fleet]\nname = \"a\"\n", "fleet.listen is missing"),
        ("[fleet]\nname = \"a b\"\nlisten = \"127.0.0.1:1\"\n", "fleet.name is \"a b\""),
        ("[fleet]\nname = \"a\"\nlisten = \"here\"\n", "fleet.listen is \"here\"; an address"),
        ("[fleet]\nname = \"a\"\nlisten = \"0.0.0.0:7946\"\n", "fleet.listen is \"0.0.0.0:7946\""),
        ("[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = [7]\n", "fleet.seeds is 7"),
        ("[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseed = []\n", "fleet.seed = [] has no meaning"),
        ("[regions]\nn = [\"a\"]\ns = [\"b\", \"a\"]\n", "regions.s has \"a\", which is in regions.n"),
        ("[regions]\nn = [\"a\", \"a\"]\n", "regions.n has \"a\""),
        ("[regions]\nn = []\n", "regions.n is []"),
        ("[shared]\nstale_after_ms = 1\n", "shared.stale_after_ms is 1; whole milliseconds"),
        ("[limits.classes]\narchive = inf\n", "limits.classes.archive is inf"),
        ("[limits.classes]\narchive = -1\n", "limits.classes.archive is -1"),
        ("[limits.classes]\narchives = 1\n", "limits.classes.archives is unknown; the settings have archive"),
        ("[limits]\nclass = {}\n", "limits.class = {} has no meaning"),
        ("fleet = 3\n", "fleet is 3; a section [fleet]"),
        ("[shard]\n", "shard = {} has no meaning"),
        ("[regions]\nn = [\"a\"\n", "line "),
        ("[regions]\nn = [\"a\"]", "the last line has no end"),
    ] {
        let why = parse(text).expect_err(text).to_string();
        assert!(why.contains(said), "{text}: {why}");
        assert!(!why.contains('\n') && why.len() < 400, "{why}");
    }
}

#[test]
fn a_running_agent_names_what_changes_and_rejects_what_it_cannot() {
    let old = parse(COMPLETE).expect("a fleet file");
    assert_eq!(changes(&old, &old), Ok(Vec::new()));
    let new = COMPLETE.replace("\"b\"", "\"d\"").replace("127.0.1.5", "127.0.1.6").replace("400", "300.5");
    let changed = changes(&old, &parse(&new).expect("a fleet file")).expect("it can");
    let [seeds, region, limit] = &changed[..] else { panic!("{changed:?}") };
    assert!(seeds.contains("fleet.seeds") && region.contains("regions.north to [\"a\", \"d\"]"));
    assert_eq!(limit, "limits.classes.archive to 300.5");
    let gone = parse(&COMPLETE.replace("south = [\"c\"]\n", "")).expect("a fleet file");
    assert_eq!(changes(&old, &gone), Ok(vec!["regions.south gone".to_owned()]));
    for (from, to) in [("tartu", "other"), ("127.0.1.4", "127.0.1.9"), ("\"s\"", "\"t\"")] {
        let new = parse(&COMPLETE.replace(from, to)).expect("a fleet file");
        assert!(changes(&old, &new).expect_err("it cannot").to_string().contains("takes a new process"));
    }
    assert!(changes(&old, &parse("").expect("empty")).is_err());
}
