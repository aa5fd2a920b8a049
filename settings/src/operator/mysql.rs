//! The table `[mysql]`: the `MySQL` front, its users, classes, rules and servers, and the bounds and decision settings
//! that follow from it.
mod bounds;
mod classes;
mod config;

pub(super) use config::read_mysql;
pub use config::{MysqlConfig, Server, StatementRule};
