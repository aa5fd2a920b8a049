//! Clients' connections on loopback sockets, and how they close: a command that a client sent is carried out or never
//! accepted, and its response arrives complete.
mod closing;
mod limits;
mod shutdown;
mod support;
