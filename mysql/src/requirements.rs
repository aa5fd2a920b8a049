//! What a request requires, from its statement's comment or from the first rule of the configuration that its text begins
//! with.
use crate::errors::{CommandError, UNSUPPORTED};
use crate::statement::ScannedStatement;
use settings::operator::MysqlConfig;

/// Fields of a statement's comment: class, group, wait in milliseconds, session and tenant.
const CLASS_FIELD: &str = "c";
const GROUP_FIELD: &str = "cluster";
const WAIT_FIELD: &str = "d";
const SESSION_FIELD: &str = "s";
const TENANT_FIELD: &str = "t";
/// The longest that a client may wait, in milliseconds: a day.
const MAX_WAIT_MS: u64 = 86_400_000;

/// What a request requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Its class.
    pub class: usize,
    /// Its group.
    pub group: u32,
    /// The name of its session; `None` if the connection is its session.
    pub session: Option<String>,
    /// The tenant that its comment names.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
}

impl Requirements {
    /// What a statement requires. One that no comment and no rule gives a class is a write that must not run twice.
    ///
    /// # Errors
    /// The statement may write though its class only reads, or its comment has a malformed number.
    pub fn of(statement: &ScannedStatement, mysql: &MysqlConfig) -> Result<Requirements, CommandError> {
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
        })
    }
}

/// The number in a field of the statement's comment, if the comment has the field.
fn comment_number(statement: &ScannedStatement, name: &str) -> Result<Option<u64>, CommandError> {
    let Some(value) = statement.comment_field(name) else { return Ok(None) };
    let number = value.parse();
    number.map(Some).map_err(|_| CommandError::new(UNSUPPORTED, format!("the comment's {name} is no number")))
}
