//! The operators' limits on how many members may be out of service at the same time.
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A limit on the number of members out of service at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "RawLimit")]
pub enum Limit {
    /// A limit of this number of members.
    Count(u32),
    /// A limit of this percentage of the members, 1 to 100.
    Percent(u32),
}

impl Limit {
    /// The limit for a set of this many members. A percentage is rounded down but is at least one, because
    /// otherwise no member of a small zone could ever be taken out of service.
    pub fn resolve(self, members: usize) -> usize {
        match self {
            Limit::Count(count) => count as usize,
            Limit::Percent(percent) => (members * percent as usize / 100).max(1),
        }
    }
}

/// The limits for one kind of member.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// The limit for the whole fleet.
    #[serde(rename = "all")]
    pub fleet: Limit,
    /// The limit for each zone.
    pub zone: Limit,
}

/// How many members may be out of service at the same time. In TOML: `routers = { all = "10%", zone = 5 }`,
/// and the same for `instances`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawBudget")]
pub struct DisruptionBudget {
    /// The limits for routers.
    pub routers: Limits,
    /// The limits for database instances.
    pub instances: Limits,
}

/// A limit is invalid, so the whole budget is rejected.
#[derive(Debug, Error, PartialEq)]
#[error("'budget.{key}': expected an integer of at least 1, or \"1%\" to \"100%\", found {found}")]
pub struct BudgetError {
    /// The key in the `budget` section.
    pub key: &'static str,
    /// The invalid value of the key.
    pub found: String,
}

/// A limit in the notation of the settings file.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum RawLimit {
    Count(i64),
    Fraction(f64),
    Text(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    #[serde(rename = "all")]
    fleet: RawLimit,
    zone: RawLimit,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    routers: RawLimits,
    instances: RawLimits,
}

impl From<Limit> for RawLimit {
    fn from(limit: Limit) -> RawLimit {
        match limit {
            Limit::Count(count) => RawLimit::Count(count.into()),
            Limit::Percent(percent) => RawLimit::Text(format!("{percent}%")),
        }
    }
}

fn parse_percent(text: &str) -> Option<Limit> {
    text.strip_suffix('%').and_then(|digits| digits.parse().ok()).map(Limit::Percent)
}

fn parse_limit(key: &'static str, raw: RawLimit) -> Result<Limit, BudgetError> {
    let (limit, found) = match raw {
        RawLimit::Count(count) => (u32::try_from(count).ok().map(Limit::Count), count.to_string()),
        RawLimit::Fraction(fraction) => (None, fraction.to_string()),
        RawLimit::Text(text) => (parse_percent(&text), format!("{text:?}")),
    };
    match limit {
        Some(limit @ (Limit::Count(1..) | Limit::Percent(1..=100))) => Ok(limit),
        _ => Err(BudgetError { key, found }),
    }
}

impl TryFrom<RawBudget> for DisruptionBudget {
    type Error = BudgetError;

    fn try_from(raw: RawBudget) -> Result<DisruptionBudget, BudgetError> {
        Ok(DisruptionBudget {
            routers: Limits {
                fleet: parse_limit("routers.all", raw.routers.fleet)?,
                zone: parse_limit("routers.zone", raw.routers.zone)?,
            },
            instances: Limits {
                fleet: parse_limit("instances.all", raw.instances.fleet)?,
                zone: parse_limit("instances.zone", raw.instances.zone)?,
            },
        })
    }
}
