//! The placement rules of tenants by request class, and the boundaries that they define.
use settings::fleet::{Fleet, PlacementRule, Tenant, Version};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A set of sites that requests are restricted to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Boundary {
    pub(crate) sites: BTreeSet<String>,
    /// Whether members at other sites must never be used; otherwise the sites are a preference.
    pub(crate) strict: bool,
}

impl Boundary {
    /// The sites of the boundary as text for an error message.
    pub(crate) fn describe_sites(&self) -> String {
        if self.sites.is_empty() {
            return "no site at all".into();
        }
        self.sites.iter().map(String::as_str).collect::<Vec<_>>().join(", ")
    }
}

/// Identifies a boundary. An ID is never reused for another boundary.
pub(crate) type BoundaryId = u32;

/// A tenant's boundary for each class; the last entry is for unknown classes.
type BoundariesByClass = Box<[Option<BoundaryId>]>;

/// The rules of one version of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    pub(crate) version: Version,
    /// The boundaries that at least one rule defines.
    pub(crate) boundaries: BTreeMap<BoundaryId, Boundary>,
    tenants: HashMap<String, BoundariesByClass>,
    /// Applies to requests without a tenant or with an unknown one.
    default_tenant: BoundariesByClass,
}

impl Rules {
    /// Compiles the rules of a configuration. Boundaries that are also in `replaced` retain their IDs;
    /// `last_boundary` is the last ID that was assigned.
    pub(crate) fn compile(
        version: Version,
        fleet: &Fleet,
        classes: &[String],
        replaced: Option<&Rules>,
        last_boundary: &mut BoundaryId,
    ) -> Rules {
        let mut boundary_ids: BTreeMap<Boundary, BoundaryId> =
            replaced.iter().flat_map(|rules| &rules.boundaries).map(|(id, b)| (b.clone(), *id)).collect();
        let mut boundaries = BTreeMap::new();
        let mut assign_id = |rule: &PlacementRule| {
            let boundary = Boundary { sites: rule.sites.clone(), strict: rule.strict };
            let id = *boundary_ids.entry(boundary.clone()).or_insert_with(|| {
                *last_boundary += 1;
                *last_boundary
            });
            boundaries.insert(id, boundary);
            id
        };
        let mut by_class = |tenant: &Tenant| -> BoundariesByClass {
            rules_by_class(tenant, classes).map(|rule| rule.map(&mut assign_id)).collect()
        };
        let tenants: HashMap<String, BoundariesByClass> =
            fleet.tenants.iter().map(|(name, tenant)| (name.clone(), by_class(tenant))).collect();
        let default_tenant = tenants.get(&fleet.default_tenant).cloned().unwrap_or_default();
        Rules { version, boundaries, tenants, default_tenant }
    }

    /// The boundary of a tenant for a class. The default tenant's rules apply if the tenant is unknown or
    /// `None`.
    pub(crate) fn boundary(&self, tenant: Option<&str>, class: usize) -> Option<BoundaryId> {
        let by_class = tenant.and_then(|t| self.tenants.get(t)).unwrap_or(&self.default_tenant);
        *by_class.get(class).or(by_class.last())?
    }
}

/// A tenant's rule for each class, followed by the rule for unknown classes. The first rule that names a
/// class applies to it, otherwise the first rule that names no classes.
fn rules_by_class<'a>(
    tenant: &'a Tenant,
    classes: &'a [String],
) -> impl Iterator<Item = Option<&'a PlacementRule>> {
    let general_rule = tenant.placement_rules.iter().find(|rule| rule.classes.is_none());
    let rule_for_class = |class: &String| {
        tenant
            .placement_rules
            .iter()
            .find(|rule| rule.classes.as_ref().is_some_and(|names| names.contains(class)))
    };
    classes.iter().map(move |class| rule_for_class(class).or(general_rule)).chain([general_rule])
}
