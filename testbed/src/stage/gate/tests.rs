use super::*;

#[tokio::test]
async fn a_mute_listener_lets_nobody_in_until_it_is_over() {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let knock = || tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(address));
    let mute = Mute::of(&listener);
    assert!(knock().await.is_err() && knock().await.is_err(), "no answer, and no refusal either");
    mute.over();
    // The kernel lets in again what has not been let go; a peer that knocks once more soon gets through.
    let (accepted, connected) = tokio::join!(
        tokio::time::timeout(Duration::from_secs(5), async { while listener.accept().await.is_err() {} }),
        tokio::time::timeout(Duration::from_secs(5), TcpStream::connect(address)),
    );
    assert!(accepted.is_ok() && connected.is_ok_and(|c| c.is_ok()));
}

#[test]
fn waits_are_read_in_both_units() {
    assert_eq!((wait_us("480m"), wait_us("900u"), wait_us("1.5m")), (Some(480_000), Some(900), Some(1500)));
    assert_eq!((wait_us(""), wait_us("5"), wait_us("-5m"), wait_us("é")), (None, None, None, None));
}
