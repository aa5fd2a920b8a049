//! Several nodes in one process, connected by real sockets, and clients of them. The connections between
//! nodes pass through proxies that can be cut.
mod connections;
mod leadership;
mod leases;
mod recovery;
mod support;
mod watches;
mod writes;
