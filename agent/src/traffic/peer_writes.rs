//! How much a peer on the same machine has written to a connection, by the system's table of connections (sock_diag(7)). What
//! the peer's own send buffer holds is seen nowhere else.

use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{netlink, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::cell::OnceCell;
use std::net::{SocketAddr, SocketAddrV4};
use tokio::net::TcpStream;

// The layout of messages, as in the kernel's `netlink.h` and `inet_diag.h`. Numbers are in the order of the machine's bytes,
// ports and addresses in that of the network.
const MESSAGE_HEADER_BYTES: usize = 16;
const REQUEST_BYTES: usize = MESSAGE_HEADER_BYTES + 56;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const IPPROTO_TCP: u8 = 6;
const ALL_STATES: u32 = u32::MAX;
/// The place of an address of either family.
const ADDRESS_BYTES: usize = 16;
const NO_INTERFACE: u32 = 0;
const NO_COOKIE: [u8; 8] = [u8::MAX; 8];
/// Asks for [`INET_DIAG_INFO`]: one bit for each attribute, from the first one on.
const WITH_INFO: u8 = 1 << (INET_DIAG_INFO - 1);
/// The attribute with the connection's `tcp_info`.
const INET_DIAG_INFO: u16 = 2;
const WRITE_QUEUE_OFFSET: usize = MESSAGE_HEADER_BYTES + 60;
const ATTRIBUTES_OFFSET: usize = MESSAGE_HEADER_BYTES + 72;
const ATTRIBUTE_HEADER_BYTES: usize = 4;
const ATTRIBUTE_ALIGNMENT: usize = 4;
/// The offset of `tcpi_bytes_acked` in `tcp_info`.
const BYTES_ACKED_OFFSET: usize = 120;
/// More than a response has.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

thread_local! {
    /// The socket for queries; `None` if the system does not provide the table.
    static TABLE: OnceCell<Option<OwnedFd>> = const { OnceCell::new() };
}

/// How many bytes the peer of a connection has written since it was established, wherever they are now, give or take one that is
/// the same at each call. `None` if the peer is on another machine, or the system does not tell.
pub fn written_by_peer(stream: &TcpStream) -> Option<u64> {
    let (SocketAddr::V4(peer), SocketAddr::V4(local)) = (stream.peer_addr().ok()?, stream.local_addr().ok()?)
    else {
        return None;
    };
    TABLE.with(|table| {
        let table = table.get_or_init(|| open_table().ok()).as_ref()?;
        let response = query(table, &request(peer, local)).ok()?;
        parse_written(&response)
    })
}

fn open_table() -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    rustix::net::socket_with(AddressFamily::NETLINK, SocketType::RAW, flags, Some(netlink::SOCK_DIAG))
}

/// Sends a request, which the system answers before the call returns.
fn query(table: &OwnedFd, request: &[u8]) -> Result<Vec<u8>, Errno> {
    rustix::net::send(table, request, SendFlags::empty())?;
    let mut response = vec![0; MAX_RESPONSE_BYTES];
    let (length, _) = rustix::net::recv(table, &mut response[..], RecvFlags::DONTWAIT)?;
    response.truncate(length);
    Ok(response)
}

/// The request for the entry of the socket at `source` that is connected to `destination`.
fn request(source: SocketAddrV4, destination: SocketAddrV4) -> Vec<u8> {
    let address = |address: SocketAddrV4| {
        let mut bytes = [0; ADDRESS_BYTES];
        bytes[..4].copy_from_slice(&address.ip().octets());
        bytes
    };
    let (sequence_number, port_id) = (0u32, 0u32);
    let mut request = Vec::with_capacity(REQUEST_BYTES);
    request.extend((REQUEST_BYTES as u32).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend(sequence_number.to_ne_bytes());
    request.extend(port_id.to_ne_bytes());
    request.extend([AddressFamily::INET.as_raw() as u8, IPPROTO_TCP, WITH_INFO, 0]);
    request.extend(ALL_STATES.to_ne_bytes());
    request.extend(source.port().to_be_bytes());
    request.extend(destination.port().to_be_bytes());
    request.extend(address(source));
    request.extend(address(destination));
    request.extend(NO_INTERFACE.to_ne_bytes());
    request.extend(NO_COOKIE);
    request
}

/// The bytes that a socket has written, by its entry: those that are acknowledged and those that are not. `None` if there is no
/// such socket.
fn parse_written(response: &[u8]) -> Option<u64> {
    let message_type = u16::from_ne_bytes(response.get(4..6)?.try_into().ok()?);
    if message_type != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let write_queue = response.get(WRITE_QUEUE_OFFSET..WRITE_QUEUE_OFFSET + 4)?;
    let unacknowledged = u32::from_ne_bytes(write_queue.try_into().ok()?);
    let info = attribute(response.get(ATTRIBUTES_OFFSET..)?, INET_DIAG_INFO)?;
    let acknowledged = info.get(BYTES_ACKED_OFFSET..BYTES_ACKED_OFFSET + 8)?;
    Some(u64::from_ne_bytes(acknowledged.try_into().ok()?) + u64::from(unacknowledged))
}

/// The contents of the attribute of this type.
fn attribute(mut attributes: &[u8], wanted_type: u16) -> Option<&[u8]> {
    loop {
        let length = u16::from_ne_bytes(attributes.get(..2)?.try_into().ok()?) as usize;
        let attribute_type = u16::from_ne_bytes(attributes.get(2..4)?.try_into().ok()?);
        let contents = attributes.get(ATTRIBUTE_HEADER_BYTES..length)?;
        if attribute_type == wanted_type {
            return Some(contents);
        }
        attributes = attributes.get(length.next_multiple_of(ATTRIBUTE_ALIGNMENT)..)?;
    }
}

#[cfg(test)]
mod tests;
