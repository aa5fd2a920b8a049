//! Decoding of the bodies of messages from an instance.

/// The decoded fields of an `ErrorResponse`.
#[derive(Debug, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// The SQLSTATE code: five upper-case letters or digits.
    pub code: &'a str,
    /// Whether the error ends the session: no `ReadyForQuery` follows, and no further command is executed.
    pub fatal: bool,
}

/// Decodes an `ErrorResponse`; returns `None` if it is malformed.
pub fn error_fields(body: &[u8]) -> Option<ErrorFields<'_>> {
    let fields = body.strip_suffix(b"\0\0")?;
    let (mut code, mut severity, mut severity_untranslated) = (None, None, None);
    for field in fields.split(|b| *b == 0) {
        let (name, value) = field.split_first()?;
        let value = std::str::from_utf8(value).ok().filter(|_| name.is_ascii_alphabetic())?;
        match name {
            b'C' => code = Some(value),
            b'S' => severity = Some(value),
            b'V' => severity_untranslated = Some(value),
            _ => {}
        }
    }
    let fatal = severity_untranslated.or(severity).is_some_and(|s| matches!(s, "FATAL" | "PANIC"));
    let is_code = |c: &&str| c.len() == 5 && c.bytes().all(|b| b.is_ascii_uppercase() || b.is_ascii_digit());
    code.filter(is_code).map(|code| ErrorFields { code, fatal })
}

/// Decodes a `ParameterStatus` into name and value; returns `None` if it is malformed.
pub fn parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body).ok()?.strip_suffix('\0')?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// Returns whether a `RowDescription` describes exactly one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    /// Size of a column's attributes (table, type and format) after its zero-terminated name, in bytes.
    const COLUMN_ATTRIBUTE_BYTES: usize = 18;
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let name_end = column.iter().position(|b| *b == 0);
    name_end.is_some_and(|end| column.len() == end + 1 + COLUMN_ATTRIBUTE_BYTES)
}

/// Returns the value of a `DataRow` with exactly one column; `None` if the number of columns differs or the
/// value is NULL.
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let (header, value) = body.split_at_checked(6)?;
    let length = u32::from_be_bytes([header[2], header[3], header[4], header[5]]) as usize;
    (header[..2] == [0, 1] && length == value.len()).then_some(value)
}

/// Returns whether the body of a `CommandComplete` is well-formed.
pub fn is_command_tag(body: &[u8]) -> bool {
    let tag = body.strip_suffix(b"\0").unwrap_or_default();
    !tag.is_empty() && tag.iter().all(|b| b.is_ascii_graphic() || *b == b' ')
}
