use super::*;

fn link() -> Link {
    Link::new(12_000.0, 0.0)
}

#[test]
fn lost_messages_are_sent_again_and_the_share_holds() {
    let link = link();
    let mut draw = Seed(4);
    assert_eq!(link.takes(Toward::Agent, &mut draw), Duration::from_millis(12));
    link.set(State { loss_back: 0.25, ..State::GOOD });
    let late =
        (0..4000).filter(|_| link.takes(Toward::Agent, &mut draw) > Duration::from_millis(100)).count();
    assert!((900..1100).contains(&late), "{late}");
    assert_eq!(
        link.takes(Toward::Renderer, &mut draw),
        Duration::from_millis(12),
        "the other way loses nothing"
    );
}

#[tokio::test(start_paused = true)]
async fn a_cut_holds_messages_one_way_until_it_is_over() {
    let link = std::sync::Arc::new(link());
    link.set(State { cut_back: true, ..State::GOOD });
    let begun = tokio::time::Instant::now();
    link.carry(Toward::Renderer, &mut Seed(1)).await;
    assert!(begun.elapsed() < Duration::from_millis(20));
    let held = {
        let link = link.clone();
        tokio::spawn(async move { link.carry(Toward::Agent, &mut Seed(1)).await })
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!held.is_finished());
    link.set(State::GOOD);
    held.await.expect("carried");
    assert!(begun.elapsed() >= Duration::from_secs(3));
}
