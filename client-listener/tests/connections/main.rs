//! Client connections on loopback sockets, and how they close: every command is either rejected or executed,
//! and the response to an executed command arrives complete.
mod closing;
mod limits;
mod shutdown;
mod support;
