//! Fake servers and fault-injecting proxies for tests and benches; all of them run on loopback and are
//! controlled by the test.
//!
//! - [`replication_group`]: `MySQL` servers of one replication group.
//! - [`registry`]: a key-value registry with the interfaces of etcd and Consul.
//! - [`proxy`] and [`udp`]: proxies that cut, delay, reset or lose connections and datagrams.
//! - [`session_server`]: a `MySQL` server that keeps real session state.
//! - [`wire`]: the server side of the `MySQL` protocol.
pub mod proxy;
pub mod registry;
pub mod replication_group;
pub mod session_server;
pub mod udp;
pub mod wire;
