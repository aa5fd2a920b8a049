//! Reads the settings object of the platform's configuration and of the simulator's start message. Unknown
//! keys are ignored.
use crate::error::Error;
use crate::fields::{
    array, boolean, count, duration_from_ms, field, non_negative_number, string, time_from_ms,
};
use decision::{Class, Freshness, Idempotency, LaggingReplica, Micros, SessionCommitSource, Settings};
use serde_json::{Value, json};

/// Settings that the simulator's adapter needs to translate messages and reports.
#[derive(Clone, Debug)]
pub struct AdapterSettings {
    /// The time on the simulator's clock that corresponds to replication position 0, in microseconds.
    pub position_zero: Micros,
    /// For each class, whether it is a write.
    pub class_is_write: Vec<bool>,
    /// The number of configured tenants.
    pub tenant_count: usize,
}

/// A table of the settings object and its key, which is added to the path of errors.
struct Section<'a> {
    key: &'static str,
    table: &'a Value,
}

impl<'a> Section<'a> {
    fn new(v: &'a Value, key: &'static str) -> Result<Section<'a>, Error> {
        Ok(Section { key, table: field(v, key)? })
    }

    /// Reads a field of the table with a function of [`crate::fields`].
    fn read<T>(
        &self,
        read: impl FnOnce(&'a Value, &str) -> Result<T, Error>,
        name: &str,
    ) -> Result<T, Error> {
        read(self.table, name).map_err(|e| e.under_key(self.key))
    }

    fn value_error(&self, name: &str, expected: &'static str, found: &str) -> Error {
        Error::invalid_value(name, expected, format_args!("'{found}'")).under_key(self.key)
    }
}

/// Reads the settings object: the settings of the decision logic and those of the simulator's adapter.
///
/// # Errors
/// An [`Error`] that names the faulty field and the tables around it.
pub fn read(v: &Value) -> Result<(Settings, AdapterSettings), Error> {
    let extra = Section::new(v, "extra")?;
    let limits = Section::new(v, "limits")?;
    let contract = Section::new(v, "contract")?;
    let classes = read_classes(v, &extra)?;
    let lagging_replica = read_lagging_replica(&extra)?;
    let session_commit_source = read_session_commit_source(&extra)?;
    let tenant_rates = read_tenant_rates(v)?;
    let adapter_settings = AdapterSettings {
        position_zero: extra.read(time_from_ms, "positionZeroMs")?,
        class_is_write: classes.iter().map(|c| c.freshness == Freshness::Write).collect(),
        tenant_count: tenant_rates.len(),
    };
    let retry_after_allowed = limits.read(boolean, "retryAfter")?;
    let settings = Settings {
        classes,
        tenant_rates,
        over_quota_weight: v.get("overShareWorth").and_then(Value::as_f64).unwrap_or(1.0),
        router_count: count(v, "replicasOfMe")?.max(1),
        zone: count(v, "zone")?,
        min_event_interval: duration_from_ms(v, "roundMs")?,
        lagging_replica,
        session_commit_source,
        hedging_allowed: limits.read(boolean, "mayDuplicate")?,
        max_attempts: limits.read(count, "mostTries")?,
        cancel_allowed: limits.read(boolean, "cancel")?,
        probing_allowed: limits.read(boolean, "probes")?,
        probe_cost: v.get("prices").and_then(|p| p.get("probe")).and_then(Value::as_f64).unwrap_or(0.0),
        max_retry_after: retry_after_allowed
            .then(|| limits.read(duration_from_ms, "maxRetryAfterMs"))
            .transpose()?,
        connect_timeout: limits.read(duration_from_ms, "dialTimeoutMs")?,
        drain_grace: contract.read(duration_from_ms, "drainGraceMs")?,
        missing_members_may_serve: contract.read(boolean, "drainBindsAlone")?,
        slow_start_initial_share: contract.read(non_negative_number, "coldFrom")?,
        slow_start_duration: contract.read(duration_from_ms, "coldMs")?,
        overload_factor: contract.read(non_negative_number, "overloadFactor")?,
        overload_duration: contract.read(duration_from_ms, "tipAfterMs")?,
        list_requires_subscription: string(v, "membershipMode")? == "subscribe",
    };
    Ok((settings, adapter_settings))
}

