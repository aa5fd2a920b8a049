//! Datagrams through a proxy that loses them on purpose.
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use test_servers::udp::UdpProxy;

#[test]
fn datagrams_are_forwarded_except_from_cut_senders() {
    let proxy = UdpProxy::start();
    let (near, far) =
        (UdpSocket::bind("127.0.0.1:0").expect("near"), UdpSocket::bind("127.0.0.1:0").expect("far"));
    let Ok(SocketAddr::V4(to)) = far.local_addr() else { panic!("an IPv4 address") };
    far.set_read_timeout(Some(Duration::from_secs(5))).expect("a bound");
    proxy.set_target(to);
    let mut bytes = [0; 16];
    near.send_to(b"one", proxy.addr).expect("sent");
    assert_eq!(far.recv(&mut bytes).expect("the first"), 3);
    proxy.update_faults(|f| f.cut_from = vec![near.local_addr().expect("its address")]);
    near.send_to(b"lost", proxy.addr).expect("sent");
    let other = UdpSocket::bind("127.0.0.1:0").expect("other");
    other.send_to(b"other", proxy.addr).expect("sent");
    // The datagram of the other arrives, and the one before it does not.
    assert_eq!(far.recv(&mut bytes).expect("the other's"), 5);
    assert_eq!(proxy.counts().lost, 1);
}
