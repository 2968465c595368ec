use super::*;
use std::os::fd::IntoRawFd;

#[test]
fn only_an_open_socket_is_adopted_as_the_inherited_listener() {
    let adopt_descriptor =
        |value: &str| inherited_listener(|name| (name == "PROXY_LISTEN_FD").then(|| value.to_owned()));
    assert!(adopt_descriptor("").expect("none").is_none());
    let file = fs::File::open("/proc/self/status").expect("a file").into_raw_fd().to_string();
    for value in ["x", "-1", "0", "99999", &file] {
        assert!(adopt_descriptor(value).is_err(), "{value}");
    }
    let bound = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = bound.local_addr().expect("an address");
    let listener = adopt_descriptor(&bound.into_raw_fd().to_string()).expect("a listener").expect("one");
    assert_eq!(listener.local_addr().expect("an address"), address);
}
