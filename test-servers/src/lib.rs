//! Fake servers and fault proxies for tests and benches, all on loopback and scripted.
//!
//! - [`replication_group`]: `MySQL` servers that replicate among themselves.
//! - [`registry`]: a key-value registry that speaks etcd's and Consul's interfaces.
//! - [`proxy`] and [`udp`]: connections and datagrams that can be cut, delayed or lost.
//! - [`wire`]: the server's side of `MySQL`'s protocol.
pub mod proxy;
pub mod registry;
pub mod replication_group;
pub mod udp;
pub mod wire;
