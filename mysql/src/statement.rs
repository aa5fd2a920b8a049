//! What a statement's text asks for: what its comment says, whether it may be carried at all, and which rule of
//! the configuration it falls under.
use crate::errors::{Code, NOT_CARRIED};
use settings::operator::MysqlConfig;

/// A statement's text, taken apart.
#[derive(Debug, Default)]
pub struct Scan {
    /// The text in small letters with single spaces, without comments; quoted texts stand as `''`.
    pub plain: String,
    /// Places for parameters.
    pub parameters: u16,
    /// Names and values of its comments.
    pub said: Vec<(String, String)>,
}

/// Takes a text apart. What stands in quotes or comments is never taken for a word or for a parameter.
pub fn scan(text: &str) -> Scan {
    let mut scan = Scan::default();
    let mut rest = text.char_indices().peekable();
    let mut comment = String::new();
    while let Some((at, c)) = rest.next() {
        let ahead = &text[at..];
        match c {
            '\'' | '"' | '`' => {
                scan.plain.push(c);
                while let Some((_, q)) = rest.next() {
                    if q == '\\' && c != '`' {
                        rest.next();
                    } else if q == c {
                        // A doubled quote stands for itself and does not end the text.
                        if rest.next_if(|(_, n)| *n == c).is_none() {
                            break;
                        }
                    } else if c == '`' {
                        scan.plain.extend(q.to_lowercase());
                    }
                }
                scan.plain.push(c);
            }
            '/' if ahead.starts_with("/*") && !ahead.starts_with("/*!") => {
                let length = ahead.find("*/").map_or(ahead.len(), |n| n + 2);
                comment.push_str(ahead[2..length].trim_end_matches("*/"));
                comment.push(',');
                while rest.next_if(|(n, _)| *n < at + length).is_some() {}
                scan.space();
            }
            '#' => while rest.next_if(|(_, n)| *n != '\n').is_some() {},
            '-' if ahead.starts_with("-- ") || ahead.starts_with("--\n") => {
                while rest.next_if(|(_, n)| *n != '\n').is_some() {}
            }
            c if c.is_whitespace() => scan.space(),
            '?' => {
                scan.parameters = scan.parameters.saturating_add(1);
                scan.plain.push('?');
            }
            c => scan.plain.extend(c.to_lowercase()),
        }
    }
    scan.plain.truncate(scan.plain.trim_end_matches([' ', ';']).len());
    let pairs = comment.split(',').filter_map(|p| p.split_once('='));
    scan.said = pairs.map(|(n, v)| (n.trim().to_string(), v.trim().to_string())).collect();
    scan
}

impl Scan {
    fn space(&mut self) {
        if !self.plain.is_empty() && !self.plain.ends_with(' ') {
            self.plain.push(' ');
        }
    }

