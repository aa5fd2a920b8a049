//! Tests a proxy that loses the datagrams of chosen senders and forwards all others.
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use test_servers::udp::UdpProxy;

#[test]
fn datagrams_are_forwarded_except_from_cut_senders() {
    let proxy = UdpProxy::start();
    let (sender, receiver) =
        (UdpSocket::bind("127.0.0.1:0").expect("sender"), UdpSocket::bind("127.0.0.1:0").expect("receiver"));
    let Ok(SocketAddr::V4(to)) = receiver.local_addr() else { panic!("not an IPv4 address") };
    receiver.set_read_timeout(Some(Duration::from_secs(5))).expect("read timeout is set");
    proxy.set_target(to);
    let mut bytes = [0; 16];
    sender.send_to(b"one", proxy.addr).expect("datagram is sent");
    assert_eq!(receiver.recv(&mut bytes).expect("first datagram"), 3);
    proxy.update_faults(|f| f.cut_from = vec![sender.local_addr().expect("sender's address")]);
    sender.send_to(b"lost", proxy.addr).expect("datagram is sent");
    let other_sender = UdpSocket::bind("127.0.0.1:0").expect("other sender");
    other_sender.send_to(b"other", proxy.addr).expect("datagram is sent");
    // The datagram of `other_sender` is received; the earlier datagram of `sender`, which is cut off, is
    // lost.
    assert_eq!(receiver.recv(&mut bytes).expect("other sender's datagram"), 5);
    assert_eq!(proxy.counts().lost, 1);
}
