//! `MySQL` wire protocol with prepared statements: protocol 4.1, handshake version 10, and text and binary
//! rows.
//!
//! [`front`] serves clients and [`backend`] connects to servers; [`login`] is the client side of the login.
//! [`packet`] and [`fields`] implement the framing, [`handshake`], [`auth`] and [`capability`] the connection
//! phase, and [`command`], [`results`] and [`errors`] the command phase. [`statement`] parses statements,
//! [`requirements`] derives their routing requirements, and [`prepared`] and [`cursor`] hold the clients'
//! prepared statements and cursors. [`request`] defines the messages that the two sides exchange through the
//! routing core. [`clock_sampler`] measures the offsets of the servers' clocks, and a [`tap`] observes the
//! traffic between clients and the router.
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
