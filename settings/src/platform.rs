//! Reads the settings object of a start message. Keys that are not named here are skipped.
use crate::fields::{array, field, flag, micros, number, text, whole};
use decision::{Class, Effect, Freshness, Micros, Settings, Tokens, WhenBehind};
use serde_json::Value;

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

fn class(c: &Value, need: &Value, bound: Option<&Value>) -> Result<Class, String> {
    let window = || number(c, "repeatWindowMs").map(micros);
    let effect = match text(c, "semantics")? {
        "read_like" => Effect::Safe,
        "non_idempotent" => Effect::Unsafe,
        "idempotency_key" => match text(c, "group")? {
            "cell" => Effect::KeyedInGroup(window()?),
            "all" => Effect::KeyedEverywhere(window()?),
            "zone" => Effect::KeyedInZone(window()?),
            x => return Err(format!("expected cell, all or zone in 'group', found '{x}'")),
        },
        x => return Err(format!("expected known 'semantics', found '{x}'")),
    };
    let freshness = match need.as_str() {
        Some("mutate") => Freshness::Write,
        Some("strong") => Freshness::Fresh,
        Some("causal") => Freshness::Session,
        Some("eventual") => Freshness::Any,
        Some("lag_bound") => Freshness::Bounded(micros(
            bound
                .and_then(Value::as_f64)
                .ok_or("expected a bound in 'oldestDataMs' for each lag_bound class")?,
        )),
        _ => return Err(format!("expected a known word in 'freshness', found {need}")),
    };
    Ok(Class {
        freshness,
        effect,
        aim: micros(number(c, "objectiveMs")?),
        deadline: micros(number(c, "deadlineMs")?),
        worth: number(c, "worth")?,
        late_worth: number(c, "lateWorth")?,
    })
}

/// The router's settings and the adapter's.
pub fn read(v: &Value) -> Result<(Settings, Translation), String> {
    let (extra, limits, rules) = (field(v, "extra")?, field(v, "limits")?, field(v, "contract")?);
    let needs = array(extra, "freshness")?;
    let bounds = extra.get("oldestDataMs").and_then(Value::as_array);
    let listed = array(v, "classes")?;
    if needs.len() != listed.len() {
        return Err(format!("expected one word in 'freshness' for each of {} classes", listed.len()));
    }
    let classes = listed
        .iter()
        .zip(needs)
        .enumerate()
        .map(|(i, (c, need))| class(c, need, bounds.and_then(|b| b.get(i))))
        .collect::<Result<Vec<_>, _>>()?;
    let when_behind = match text(extra, "whenBehind")? {
        "silent" => WhenBehind::Answers,
        "bounce" => WhenBehind::Bounces,
        "await" => WhenBehind::Waits(micros(number(extra, "patienceMs")?)),
        x => return Err(format!("expected silent, bounce or await in 'whenBehind', found '{x}'")),
    };
    let tokens = match text(extra, "writeMarks")? {
        "brought" => Tokens::Carried,
        "kept" => Tokens::Remembered,
        x => return Err(format!("expected brought or kept in 'writeMarks', found '{x}'")),
    };
    let tenants = match v.get("tenants") {
        Some(Value::Array(a)) => a.iter().map(|t| number(t, "quotaRps")).collect::<Result<Vec<_>, _>>()?,
        _ => Vec::new(),
    };
    let translation = Translation {
        zero: micros(number(extra, "positionZeroMs")?),
        writes: classes.iter().map(|c| c.freshness == Freshness::Write).collect(),
        tenants: tenants.len(),
    };
    let come_back = flag(limits, "retryAfter")?;
    let settings = Settings {
        classes,
        tenant_rates: tenants,
        over_share_worth: v.get("overShareWorth").and_then(Value::as_f64).unwrap_or(1.0),
        drivers: whole(v, "replicasOfMe")?.max(1) as u32,
        zone: whole(v, "zone")? as u32,
        round: micros(number(v, "roundMs")?),
        when_behind,
        tokens,
        may_duplicate: flag(limits, "mayDuplicate")?,
        max_attempts: whole(limits, "mostTries")? as u32,
        may_cancel: flag(limits, "cancel")?,
        may_probe: flag(limits, "probes")?,
        probe_price: v.get("prices").and_then(|p| p.get("probe")).and_then(Value::as_f64).unwrap_or(0.0),
        max_come_back: come_back.then(|| number(limits, "maxRetryAfterMs").map(micros)).transpose()?,
        connect_timeout: micros(number(limits, "dialTimeoutMs")?),
        drain_grace: micros(number(rules, "drainGraceMs")?),
        only_draining_binds: flag(rules, "drainBindsAlone")?,
        cold_from: number(rules, "coldFrom")?,
        cold_time: micros(number(rules, "coldMs")?),
        overload_factor: number(rules, "overloadFactor")?,
        tip_time: micros(number(rules, "tipAfterMs")?),
        list_on_request: text(v, "membershipMode")? == "subscribe",
    };
    Ok((settings, translation))
}
