//! The rules of tenants by class, and the boundaries that they draw.
use settings::fleet::{Fleet, PlacementRule, Tenant, Version};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Where data may be.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Boundary {
    pub(crate) sites: BTreeSet<String>,
    /// Nowhere else at all; otherwise the sites are a preference.
    pub(crate) strict: bool,
}

impl Boundary {
    /// The sites in words, for an error message.
    pub(crate) fn describe_sites(&self) -> String {
        if self.sites.is_empty() {
            return "no site at all".into();
        }
        self.sites.iter().map(String::as_str).collect::<Vec<_>>().join(", ")
    }
}

/// A boundary's number. It is never given to another boundary.
pub(crate) type BoundaryId = u32;

/// A tenant's boundary for each class; the last one is for classes that are not known.
type BoundariesByClass = Box<[Option<BoundaryId>]>;

/// The rules of one version.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    pub(crate) version: Version,
    /// The boundaries that some rule draws.
    pub(crate) boundaries: BTreeMap<BoundaryId, Boundary>,
    tenants: HashMap<String, BoundariesByClass>,
    /// For requests of tenants that are not known, and of none.
    unnamed: BoundariesByClass,
}

impl Rules {
    /// The rules of a configuration. Boundaries that `replaced` had keep their numbers; `last_boundary` is the last
    /// number that was given.
    pub(crate) fn read(
        version: Version,
        fleet: &Fleet,
        classes: &[String],
        replaced: Option<&Rules>,
        last_boundary: &mut BoundaryId,
    ) -> Rules {
        let mut numbers: BTreeMap<Boundary, BoundaryId> =
            replaced.iter().flat_map(|rules| &rules.boundaries).map(|(id, b)| (b.clone(), *id)).collect();
        let mut boundaries = BTreeMap::new();
        let mut number = |place: &PlacementRule| {
            let boundary = Boundary { sites: place.sites.clone(), strict: place.strict };
            let id = *numbers.entry(boundary.clone()).or_insert_with(|| {
                *last_boundary += 1;
                *last_boundary
            });
            boundaries.insert(id, boundary);
            id
        };
        let mut by_class = |tenant: &Tenant| -> BoundariesByClass {
            places_by_class(tenant, classes).map(|place| place.map(&mut number)).collect()
        };
        let tenants: HashMap<String, BoundariesByClass> =
            fleet.tenants.iter().map(|(name, tenant)| (name.clone(), by_class(tenant))).collect();
        let unnamed = tenants.get(&fleet.default_tenant).cloned().unwrap_or_default();
        Rules { version, boundaries, tenants, unnamed }
    }

    /// The boundary of a tenant for a class, by the unnamed tenant's rules where the tenant is not known or none.
    pub(crate) fn boundary(&self, tenant: Option<&str>, class: usize) -> Option<BoundaryId> {
        let by_class = tenant.and_then(|t| self.tenants.get(t)).unwrap_or(&self.unnamed);
        *by_class.get(class).or(by_class.last())?
    }
}

/// A tenant's rule for each class, and last the one for classes that are not known. The first rule that names the class
/// counts, else the first that names none.
fn places_by_class<'a>(
    tenant: &'a Tenant,
    classes: &'a [String],
) -> impl Iterator<Item = Option<&'a PlacementRule>> {
    let rest = tenant.placement_rules.iter().find(|place| place.classes.is_none());
    let named = |class: &String| {
        tenant
            .placement_rules
            .iter()
            .find(|place| place.classes.as_ref().is_some_and(|names| names.contains(class)))
    };
    classes.iter().map(move |class| named(class).or(rest)).chain([rest])
}
