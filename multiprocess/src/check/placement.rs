//! Checks that statements run only at the sites of a strict placement rule that is in force.
use super::configuration::values_in_force;
use super::settings::CheckSettings;
use super::verdict::Verdict;
use super::violation::Violation;
use crate::history::{AllowedSites, History, Micros, Statement, Tenant};
use std::collections::BTreeMap;

/// Indexes of a tenant and of the server that ran its statements.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TenantAtServer {
    tenant: usize,
    server: usize,
}

/// The statements of a tenant that a server ran in violation of the placement rules.
#[derive(Default)]
struct MisplacedStatements {
    statements: usize,
    /// Maximum time between the commit of the rule and a statement that violates it.
    latest: Micros,
}

pub(super) fn check(history: &History, settings: &CheckSettings, verdict: &mut Verdict) {
    let mut misplaced: BTreeMap<TenantAtServer, MisplacedStatements> = BTreeMap::new();
    for statement in &history.statements {
        let Some(tenant) = history.tenants.get(statement.tenant) else { continue };
        let site = &history.servers[statement.server].site;
        if is_allowed(statement, tenant, site, settings.placement_settle_time) {
            continue;
        }
        let key = TenantAtServer { tenant: statement.tenant, server: statement.server };
        let found = misplaced.entry(key).or_default();
        found.statements += 1;
        found.latest = found.latest.max(statement.at - rule_committed(tenant, statement.at));
    }
    for (TenantAtServer { tenant, server }, MisplacedStatements { statements, latest }) in misplaced {
        let (tenant, server) = (history.tenants[tenant].name.clone(), history.servers[server].name.clone());
        verdict.violations.push(Violation::OutsidePlacement { tenant, server, statements, latest });
    }
}

/// Whether any rule in force allows the site; if no rule is in force, every site is allowed.
fn is_allowed(statement: &Statement, tenant: &Tenant, site: &str, settle_time: Micros) -> bool {
    let mut rules = values_in_force(&tenant.placements, statement.at, settle_time).peekable();
    let allows = |rule: &AllowedSites| {
        let sites = if statement.write { &rule.writes } else { &rule.reads };
        sites.as_ref().is_none_or(|sites| sites.contains(site))
    };
    rules.peek().is_none() || rules.any(allows)
}

/// Returns the commit time of the last rule that was committed by `at`.
fn rule_committed(tenant: &Tenant, at: Micros) -> Micros {
    let rule = tenant.placements.iter().rev().find(|rule| rule.committed <= at);
    rule.map_or(0, |rule| rule.committed)
}
