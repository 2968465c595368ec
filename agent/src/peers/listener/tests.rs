use super::*;
use std::os::fd::IntoRawFd;

#[test]
fn an_inherited_listener_is_adopted_and_nothing_else_is() {
    let adopted =
        |text: &str| inherited_listener(|name| (name == "PROXY_LISTEN_FD").then(|| text.to_owned()));
    assert!(adopted("").expect("none").is_none());
    let file = fs::File::open("/proc/self/status").expect("a file").into_raw_fd().to_string();
    for text in ["x", "-1", "0", "99999", &file] {
        assert!(adopted(text).is_err(), "{text}");
    }
    let bound = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = bound.local_addr().expect("an address");
    let listener = adopted(&bound.into_raw_fd().to_string()).expect("a listener").expect("one");
    assert_eq!(listener.local_addr().expect("an address"), address);
}
