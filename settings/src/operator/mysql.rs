//! The table `[mysql]`: the `MySQL` front end with its users, classes, rules and servers, and the program
//! limits and settings of the decision logic that are derived from it.
mod bounds;
mod classes;
mod config;

pub(super) use config::read_mysql;
pub use config::{MysqlConfig, Server, StatementRule};
