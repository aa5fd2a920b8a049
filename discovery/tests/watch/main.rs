//! The watch over real sockets, between a scripted agent on loopback and the actor of the list. The limits are small,
//! so that a stale watch is noticed in 200 ms. Each wait is for a message; only a failure reaches its bound.
mod request;
mod staleness;
mod stream;
mod support;
mod versions;