    /// What a comment says under a name.
    pub fn says(&self, name: &str) -> Option<&str> {
        self.said.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn words(&self) -> impl Iterator<Item = &str> {
        self.plain.split(|c: char| !(c.is_alphanumeric() || matches!(c, '_' | '@'))).filter(|w| !w.is_empty())
    }

    /// Whether it only reads: any other is never sent anywhere but to a primary, and never twice.
    pub fn reads(&self) -> bool {
        let first = self.words().next().unwrap_or("");
        let changes = ["insert", "update", "delete", "replace"];
        match first {
            "select" | "show" | "describe" | "desc" | "explain" | "table" | "values" => true,
            "with" => !self.words().any(|w| changes.contains(&w)),
            _ => false,
        }
    }

    /// Why it can't be carried: connections to servers are shared, so nothing may be left on one of them.
    pub fn refused(&self) -> Option<(Code, &'static str)> {
        const TRANSACTION: &str =
            "transactions are not carried: each statement is routed and committed by itself";
        const SESSION: &str =
            "statements that set session state are not carried: server connections are shared";
        let mut words = self.words();
        let (first, second) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let why = match (first, second) {
            ("begin" | "commit" | "rollback" | "savepoint" | "release" | "xa", _)
            | ("start", "transaction") => TRANSACTION,
            ("set", _) if self.sets_what_is_set() => return None,
            ("set" | "use" | "lock" | "unlock" | "prepare" | "execute" | "deallocate" | "handler", _) => {
                SESSION
            }
            ("create", "temporary") | ("drop", "temporary") => SESSION,
            ("load", _) => "files are not carried",
            _ if self.plain.contains(":=")
                || self.words().any(|w| w.starts_with('@') && !w.starts_with("@@")) =>
            {
                SESSION
            }
            _ if self.words().any(|w| {
                let own = [
                    "last_insert_id",
                    "found_rows",
                    "row_count",
                    "get_lock",
                    "release_lock",
                    "connection_id",
                ];
                own.contains(&w) && self.plain.contains(&format!("{w}("))
            }) =>
            {
                "functions of the server's session are not carried: server connections are shared"
            }
            _ => return None,
        };
        Some((NOT_CARRIED, why))
    }

    /// A SET of what every connection has anyway: drivers send these when they connect.
    pub fn sets_what_is_set(&self) -> bool {
        let plain = self.plain.replace(" = ", "=").replace("session ", "").replace("@@", "");
        let same = ["set names utf8mb4", "set autocommit=1", "set autocommit=on"];
        same.contains(&plain.as_str())
    }

    /// The system variables that a SELECT of nothing else asks for, with the router's own values.
    pub fn variables(&self, max_allowed_packet: usize) -> Option<Vec<(String, String)>> {
        let list = self.plain.strip_prefix("select ")?;
        let list = list.strip_suffix(" limit 1").unwrap_or(list);
        list.split(',')
            .map(|name| {
                let name = name.trim().strip_prefix("@@")?;
                let value = match name.trim_start_matches("session.").trim_start_matches("global.") {
                    "max_allowed_packet" => max_allowed_packet.to_string(),
                    "wait_timeout" | "interactive_timeout" => "28800".into(),
                    "version" => "8.0.36-damsonvale".into(),
                    "version_comment" => "damsonvale".into(),
                    "autocommit" => "1".into(),
                    "character_set_client" | "character_set_connection" | "character_set_results" => {
                        "utf8mb4".into()
                    }
                    _ => return None,
                };
                Some((format!("@@{name}"), value))
            })
            .collect()
    }
}

/// What a request needs, from its comment or from the first rule that its text begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Its class.
    pub class: usize,
    /// Its group.
    pub group: u32,
    /// What names its session; `None` leaves it to the connection.
    pub session: Option<String>,
    /// The tenant that its comment names.
    pub tenant: Option<String>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
}

/// What a statement needs. What nobody has named is a write that must not run twice.
pub fn need(scan: &Scan, mysql: &MysqlConfig) -> Result<Need, (Code, String)> {
    let rule = mysql.rules.iter().find(|r| scan.plain.starts_with(&r.prefix));
    let named = match scan.says("c") {
        Some(name) => mysql.class_names.iter().position(|c| c == name),
        None => rule.map(|r| r.class),
    };
    let class = named.unwrap_or(mysql.unknown_class);
    if mysql.class_is_read[class] && !scan.reads() {
        let text = format!("class '{}' only reads, and this statement may write", mysql.class_names[class]);
        return Err((NOT_CARRIED, text));
    }
    let number = |name: &str| match scan.says(name) {
        Some(v) => v
            .parse::<u64>()
            .map(Some)
            .map_err(|_| (NOT_CARRIED, format!("the comment's {name} is no number"))),
        None => Ok(None),
    };
    let group = number("cluster")?.unwrap_or(u64::from(rule.map_or(mysql.default_group, |r| r.group)));
    Ok(Need {
        class,
        group: group as u32,
        session: scan.says("s").map(str::to_string),
        tenant: scan.says("t").map(str::to_string),
        wait_ms: number("d")?.unwrap_or(mysql.class_deadlines_ms[class]).min(86_400_000),
    })
}
