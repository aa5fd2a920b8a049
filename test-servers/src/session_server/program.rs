//! Stored programs, and the other statements of the server.
use super::Shared;
use super::session::Session;

/// Error code for a table that does not exist.
const ERROR_NO_TABLE: u16 = 1146;
/// Error code for a lock that was waited for too long.
const ERROR_LOCK_WAIT_TIMEOUT: u16 = 1205;
/// Name of the lock that programs take.
const LOCK: &str = "stocktaking";
/// Name of the temporary table that programs create.
const TEMPORARY_TABLE: &str = "scratch";

/// Result of a program.
pub(super) enum ProgramResult {
    Done,
    /// A row with this value.
    Value(String),
    /// An error with this code.
    Error(u16),
}

/// Runs a statement; returns `None` if there is no such program.
pub(super) fn run(
    session: &mut Session,
    shared: &mut Shared,
    statement: &str,
    argument: &str,
) -> Option<ProgramResult> {
    let name =
        statement.strip_prefix("call ").or_else(|| statement.strip_prefix("select ")).unwrap_or(statement);
    let name = name.split(['(', ' ']).next().unwrap_or("");
    match name {
        "place_order" => place_order(session, shared, argument),
        // Its second statement waits too long for a lock, which ends the procedure and not its transaction.
        "fail_in_transaction" => {
            open_transaction(session, shared, argument);
            return Some(ProgramResult::Error(ERROR_LOCK_WAIT_TIMEOUT));
        }
        "leave_transaction_open" => open_transaction(session, shared, argument),
        "end_autocommit" => session.autocommit = false,
        "create_scratch" => _ = session.temporary_tables.insert(TEMPORARY_TABLE.to_string()),
        "remember_member" => session.member = Some(argument.to_string()),
        "lock_stock" => _ = shared.locks.insert(LOCK.to_string(), session.number),
        "scratch_rows" => return Some(scratch_rows(session)),
        "remembered_member" => return Some(value(session.member.clone())),
        "stock_is_free" => {
            let holder = shared.locks.get(LOCK).filter(|holder| **holder != session.number);
            let is_own = shared.locks.get(LOCK) == Some(&session.number);
            let text = if is_own {
                "own"
            } else if holder.is_some() {
                "taken"
            } else {
                "free"
            };
            return Some(value(Some(text.to_string())));
        }
        "last_id" => return Some(value(Some(session.last_insert_id.to_string()))),
        "last_warning" => return Some(value(session.warnings.first().cloned())),
        _ => return None,
    }
    Some(ProgramResult::Done)
}

fn place_order(session: &mut Session, shared: &mut Shared, order: &str) {
    session.in_transaction = true;
    session.insert(shared, order);
    session.commit(shared);
}

fn open_transaction(session: &mut Session, shared: &mut Shared, order: &str) {
    session.in_transaction = true;
    session.insert(shared, order);
}

fn scratch_rows(session: &Session) -> ProgramResult {
    if session.temporary_tables.contains(TEMPORARY_TABLE) {
        value(Some("another client's rows".to_string()))
    } else {
        ProgramResult::Error(ERROR_NO_TABLE)
    }
}

fn value(value: Option<String>) -> ProgramResult {
    ProgramResult::Value(value.unwrap_or_else(|| "none".to_string()))
}
