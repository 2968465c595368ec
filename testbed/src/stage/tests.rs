use super::*;

#[test]
fn plays_side_by_side_have_blocks_of_their_own() {
    let (one, other) = (Addresses::claim().expect("a block"), Addresses::claim().expect("another"));
    assert_ne!(one.block, other.block);
    assert_ne!(one.agent(249), one.agent(250));
    assert_ne!(one.renderer(0, 1), one.renderer(0, 2));
}
