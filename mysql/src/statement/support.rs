//! Statements that cannot run on server connections that clients share.
//!
//! Each connection is reset between two requests, so that none of them meets another one's session
//! (`backend::session_reset`). The statements that are rejected here would not do what their clients expect
//! of them: what they set would be gone, and what they read would not be their own.
use super::ScannedStatement;

const TRANSACTIONS: &str = "transactions are not carried: each statement is routed and committed by itself";
const SESSION_STATE: &str =
    "statements that set session state are not carried: server connections are shared";
const FILES: &str = "files are not carried";
const SESSION_VALUES: &str =
    "functions of the server's session are not carried: server connections are shared";
const SEVERAL_STATEMENTS: &str = "several statements in one text are not carried";
const OTHER_CONNECTIONS: &str =
    "statements about other connections are not carried: their numbers are the server's";

/// Functions whose result or effect belongs to the server session.
const SESSION_FUNCTIONS: [&str; 15] = [
    "last_insert_id",
    "found_rows",
    "row_count",
    "get_lock",
    "release_lock",
    "release_all_locks",
    "connection_id",
    "ps_current_thread_id",
    "lastval",
    "service_get_read_locks",
    "service_get_write_locks",
    "service_release_locks",
    "version_tokens_lock_shared",
    "version_tokens_lock_exclusive",
    "version_tokens_unlock",
];

/// System variables whose value an earlier statement of the session leaves.
const SESSION_VARIABLES: [&str; 11] = [
    "identity",
    "last_insert_id",
    "insert_id",
    "warning_count",
    "error_count",
    "in_transaction",
    "last_gtid",
    "pseudo_thread_id",
    "rand_seed1",
    "rand_seed2",
    "gtid_next",
];

/// Objects whose definition is a program, which may hold several statements.
const PROGRAMS: [&str; 5] = ["procedure", "function", "trigger", "event", "package"];

/// Returns why a statement is not supported, and `None` if it is.
pub(super) fn unsupported_feature(statement: &ScannedStatement) -> Option<&'static str> {
    // Whether a server runs an executable comment depends on its version, so both readings have to be supported.
    let in_unconditional = statement.unconditional.as_deref().and_then(unsupported_feature);
    unsupported_statement(statement)
        .or_else(|| several_statements(statement))
        .or_else(|| sets_session_state(statement).then_some(SESSION_STATE))
        .or_else(|| uses_session_value(statement).then_some(SESSION_VALUES))
        .or(in_unconditional)
}

fn unsupported_statement(statement: &ScannedStatement) -> Option<&'static str> {
    let mut words = statement.words();
    let (first, second) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    match (first, second) {
        ("begin" | "commit" | "rollback" | "savepoint" | "release" | "xa", _) | ("start", "transaction") => {
            Some(TRANSACTIONS)
        }
        ("set", _) if statement.sets_default_state() => None,
        (
            "set" | "use" | "lock" | "unlock" | "prepare" | "execute" | "deallocate" | "handler" | "backup",
            _,
        ) => Some(SESSION_STATE),
        ("load", _) => Some(FILES),
        ("kill", _) => Some(OTHER_CONNECTIONS),
        ("explain" | "describe" | "desc", _) if statement.normalized.contains("for connection ") => {
            Some(OTHER_CONNECTIONS)
        }
        ("get", _) | ("show", "warnings" | "errors") => Some(SESSION_VALUES),
        ("show", "count") if statement.words().any(|word| matches!(word, "warnings" | "errors")) => {
            Some(SESSION_VALUES)
        }
        _ => None,
    }
}

fn several_statements(statement: &ScannedStatement) -> Option<&'static str> {
    let defines_program = matches!(statement.words().next(), Some("create" | "alter"))
        && statement.words().any(|word| PROGRAMS.contains(&word));
    (statement.has_text_after_semicolon && !defines_program).then_some(SEVERAL_STATEMENTS)
}

fn sets_session_state(statement: &ScannedStatement) -> bool {
    let is_user_variable = |word: &str| word.starts_with('@') && !word.starts_with("@@");
    let first = statement.words().next().unwrap_or("");
    statement.normalized.contains(":=")
        || statement.words().any(is_user_variable)
        || matches!(first, "create" | "drop") && names_temporary_table(statement)
        || first == "flush" && keeps_lock(statement)
}

fn names_temporary_table(statement: &ScannedStatement) -> bool {
    let words: Vec<&str> = statement.words().collect();
    words.windows(2).any(|pair| matches!(pair, ["temporary", "table" | "sequence"]))
}

/// Returns whether a `FLUSH` keeps a lock until the session releases it.
fn keeps_lock(statement: &ScannedStatement) -> bool {
    let words: Vec<&str> = statement.words().collect();
    words.ends_with(&["with", "read", "lock"]) || words.ends_with(&["for", "export"])
}

fn uses_session_value(statement: &ScannedStatement) -> bool {
    // Names may be quoted, and white space may precede an opening bracket and surround a dot.
    let text = statement.normalized.replace('`', "").replace(" (", "(").replace(" .", ".").replace(". ", ".");
    calls_session_function(&text) || reads_session_variable(&text)
}

fn calls_session_function(text: &str) -> bool {
    text.match_indices('(').any(|(offset, _)| {
        let name = text[..offset].rsplit(|c| !is_name_char(c)).next().unwrap_or("");
        SESSION_FUNCTIONS.contains(&name)
    })
}

fn reads_session_variable(text: &str) -> bool {
    text.match_indices("@@").any(|(offset, prefix)| {
        let rest = &text[offset + prefix.len()..];
        let name = rest.split(|c| !is_name_char(c) && c != '.').next().unwrap_or("");
        let name = name.rsplit('.').next().unwrap_or("");
        SESSION_VARIABLES.contains(&name)
    })
}

fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '_' | '$')
}