/// Reads the classes. The table `extra` has a list with the freshness of each class, in the same order.
fn read_classes(v: &Value, extra: &Section) -> Result<Vec<Class>, Error> {
    let freshness_words = extra.read(array, "freshness")?;
    let staleness_limits = extra.table.get("oldestDataMs").unwrap_or(&Value::Null);
    let class_tables = array(v, "classes")?;
    if freshness_words.len() != class_tables.len() {
        let expected = format!("one word for each of {} classes", class_tables.len());
        return Err(Error::invalid_value("freshness", expected, freshness_words.len()).under_key(extra.key));
    }
    let read = |(i, (class, word))| {
        read_class(class, word, staleness_limits, i).map_err(|e| e.under_key(format!("classes[{i}]")))
    };
    class_tables.iter().zip(freshness_words).enumerate().map(read).collect()
}

fn read_class(
    v: &Value,
    freshness_word: &Value,
    staleness_limits: &Value,
    index: usize,
) -> Result<Class, Error> {
    let idempotency = read_idempotency(v)?;
    let freshness = match freshness_word.as_str() {
        Some("mutate") => Freshness::Write,
        Some("strong") => Freshness::Latest,
        Some("causal") => Freshness::Session,
        Some("eventual") => Freshness::Any,
        Some("lag_bound") => Freshness::Bounded(read_max_staleness(staleness_limits, index)?),
        _ => {
            let known = "mutate, strong, causal, eventual or lag_bound";
            return Err(Error::invalid_value("freshness", known, freshness_word));
        }
    };
    Ok(Class {
        freshness,
        idempotency,
        latency_objective: duration_from_ms(v, "objectiveMs")?,
        deadline: duration_from_ms(v, "deadlineMs")?,
        priority_weight: non_negative_number(v, "worth")?,
        late_weight_share: non_negative_number(v, "lateWorth")?,
    })
}

fn read_idempotency(v: &Value) -> Result<Idempotency, Error> {
    let window = || duration_from_ms(v, "repeatWindowMs");
    match string(v, "semantics")? {
        "read_like" => Ok(Idempotency::Idempotent),
        "non_idempotent" => Ok(Idempotency::NotIdempotent),
        "idempotency_key" => match string(v, "group")? {
            "cell" => Ok(Idempotency::DeduplicatedInGroup(window()?)),
            "all" => Ok(Idempotency::DeduplicatedEverywhere(window()?)),
            "zone" => Ok(Idempotency::DeduplicatedInZone(window()?)),
            x => Err(Error::invalid_value("group", "cell, all or zone", format_args!("'{x}'"))),
        },
        x => {
            let known = "read_like, non_idempotent or idempotency_key";
            Err(Error::invalid_value("semantics", known, format_args!("'{x}'")))
        }
    }
}

/// Reads the maximum staleness of reads of the class at this index.
fn read_max_staleness(staleness_limits: &Value, index: usize) -> Result<Micros, Error> {
    const KEY: &str = "oldestDataMs";
    let limit = staleness_limits.get(index).filter(|limit| limit.is_number());
    let missing = || {
        let found = staleness_limits.get(index).unwrap_or(&Value::Null);
        Error::invalid_value(KEY, "a bound for each lag_bound class", found)
    };
    duration_from_ms(&json!({ KEY: limit.ok_or_else(missing)? }), KEY)
}

fn read_lagging_replica(extra: &Section) -> Result<LaggingReplica, Error> {
    match extra.read(string, "whenBehind")? {
        "silent" => Ok(LaggingReplica::AnswersStale),
        "bounce" => Ok(LaggingReplica::Rejects),
        "await" => Ok(LaggingReplica::WaitsThenRejects(extra.read(duration_from_ms, "patienceMs")?)),
        x => Err(extra.value_error("whenBehind", "silent, bounce or await", x)),
    }
}

fn read_session_commit_source(extra: &Section) -> Result<SessionCommitSource, Error> {
    match extra.read(string, "writeMarks")? {
        "brought" => Ok(SessionCommitSource::CarriedByRequest),
        "kept" => Ok(SessionCommitSource::RememberedByRouter),
        x => Err(extra.value_error("writeMarks", "brought or kept", x)),
    }
}

/// Reads the tenants' quota rates in requests per second; empty if `tenants` is not an array.
fn read_tenant_rates(v: &Value) -> Result<Vec<f64>, Error> {
    let Some(tenants) = v.get("tenants").and_then(Value::as_array) else { return Ok(Vec::new()) };
    let rates: Result<_, _> = tenants.iter().map(|tenant| non_negative_number(tenant, "quotaRps")).collect();
    rates.map_err(|e: Error| e.under_key("tenants"))
}
