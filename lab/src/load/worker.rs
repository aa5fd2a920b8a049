//! A connection of a load.
use super::arguments::LoadArguments;
use super::outcome::Outcomes;
use super::schedule::ScheduledStatement;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Environment variable that contains the user's password.
const PASSWORD_VARIABLE: &str = "DAMSONVALE_PASSWORD";

/// Sends statements at their scheduled times until the schedule is empty. After an error, the next statement
/// is sent over a new connection.
pub(super) fn run(
    arguments: &LoadArguments,
    load_start: Instant,
    schedule: &Mutex<Receiver<ScheduledStatement>>,
) -> Outcomes {
    let options = connection_options(arguments);
    let mut outcomes = Outcomes::default();
    let mut idle_connection: Option<Conn> = None;
    loop {
        let next = schedule.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(statement) = next else { return outcomes };
        let due = load_start + statement.due;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        let connected = idle_connection.take().map_or_else(|| Conn::new(options.clone()), Ok);
        let result = connected.and_then(|mut conn| conn.query_drop(&statement.sql).map(|()| conn));
        match result {
            Ok(conn) => {
                idle_connection = Some(conn);
                outcomes.record_response(due.elapsed(), sent.elapsed());
            }
            Err(error) => outcomes.record_error(describe(error)),
        }
    }
}

fn connection_options(arguments: &LoadArguments) -> OptsBuilder {
    OptsBuilder::new()
        .ip_or_hostname(Some(arguments.router.ip().to_string()))
        .tcp_port(arguments.router.port())
        .prefer_socket(false)
        .user(Some(&arguments.user))
        .pass(std::env::var(PASSWORD_VARIABLE).ok())
        .db_name(Some(&arguments.database))
}

fn describe(error: mysql::Error) -> String {
    match error {
        mysql::Error::MySqlError(error) => format!("{} ({})", error.code, error.state),
        other => other.to_string(),
    }
}
