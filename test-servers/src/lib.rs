//! Stand-ins for what lies outside: MySQL servers that replicate among themselves ([`fleet`]), and a network that can
//! be cut ([`proxy`], and [`udp`] for datagrams), and a key-value registry ([`registry`]). Scripted, on loopback, and
//! deterministic where a test needs it.
pub mod proxy;
pub mod registry;
pub mod replication_group;
pub mod udp;
pub mod wire;
