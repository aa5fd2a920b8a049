//! Reads the settings object of a start message. Keys that are not named here are skipped.
use crate::error::Error;
use crate::fields::{amount, array, count, field, flag, moment, span, text};
use decision::{Class, Freshness, Idempotency, LaggingReplica, Micros, SessionCommitSource, Settings};
use serde_json::{Value, json};

/// What the adapter itself needs to translate notes and reports.
#[derive(Clone, Debug)]
pub struct Translation {
    /// The clock time from which positions are counted.
    pub zero: Micros,
    /// Which classes are writes.
    pub writes: Vec<bool>,
    /// How many tenants are listed.
    pub tenants: usize,
}

/// The age that a class bears of the data it reads.
fn age(bounds: &Value, at: usize) -> Result<Micros, Error> {
    const KEY: &str = "oldestDataMs";
    let bound = bounds.get(at).filter(|b| b.is_number());
    let missing = || {
        let found = bounds.get(at).unwrap_or(&Value::Null);
        Error::value(KEY, "a bound for each lag_bound class", found)
    };
    span(&json!({ KEY: bound.ok_or_else(missing)? }), KEY)
}

fn class(c: &Value, need: &Value, bounds: &Value, at: usize) -> Result<Class, Error> {
    let window = || span(c, "repeatWindowMs");
    let effect = match text(c, "semantics")? {
        "read_like" => Idempotency::Idempotent,
        "non_idempotent" => Idempotency::NotIdempotent,
        "idempotency_key" => match text(c, "group")? {
            "cell" => Idempotency::DeduplicatedInGroup(window()?),
            "all" => Idempotency::DeduplicatedEverywhere(window()?),
            "zone" => Idempotency::DeduplicatedInZone(window()?),
            x => return Err(Error::value("group", "cell, all or zone", format_args!("'{x}'"))),
        },
        x => {
            let known = "read_like, non_idempotent or idempotency_key";
            return Err(Error::value("semantics", known, format_args!("'{x}'")));
        }
    };
    let freshness = match need.as_str() {
        Some("mutate") => Freshness::Write,
        Some("strong") => Freshness::Latest,
        Some("causal") => Freshness::Session,
        Some("eventual") => Freshness::Any,
        Some("lag_bound") => Freshness::Bounded(age(bounds, at)?),
        _ => return Err(Error::value("freshness", "mutate, strong, causal, eventual or lag_bound", need)),
    };
    Ok(Class {
        freshness,
        idempotency: effect,
        latency_objective: span(c, "objectiveMs")?,
        deadline: span(c, "deadlineMs")?,
        priority_weight: amount(c, "worth")?,
        late_weight_share: amount(c, "lateWorth")?,
    })
}

/// Names the table around a fault.
fn under(key: &'static str) -> impl Fn(Error) -> Error {
    move |e| e.at(key)
}

/// The router's settings and the adapter's.
pub fn read(v: &Value) -> Result<(Settings, Translation), Error> {
    let (extra, limits, rules) = (field(v, "extra")?, field(v, "limits")?, field(v, "contract")?);
    let needs = array(extra, "freshness").map_err(under("extra"))?;
    let bounds = extra.get("oldestDataMs").unwrap_or(&Value::Null);
    let listed = array(v, "classes")?;
    if needs.len() != listed.len() {
        let expected = format!("one word for each of {} classes", listed.len());
        return Err(Error::value("freshness", expected, needs.len()).at("extra"));
    }
    let classes = listed
        .iter()
        .zip(needs)
        .enumerate()
        .map(|(i, (c, need))| class(c, need, bounds, i).map_err(|e| e.at(format!("classes[{i}]"))))
        .collect::<Result<Vec<_>, _>>()?;
    let when_behind = match text(extra, "whenBehind").map_err(under("extra"))? {
        "silent" => LaggingReplica::AnswersStale,
        "bounce" => LaggingReplica::Rejects,
        "await" => LaggingReplica::WaitsThenRejects(span(extra, "patienceMs").map_err(under("extra"))?),
        x => {
            return Err(
                Error::value("whenBehind", "silent, bounce or await", format_args!("'{x}'")).at("extra")
            );
        }
    };
    let tokens = match text(extra, "writeMarks").map_err(under("extra"))? {
        "brought" => SessionCommitSource::CarriedByRequest,
        "kept" => SessionCommitSource::RememberedByRouter,
        x => return Err(Error::value("writeMarks", "brought or kept", format_args!("'{x}'")).at("extra")),
    };
    let tenants = match v.get("tenants") {
        Some(Value::Array(a)) => a
            .iter()
            .map(|t| amount(t, "quotaRps"))
            .collect::<Result<Vec<_>, _>>()
            .map_err(under("tenants"))?,
        _ => Vec::new(),
    };
    let translation = Translation {
        zero: moment(extra, "positionZeroMs").map_err(under("extra"))?,
        writes: classes.iter().map(|c| c.freshness == Freshness::Write).collect(),
        tenants: tenants.len(),
    };
    let come_back = flag(limits, "retryAfter").map_err(under("limits"))?;
    let settings = Settings {
        classes,
        tenant_rates: tenants,
        over_quota_weight: v.get("overShareWorth").and_then(Value::as_f64).unwrap_or(1.0),
        router_count: count(v, "replicasOfMe")?.max(1),
        zone: count(v, "zone")?,
        min_event_interval: span(v, "roundMs")?,
        lagging_replica: when_behind,
        session_commit_source: tokens,
        hedging_allowed: flag(limits, "mayDuplicate").map_err(under("limits"))?,
        max_attempts: count(limits, "mostTries").map_err(under("limits"))?,
        cancel_allowed: flag(limits, "cancel").map_err(under("limits"))?,
        probing_allowed: flag(limits, "probes").map_err(under("limits"))?,
        probe_cost: v.get("prices").and_then(|p| p.get("probe")).and_then(Value::as_f64).unwrap_or(0.0),
        max_retry_after: come_back
            .then(|| span(limits, "maxRetryAfterMs"))
            .transpose()
            .map_err(under("limits"))?,
        connect_timeout: span(limits, "dialTimeoutMs").map_err(under("limits"))?,
        drain_grace: span(rules, "drainGraceMs").map_err(under("contract"))?,
        missing_members_may_serve: flag(rules, "drainBindsAlone").map_err(under("contract"))?,
        slow_start_initial_share: amount(rules, "coldFrom").map_err(under("contract"))?,
        slow_start_duration: span(rules, "coldMs").map_err(under("contract"))?,
        overload_factor: amount(rules, "overloadFactor").map_err(under("contract"))?,
        overload_duration: span(rules, "tipAfterMs").map_err(under("contract"))?,
        list_requires_subscription: text(v, "membershipMode")? == "subscribe",
    };
    Ok((settings, translation))
}
