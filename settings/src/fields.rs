//! Functions that read typed fields of JSON objects. Each takes the object and the name of the field; errors
//! name the field, the accepted values and the value found.
use crate::error::{Error, json_kind};
use decision::Micros;
use serde_json::Value;

/// The longest duration that a field may set, in milliseconds (three years): small multiples of it can be
/// added to the current time without overflow.
const MAX_DURATION_MS: f64 = 1e11;

/// The largest distance of a configured time from the clock's zero, in milliseconds (three thousand years).
const MAX_TIME_MS: f64 = 1e14;

/// Returns a field of any type; null counts as missing.
///
/// # Errors
/// An [`Error`] that names the field: it is missing.
pub fn field<'a>(v: &'a Value, name: &str) -> Result<&'a Value, Error> {
    match v.get(name) {
        Some(Value::Null) | None => Err(Error::missing(name)),
        Some(x) => Ok(x),
    }
}

/// Reads a string field.
///
/// # Errors
/// An [`Error`] that names the field: it is missing or not a string.
pub fn string<'a>(v: &'a Value, name: &str) -> Result<&'a str, Error> {
    let x = field(v, name)?;
    x.as_str().ok_or_else(|| Error::invalid_value(name, "text", json_kind(x)))
}

/// Reads an array of strings.
pub(crate) fn strings(v: &Value, name: &str) -> Result<Vec<String>, Error> {
    let item = |x: &Value| {
        x.as_str().map(str::to_string).ok_or_else(|| Error::invalid_value(name, "texts", json_kind(x)))
    };
    array(v, name)?.iter().map(item).collect()
}

/// Reads a finite number.
///
/// # Errors
/// An [`Error`] that names the field: it is missing or not a finite number.
pub fn number(v: &Value, name: &str) -> Result<f64, Error> {
    let x = field(v, name)?;
    let x = x.as_f64().ok_or_else(|| Error::invalid_value(name, "a number", json_kind(x)))?;
    if x.is_finite() { Ok(x) } else { Err(Error::invalid_value(name, "a finite number", x)) }
}

/// Reads a non-negative integer; a number with a decimal point is accepted if its fraction is zero.
///
/// # Errors
/// An [`Error`] that names the field: it is missing or not a non-negative integer.
pub fn unsigned_integer(v: &Value, name: &str) -> Result<u64, Error> {
    let x = field(v, name)?;
    let without_fraction = |f: f64| (f >= 0.0 && f.fract() == 0.0 && f < 9e15).then_some(f as u64);
    x.as_u64().or_else(|| x.as_f64().and_then(without_fraction)).ok_or_else(|| match x {
        Value::Number(n) => Error::invalid_value(name, "a whole number", n),
        other => Error::invalid_value(name, "a whole number", json_kind(other)),
    })
}

/// Reads a boolean; a missing field is read as false.
///
/// # Errors
/// An [`Error`] that names the field: it is neither true nor false.
pub fn boolean(v: &Value, name: &str) -> Result<bool, Error> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(x) => x.as_bool().ok_or_else(|| Error::invalid_value(name, "true or false", json_kind(x))),
    }
}

/// Reads a 32-bit unsigned integer; a larger number is rejected, never truncated.
///
/// # Errors
/// An [`Error`] that names the field: it is missing, not an integer, or above `u32::MAX`.
pub fn count(v: &Value, name: &str) -> Result<u32, Error> {
    let x = unsigned_integer(v, name)?;
    u32::try_from(x).map_err(|_| Error::invalid_value(name, "at most 4294967295", x))
}

/// Reads a finite number that is not negative.
///
/// # Errors
/// An [`Error`] that names the field: it is missing, not a number, or below 0.
pub fn non_negative_number(v: &Value, name: &str) -> Result<f64, Error> {
    let x = number(v, name)?;
    if x >= 0.0 { Ok(x) } else { Err(Error::invalid_value(name, "a number not below 0", x)) }
}

/// Reads a duration given in milliseconds.
///
/// # Errors
/// An [`Error`] that names the field: it is missing, not a number, negative, or longer than three years.
pub fn duration_from_ms(v: &Value, name: &str) -> Result<Micros, Error> {
    let ms = number(v, name)?;
    if (0.0..=MAX_DURATION_MS).contains(&ms) {
        return Ok(ms_to_micros(ms));
    }
    Err(Error::invalid_value(name, format!("0 to {MAX_DURATION_MS} milliseconds"), ms))
}

/// Reads a point in time given in milliseconds from the clock's zero.
///
/// # Errors
/// An [`Error`] that names the field: it is missing, not a number, or farther than three thousand years from
/// 0.
pub fn time_from_ms(v: &Value, name: &str) -> Result<Micros, Error> {
    let ms = number(v, name)?;
    if ms.abs() <= MAX_TIME_MS {
        return Ok(ms_to_micros(ms));
    }
    Err(Error::invalid_value(name, format!("at most {MAX_TIME_MS} milliseconds from 0"), ms))
}

/// Converts milliseconds to microseconds, rounded to the nearest.
pub fn ms_to_micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Reads an array field.
///
/// # Errors
/// An [`Error`] that names the field: it is missing or not an array.
pub fn array<'a>(v: &'a Value, name: &str) -> Result<&'a Vec<Value>, Error> {
    let x = field(v, name)?;
    x.as_array().ok_or_else(|| Error::invalid_value(name, "an array", json_kind(x)))
}
