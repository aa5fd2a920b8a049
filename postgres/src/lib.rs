//! The platform's wire: PostgreSQL's protocol, version 3, simple queries only.
//!
//! [`front`] speaks with clients and [`link`] with instances, whose answers [`answer`] takes in; all stand on [`message`]
//! for framing and on [`statement`] for what a query's comment says.
pub mod answer;
pub mod front;
pub mod link;
pub mod message;
pub mod statement;
