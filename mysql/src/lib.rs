//! The `MySQL` wire protocol with prepared statements: protocol 4.1, handshake 10, text and binary rows.
//!
//! [`front`] serves clients and [`backend`] connects to servers, each with its side of the login ([`login`] is the
//! client's). [`packet`] and [`fields`] know the framing, [`handshake`], [`auth`] and [`capability`] the login,
//! [`command`], [`results`] and [`errors`] what follows it. [`statement`] and [`requirements`] say what a text asks for,
//! [`prepared`] and [`cursor`] hold what clients have prepared and opened, and [`request`] is what the two sides exchange
//! through the routing core. [`clock_sampler`] follows the servers' clocks, and a [`tap`] sees what clients and the
//! router send each other.
pub mod auth;
pub mod backend;
pub mod capability;
pub mod clock_sampler;
pub mod command;
pub mod cursor;
pub mod errors;
pub mod fields;
pub mod front;
pub mod handshake;
pub mod login;
pub mod packet;
pub mod prepared;
pub mod protocol;
pub mod request;
pub mod requirements;
pub mod results;
pub mod statement;
pub mod tap;
