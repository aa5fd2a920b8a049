//! Fields of JSON objects, with errors that name what is at fault.
use crate::error::{Error, shape};
use decision::Micros;
use serde_json::Value;

/// Longest time that a figure may stand for, three years in milliseconds: small multiples of it, added to the present,
/// stay far from the end of the clock.
const LONGEST_MS: f64 = 1e11;

/// Farthest moment from a clock's zero, three thousand years in milliseconds.
const FARTHEST_MS: f64 = 1e14;

/// A field, or an error that names what is missing.
pub fn field<'a>(v: &'a Value, name: &str) -> Result<&'a Value, Error> {
    match v.get(name) {
        Some(Value::Null) | None => Err(Error::missing(name)),
        Some(x) => Ok(x),
    }
}

pub fn text<'a>(v: &'a Value, name: &str) -> Result<&'a str, Error> {
    let x = field(v, name)?;
    x.as_str().ok_or_else(|| Error::value(name, "text", shape(x)))
}

/// An array of texts.
pub(crate) fn texts(v: &Value, name: &str) -> Result<Vec<String>, Error> {
    let item =
        |x: &Value| x.as_str().map(str::to_string).ok_or_else(|| Error::value(name, "texts", shape(x)));
    array(v, name)?.iter().map(item).collect()
}

pub fn number(v: &Value, name: &str) -> Result<f64, Error> {
    let x = field(v, name)?;
    let x = x.as_f64().ok_or_else(|| Error::value(name, "a number", shape(x)))?;
    if x.is_finite() { Ok(x) } else { Err(Error::value(name, "a finite number", x)) }
}

pub fn whole(v: &Value, name: &str) -> Result<u64, Error> {
    let x = field(v, name)?;
    let fraction_free = |f: f64| (f >= 0.0 && f.fract() == 0.0 && f < 9e15).then_some(f as u64);
    x.as_u64().or_else(|| x.as_f64().and_then(fraction_free)).ok_or_else(|| match x {
        Value::Number(n) => Error::value(name, "a whole number", n),
        other => Error::value(name, "a whole number", shape(other)),
    })
}

pub fn flag(v: &Value, name: &str) -> Result<bool, Error> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(x) => x.as_bool().ok_or_else(|| Error::value(name, "true or false", shape(x))),
    }
}

/// A whole number of 32 bits: what it counts or names must not become something else by being cut.
pub fn count(v: &Value, name: &str) -> Result<u32, Error> {
    let x = whole(v, name)?;
    u32::try_from(x).map_err(|_| Error::value(name, "at most 4294967295", x))
}

/// A number that is none below 0.
pub fn amount(v: &Value, name: &str) -> Result<f64, Error> {
    let x = number(v, name)?;
    if x >= 0.0 { Ok(x) } else { Err(Error::value(name, "a number not below 0", x)) }
}

/// A length of time, given in milliseconds.
pub fn span(v: &Value, name: &str) -> Result<Micros, Error> {
    let ms = number(v, name)?;
    if (0.0..=LONGEST_MS).contains(&ms) {
        return Ok(micros(ms));
    }
    Err(Error::value(name, format!("0 to {LONGEST_MS} milliseconds"), ms))
}

/// A moment on a clock, given in milliseconds.
pub fn moment(v: &Value, name: &str) -> Result<Micros, Error> {
    let ms = number(v, name)?;
    if ms.abs() <= FARTHEST_MS {
        return Ok(micros(ms));
    }
    Err(Error::value(name, format!("at most {FARTHEST_MS} milliseconds from 0"), ms))
}

pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

pub fn array<'a>(v: &'a Value, name: &str) -> Result<&'a Vec<Value>, Error> {
    let x = field(v, name)?;
    x.as_array().ok_or_else(|| Error::value(name, "an array", shape(x)))
}
