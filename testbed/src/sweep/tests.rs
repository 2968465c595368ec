use super::*;

#[test]
fn grids_and_seeds_are_read_as_they_are_meant() {
    assert_eq!(seeds("1..3"), Ok(vec![1, 2, 3]));
    assert_eq!(seeds("4,9"), Ok(vec![4, 9]));
    assert!(seeds("3..1").is_err() && seeds("x").is_err() && seeds("0..99999999").is_err());
    let load = axis("load=[0.5, 0.6],0.7").expect("an axis");
    assert_eq!(load.1, ["[0.5, 0.6]", "0.7"]);
    assert!(axis("load").is_err() && axis("load=1,").is_err());
    let points = grid(&[load, ("rate".into(), vec!["1".into(), "2".into(), "3".into()])]);
    assert_eq!(points.len(), 6);
    assert_eq!(name(&points[5]), "load=0.7 rate=3");
    assert_eq!(grid(&[]), [Vec::new()]);
}
