//! Tests of the watch over real sockets, between a scripted discovery agent on loopback and the endpoint
//! list's actor. Short timeouts make a watch stale after 200 ms. Tests wait for messages, not for times; only
//! a failing test runs into a timeout.
mod request;
mod staleness;
mod stream;
mod support;
mod versions;
