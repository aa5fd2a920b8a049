//! Fields of JSON objects, with plain messages that name what is at fault.
use decision::Micros;
use serde_json::Value;

/// A field, or a plain message that names what is missing.
pub fn field<'a>(v: &'a Value, name: &str) -> Result<&'a Value, String> {
    match v.get(name) {
        Some(Value::Null) | None => Err(format!("expected the field '{name}', found none")),
        Some(x) => Ok(x),
    }
}

pub fn text<'a>(v: &'a Value, name: &str) -> Result<&'a str, String> {
    field(v, name)?.as_str().ok_or_else(|| format!("expected text in '{name}'"))
}

pub fn number(v: &Value, name: &str) -> Result<f64, String> {
    let x = field(v, name)?.as_f64().ok_or_else(|| format!("expected a number in '{name}'"))?;
    if x.is_finite() { Ok(x) } else { Err(format!("expected a finite number in '{name}'")) }
}

pub fn whole(v: &Value, name: &str) -> Result<u64, String> {
    let x = field(v, name)?;
    let fraction_free = |f: f64| (f >= 0.0 && f.fract() == 0.0 && f < 9e15).then_some(f as u64);
    x.as_u64()
        .or_else(|| x.as_f64().and_then(fraction_free))
        .ok_or_else(|| format!("expected a whole number in '{name}'"))
}

pub fn flag(v: &Value, name: &str) -> Result<bool, String> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(x) => x.as_bool().ok_or_else(|| format!("expected true or false in '{name}'")),
    }
}

pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

pub fn array<'a>(v: &'a Value, name: &str) -> Result<&'a Vec<Value>, String> {
    field(v, name)?.as_array().ok_or_else(|| format!("expected an array in '{name}'"))
}
