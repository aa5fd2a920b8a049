//! Nodes in one process on real sockets, with clients that are no nodes. The links between nodes go through proxies
//! that can be cut.
mod connections;
mod leadership;
mod leases;
mod recovery;
mod support;
mod watches;
mod writes;
