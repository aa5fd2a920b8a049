//! The statement classes of the table `[mysql]`.
use crate::error::Error;
use crate::fields::{number, string};
use crate::operator::table::{check_keys, owned_string, positive_number, read_tables, value_or};
use decision::{Class, Freshness, Idempotency, Micros};
use serde_json::Value;

/// The default deadline of statements that match no rule, in milliseconds.
const DEFAULT_DEADLINE_MS: f64 = 2000.0;
/// The default priority weight of a class.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// The default share of the priority weight that a response after the latency objective retains.
const DEFAULT_LATE_WEIGHT_SHARE: f64 = 0.5;

/// A statement class and its name.
pub(super) struct NamedClass {
    pub(super) name: String,
    pub(super) class: Class,
}

/// Reads the classes of the file and appends the two built-in classes, `unknown` and `prepare`.
pub(super) fn read_classes(v: &Value) -> Result<Vec<NamedClass>, Error> {
    let mut classes = read_tables(v, "class", read_class)?;
    let deadline = micros(value_or(v, "deadline_ms", DEFAULT_DEADLINE_MS, positive_number)?);
    let builtin_class = |freshness, idempotency| Class {
        freshness,
        idempotency,
        latency_objective: deadline,
        deadline,
        priority_weight: DEFAULT_PRIORITY_WEIGHT,
        late_weight_share: DEFAULT_LATE_WEIGHT_SHARE,
    };
    let unknown = builtin_class(Freshness::Write, Idempotency::NotIdempotent);
    let prepare = builtin_class(Freshness::Any, Idempotency::Idempotent);
    classes.push(NamedClass { name: "unknown".into(), class: unknown });
    classes.push(NamedClass { name: "prepare".into(), class: prepare });
    Ok(classes)
}

/// Converts milliseconds to microseconds and truncates the fraction.
fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

fn read_class(v: &Value) -> Result<NamedClass, Error> {
    check_keys(
        v,
        &["name", "freshness", "bound_ms", "effect", "aim_ms", "deadline_ms", "worth", "late_worth"],
    )?;
    let freshness = read_freshness(v)?;
    let idempotency = match string(v, "effect")? {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NotIdempotent,
        x => return Err(Error::invalid_value("effect", "safe or unsafe", format_args!("'{x}'"))),
    };
    let latency_objective = micros(positive_number(v, "aim_ms")?);
    let deadline = micros(positive_number(v, "deadline_ms")?);
    if latency_objective > deadline {
        return Err(Error::invalid(
            "'aim_ms' to be at most 'deadline_ms'",
            format_args!("{} above {}", latency_objective / 1000, deadline / 1000),
        ));
    }
    let priority_weight = value_or(v, "worth", DEFAULT_PRIORITY_WEIGHT, positive_number)?;
    let late_weight_share = value_or(v, "late_worth", DEFAULT_LATE_WEIGHT_SHARE, number)?;
    let name = owned_string(v, "name")?;
    let class =
        Class { freshness, idempotency, latency_objective, deadline, priority_weight, late_weight_share };
    Ok(NamedClass { name, class })
}

fn read_freshness(v: &Value) -> Result<Freshness, Error> {
    let known = "write, fresh, session, bounded or any";
    Ok(match string(v, "freshness")? {
        "write" => Freshness::Write,
        "fresh" => Freshness::Latest,
        "session" => Freshness::Session,
        "bounded" => Freshness::Bounded(micros(positive_number(v, "bound_ms")?)),
        "any" => Freshness::Any,
        x => return Err(Error::invalid_value("freshness", known, format_args!("'{x}'"))),
    })
}
