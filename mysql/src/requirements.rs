//! Routing requirements of a request. They are taken from the statement's comments, and otherwise from the
//! first configured rule whose prefix matches the statement.
use crate::errors::{CommandError, UNSUPPORTED};
use crate::statement::ScannedStatement;
use settings::operator::MysqlConfig;

/// Names of the fields in a statement's comments: class, group, wait time in milliseconds, session and
/// tenant.
const CLASS_FIELD: &str = "c";
const GROUP_FIELD: &str = "cluster";
const WAIT_FIELD: &str = "d";
const SESSION_FIELD: &str = "s";
const TENANT_FIELD: &str = "t";
/// Maximum time that a client may wait, in milliseconds: one day.
const MAX_WAIT_MS: u64 = 86_400_000;

/// Routing requirements of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Index of the request's class.
    pub class: usize,
    /// Number of the replication group.
    pub group: u32,
    /// Name of the session. `None` if the connection is the session.
    pub session: Option<String>,
    /// Tenant that a comment names.
    pub tenant: Option<String>,
    /// Time that the client waits for a response, in milliseconds.
    pub wait_ms: u64,
    /// Whether the statement may run in part before it fails.
    pub may_run_partially: bool,
}

impl Requirements {
    /// Derives the requirements of a statement. If neither a comment nor a rule determines the class, the
    /// statement is treated as a write that must not be retried.
    ///
    /// # Errors
    /// The statement may write although its class is read-only, or a comment contains a malformed number.
    pub fn from_statement(
        statement: &ScannedStatement,
        mysql: &MysqlConfig,
    ) -> Result<Requirements, CommandError> {
        let rule = mysql.rules.iter().find(|rule| statement.normalized.starts_with(&rule.prefix));
        let named_class = match statement.comment_field(CLASS_FIELD) {
            Some(name) => mysql.class_names.iter().position(|class| class == name),
            None => rule.map(|rule| rule.class),
        };
        let class = named_class.unwrap_or(mysql.unknown_class);
        if mysql.class_is_read[class] && !statement.is_read_only() {
            let text =
                format!("class '{}' only reads, and this statement may write", mysql.class_names[class]);
            return Err(CommandError::new(UNSUPPORTED, text));
        }
        let default_group = rule.map_or(mysql.default_group, |rule| rule.group);
        let group = comment_number(statement, GROUP_FIELD)?.unwrap_or(u64::from(default_group));
        let wait_ms = comment_number(statement, WAIT_FIELD)?.unwrap_or(mysql.class_deadlines_ms[class]);
        Ok(Requirements {
            class,
            group: group as u32,
            session: statement.comment_field(SESSION_FIELD).map(str::to_string),
            tenant: statement.comment_field(TENANT_FIELD).map(str::to_string),
            wait_ms: wait_ms.min(MAX_WAIT_MS),
            may_run_partially: !statement.is_atomic(),
        })
    }
}

/// Parses the number in a comment field. Returns `Ok(None)` if no comment contains the field.
fn comment_number(statement: &ScannedStatement, name: &str) -> Result<Option<u64>, CommandError> {
    let Some(value) = statement.comment_field(name) else { return Ok(None) };
    let number = value.parse();
    number.map(Some).map_err(|_| CommandError::new(UNSUPPORTED, format!("the comment's {name} is no number")))
}
