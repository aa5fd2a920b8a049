//! A query and the fields of its comment. The fields are ranges of the message, so that the waiting time can
//! be replaced without copying the rest.
use std::ops::Range;

/// Maximum length of a request's id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// A query as the client sent it, with the parsed fields of its comment. It borrows the message until there is memory
/// for a copy.
#[derive(Debug)]
pub struct Statement<Message = Vec<u8>> {
    /// The whole message, including its tag and length.
    message: Message,
    /// Range of the digits of the field `d` in the message.
    wait: Range<usize>,
    /// How long the client waits for the response, in milliseconds.
    pub wait_ms: u64,
    id: Range<usize>,
    class: Range<usize>,
    key: Option<Range<usize>>,
    /// The replication group that the request is for; the comment's field is named `cluster`.
    pub group: u32,
    /// The replication position that the request must observe, as Unix time in milliseconds.
    pub after_ms: Option<i64>,
}

/// Why a query is not a valid request. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// The message has no body.
    Empty,
    /// The text has no `*/`.
    NoComment,
    /// The text has a `*/` without a `/*` before it.
    NoCommentStart,
    /// The text contains a zero byte.
    ZeroByte,
    /// A field of the comment is given twice.
    DuplicateName,
    /// The id is missing, is too long, or has characters other than visible ASCII.
    NoId,
    /// The waiting time is missing or not a whole number.
    NoWait,
    /// The cluster is missing or not a whole number.
    NoCluster,
    /// The position is not a whole number.
    InvalidAfter,
    /// The class is missing.
    NoClass,
    /// The class is not in the configuration.
    UnknownClass,
}

impl StatementError {
    /// Returns the error text that is sent to the client.
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

/// Ranges of the values of a comment in the message.
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
        for (name, value) in name_value_pairs(message, comment) {
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

/// Returns the names and values of a comment's fields; the values are ranges of the message.
fn name_value_pairs(message: &[u8], comment: Range<usize>) -> impl Iterator<Item = (&[u8], Range<usize>)> {
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

/// Parses a whole number that consists of digits only, without sign or space.
fn parse_number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    let digits = text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}

/// Returns the range of the first text in single quotes before `end`.
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

impl<'m> Statement<&'m [u8]> {
    /// Parses a Query message, given with its tag and length.
    ///
    /// # Errors
    /// Fails if the query has no comment, or if fields of the comment are missing or invalid.
    pub fn parse(message: &'m [u8]) -> Result<Self, StatementError> {
        // The text is between the header and the terminating zero byte.
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
        // A waiting time of 0 is valid: such a request is rejected like any other that cannot be served in
        // time.
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
        Ok(Statement { message, wait, wait_ms, id, class, key, group, after_ms })
    }

    /// Copies the message.
    pub fn into_owned(self) -> Statement {
        let Statement { message, wait, wait_ms, id, class, key, group, after_ms } = self;
        Statement { message: message.to_vec(), wait, wait_ms, id, class, key, group, after_ms }
    }
}

impl<Message: AsRef<[u8]>> Statement<Message> {
    /// Returns the id that the client gave the request.
    pub fn id(&self) -> &[u8] {
        &self.message.as_ref()[self.id.clone()]
    }

    /// Returns the name of the request's class.
    pub fn class(&self) -> &[u8] {
        &self.message.as_ref()[self.class.clone()]
    }

    /// Returns the quoted key, which identifies the session.
    pub fn key(&self) -> Option<&[u8]> {
        self.key.clone().map(|key| &self.message.as_ref()[key])
    }

    /// Returns the message with another waiting time: its new header, and the parts before and after the
    /// digits.
    pub fn with_wait(&self, digits: &str) -> ([u8; 5], [&[u8]; 2]) {
        let message = self.message.as_ref();
        let length = message.len() - 1 - self.wait.len() + digits.len();
        let mut header = [b'Q'; 5];
        header[1..].copy_from_slice(&(length as u32).to_be_bytes());
        (header, [&message[5..self.wait.start], &message[self.wait.end..]])
    }
}
