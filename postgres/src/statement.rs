//! A query and what its comment says, found in place: the waiting time can be replaced without a copy of the rest.
use std::ops::Range;

/// The longest id of a request, in bytes.
const MAX_ID_BYTES: usize = 64;

/// A query as a client wrote it, with what its comment says.
#[derive(Debug)]
pub struct Statement {
    /// The whole message, tag and length included.
    message: Vec<u8>,
    /// Where the digits of `d` stand in the message.
    wait: Range<usize>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    id: Range<usize>,
    class: Range<usize>,
    key: Option<Range<usize>>,
    /// The cluster that it is for.
    pub group: u32,
    /// The position that it must observe, in Unix milliseconds.
    pub after_ms: Option<i64>,
}

/// Why a query is no request. The texts reach clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// The message has no body.
    Empty,
    /// No `*/`.
    NoComment,
    /// A `*/` without `/*` before it.
    NoCommentStart,
    /// A zero byte inside the text.
    ZeroByte,
    /// The comment has a name twice.
    DuplicateName,
    /// No id, or one that is too long or has other than visible ASCII characters.
    NoId,
    /// No waiting time that is a whole number.
    NoWait,
    /// No cluster.
    NoCluster,
    /// A position that is no whole number.
    InvalidAfter,
    /// No class.
    NoClass,
    /// A class that the configuration does not have.
    UnknownClass,
}

impl StatementError {
    /// The text for the client.
    pub fn text(self) -> &'static str {
        match self {
            StatementError::Empty => "the query is empty",
            StatementError::NoComment => "the query has no comment",
            StatementError::NoCommentStart => "the comment has no start",
            StatementError::ZeroByte => "the query holds a zero byte",
            StatementError::DuplicateName => "the comment names something twice",
            StatementError::NoId => "the comment names no id",
            StatementError::NoWait => "the comment names no d that is a whole number",
            StatementError::NoCluster => "the comment names no cluster",
            StatementError::InvalidAfter => "after is no whole number",
            StatementError::NoClass => "the comment names no class",
            StatementError::UnknownClass => "the comment names an unknown class",
        }
    }
}

/// Where the values of a comment stand in the message.
#[derive(Default)]
struct CommentFields {
    id: Option<Range<usize>>,
    class: Option<Range<usize>>,
    wait: Option<Range<usize>>,
    group: Option<Range<usize>>,
    after: Option<Range<usize>>,
}

impl CommentFields {
    fn find(message: &[u8], comment: Range<usize>) -> Result<CommentFields, StatementError> {
        let mut fields = CommentFields::default();
        for (name, value) in pairs(message, comment) {
            let field = match name {
                b"id" => &mut fields.id,
                b"c" => &mut fields.class,
                b"d" => &mut fields.wait,
                b"cluster" => &mut fields.group,
                b"after" => &mut fields.after,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(StatementError::DuplicateName);
            }
        }
        Ok(fields)
    }
}

/// Names and values in a comment; the values as ranges of the message.
fn pairs(message: &[u8], comment: Range<usize>) -> impl Iterator<Item = (&[u8], Range<usize>)> {
    let mut at = comment.start;
    std::iter::from_fn(move || {
        if at >= comment.end {
            return None;
        }
        let comma = message[at..comment.end].iter().position(|b| *b == b',');
        let end = comma.map_or(comment.end, |offset| at + offset);
        let pair = at..end;
        at = end + 1;
        Some(pair)
    })
    .filter_map(move |pair| {
        let equals = pair.start + message[pair.clone()].iter().position(|b| *b == b'=')?;
        Some((message[pair.start..equals].trim_ascii(), equals + 1..pair.end))
    })
}

/// A whole number in digits alone: no sign, no space.
fn parse_number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    let digits = text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}

/// The first quoted text before `end`.
fn first_quoted(text: &[u8], end: usize) -> Option<Range<usize>> {
    let quote_from =
        |from: usize| text[from..end].iter().position(|b| *b == b'\'').map(|offset| from + offset);
    let open = quote_from(0)?;
    let close = quote_from(open + 1)?;
    Some(open + 1..close)
}

fn is_valid_id(id: &[u8]) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

impl Statement {
    /// Parses a whole Query message.
    ///
    /// # Errors
    /// The query has no comment, or the comment lacks what a request needs.
    pub fn parse(message: &[u8]) -> Result<Statement, StatementError> {
        // Between the head and the zero that ends the text.
        let body = 5..message.len().saturating_sub(1);
        let text = message.get(body.clone()).ok_or(StatementError::Empty)?;
        let close = text.windows(2).rposition(|w| w == b"*/").ok_or(StatementError::NoComment)?;
        let open = text[..close].windows(2).rposition(|w| w == b"/*");
        let open = open.ok_or(StatementError::NoCommentStart)?;
        let mut comment_end = body.start + close;
        while message[comment_end - 1] == b' ' {
            comment_end -= 1;
        }
        if text.contains(&0) {
            return Err(StatementError::ZeroByte);
        }
        let fields = CommentFields::find(message, body.start + open + 2..comment_end)?;
        let id = fields.id.filter(|id| is_valid_id(&message[id.clone()])).ok_or(StatementError::NoId)?;
        // 0 is a waiting time, too: such a request is rejected as any that can't be served in time.
        let wait = fields.wait.ok_or(StatementError::NoWait)?;
        let wait_ms = parse_number(&message[wait.clone()]).ok_or(StatementError::NoWait)?;
        let group = fields.group.and_then(|group| parse_number(&message[group]));
        let group = group.ok_or(StatementError::NoCluster)?;
        let after_ms = match fields.after {
            None => None,
            Some(after) => Some(parse_number(&message[after]).ok_or(StatementError::InvalidAfter)?),
        };
        let class = fields.class.ok_or(StatementError::NoClass)?;
        let key = first_quoted(text, open).map(|key| body.start + key.start..body.start + key.end);
        Ok(Statement { message: message.to_vec(), wait, wait_ms, id, class, key, group, after_ms })
    }

    /// The request's id.
    pub fn id(&self) -> &[u8] {
        &self.message[self.id.clone()]
    }

    /// The name of its class.
    pub fn class(&self) -> &[u8] {
        &self.message[self.class.clone()]
    }

    /// The quoted key, which names the session.
    pub fn key(&self) -> Option<&[u8]> {
        self.key.clone().map(|key| &self.message[key])
    }

    /// The message with another waiting time: its head, and the parts that go out before and after the digits.
    pub fn with_wait(&self, digits: &str) -> ([u8; 5], [&[u8]; 2]) {
        let length = self.message.len() - 1 - self.wait.len() + digits.len();
        let mut head = [b'Q'; 5];
        head[1..].copy_from_slice(&(length as u32).to_be_bytes());
        (head, [&self.message[5..self.wait.start], &self.message[self.wait.end..]])
    }
}
