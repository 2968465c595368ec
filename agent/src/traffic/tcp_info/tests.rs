use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::thread::sleep;

/// The kernel's clock ticks every 10 ms at worst.
const RESOLUTION: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(100);

/// A request that waits in the accept queue is as old as the kernel says, and its connection too.
#[test]
fn ages_count_from_the_arrival_and_not_from_the_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let mut client = TcpStream::connect(listener.local_addr().expect("get the address")).expect("connect");
    sleep(2 * STEP);
    client.write_all(b"x").expect("send a byte");
    sleep(STEP);
    let (accepted, _) = listener.accept().expect("accept the connection");
    let ages = connection_ages(accepted.as_fd()).expect("the system tells the ages");
    assert!(ages.since_send + RESOLUTION >= 3 * STEP, "{ages:?}");
    assert!(ages.since_receive + RESOLUTION >= STEP, "{ages:?}");
    assert!(ages.since_receive < ages.since_send, "{ages:?}");
}

#[test]
fn a_socket_of_another_family_has_no_ages() {
    let (one, _other) = UnixStream::pair().expect("create a pair of sockets");
    assert_eq!(connection_ages(one.as_fd()), None);
}
