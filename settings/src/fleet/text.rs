//! Parses a fleet document from TOML and validates each key and the combinations of keys.
use super::document::{
    Fleet, MAX_DOCUMENT_BYTES, MAX_ROUTERS, MAX_TENANTS, OnLoss, PlacementRule, Quota, Tenant,
};
use super::error::{FleetError, invalid_value};
use super::names::{check_name, name_set};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// The highest quota rate, in requests per second, and the largest burst, in requests.
const MAX_RATE_AND_BURST: f64 = 1e9;

// Error messages contain the names of the types `DocumentText`, `TenantText` and `PlaceText` and of their
// fields.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DocumentText {
    routers: u32,
    #[serde(default)]
    sites: Vec<String>,
    unnamed: String,
    #[serde(default)]
    tenant: Vec<TenantText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantText {
    name: String,
    #[serde(default)]
    users: Vec<String>,
    rate: Option<f64>,
    burst: Option<u32>,
    on_loss: Option<OnLossText>,
    #[serde(default)]
    place: Vec<PlaceText>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OnLossText {
    Word(String),
    Share(f64),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlaceText {
    sites: Vec<String>,
    how: String,
    classes: Option<Vec<String>>,
}

/// Reads a fleet document from TOML. `classes` are the class names that placement rules may use, if known;
/// otherwise class names are not checked.
///
/// # Errors
/// A [`FleetError`] that names the faulty key; the whole document is rejected.
pub fn read(text: &str, classes: Option<&[String]>) -> Result<Fleet, FleetError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(invalid_value("document", format!("at most {MAX_DOCUMENT_BYTES} bytes"), text.len()));
    }
    let document: DocumentText = toml::from_str(text)?;
    if !(1..=MAX_ROUTERS).contains(&document.routers) {
        return Err(invalid_value("routers", format!("1 to {MAX_ROUTERS}"), document.routers));
    }
    if document.tenant.len() > MAX_TENANTS {
        return Err(invalid_value("tenant", format!("at most {MAX_TENANTS} tenants"), document.tenant.len()));
    }
    let sites = name_set("sites", &document.sites)?;
    let tenants = read_tenants(&document.tenant, &sites, classes)?;
    if !tenants.contains_key(&document.unnamed) {
        let found = format!("'{}'", document.unnamed);
        return Err(invalid_value("unnamed", "the name of one of the tenants", found));
    }
    Ok(Fleet { max_routers: document.routers, sites, default_tenant: document.unnamed, tenants })
}

/// Reads the tenants, keyed by name, and rejects duplicate tenants and users.
fn read_tenants(
    tenant_texts: &[TenantText],
    sites: &BTreeSet<String>,
    classes: Option<&[String]>,
) -> Result<BTreeMap<String, Tenant>, FleetError> {
    let mut tenants = BTreeMap::new();
    let mut tenant_of_user = BTreeMap::new();
    for (i, text) in tenant_texts.iter().enumerate() {
        let name = &text.name;
        check_name(&format!("tenant[{i}].name"), name)?;
        let key = format!("tenant '{name}'");
        let tenant = read_tenant(&key, text, sites)?;
        assign_users(&key, name, &tenant.users, &mut tenant_of_user)?;
        check_classes(&key, &tenant.placement_rules, classes)?;
        if tenants.insert(name.clone(), tenant).is_some() {
            let key = format!("tenant[{i}].name");
            return Err(FleetError::Duplicate {
                key,
                name: name.clone(),
                first_key: "an earlier tenant".into(),
            });
        }
    }
    Ok(tenants)
}

/// Assigns the users to the tenant and rejects a user that another tenant has.
fn assign_users(
    key: &str,
    tenant: &str,
    users: &BTreeSet<String>,
    tenant_of_user: &mut BTreeMap<String, String>,
) -> Result<(), FleetError> {
    for user in users {
        if let Some(first_tenant) = tenant_of_user.insert(user.clone(), tenant.to_string()) {
            let (key, first_key) = (format!("{key}.users"), format!("tenant '{first_tenant}'.users"));
            return Err(FleetError::Duplicate { key, name: user.clone(), first_key });
        }
    }
    Ok(())
}

/// Rejects a placement rule for an unknown class; does nothing if the classes are not known.
fn check_classes(key: &str, rules: &[PlacementRule], classes: Option<&[String]>) -> Result<(), FleetError> {
    let Some(known) = classes else { return Ok(()) };
    for (i, place) in rules.iter().enumerate() {
        if let Some(unknown) = place.classes.iter().flatten().find(|class| !known.contains(class)) {
            let expected = format!("classes of the front ({})", known.join(", "));
            return Err(invalid_value(format!("{key}.place[{i}].classes"), expected, format!("'{unknown}'")));
        }
    }
    Ok(())
}

fn read_tenant(key: &str, text: &TenantText, sites: &BTreeSet<String>) -> Result<Tenant, FleetError> {
    let users = name_set(&format!("{key}.users"), &text.users)?;
    let mut rules = Vec::new();
    // The classes that already have a rule; `None` stands for all classes that no rule names.
    let mut classes_with_rule = BTreeSet::new();
    for (i, place) in text.place.iter().enumerate() {
        let key = format!("{key}.place[{i}]");
        let place = read_placement_rule(&key, place, sites)?;
        let classes: Vec<Option<String>> = match &place.classes {
            None => vec![None],
            Some(classes) => classes.iter().cloned().map(Some).collect(),
        };
        for class in classes {
            if !classes_with_rule.insert(class.clone()) {
                return Err(overlap_error(key, class));
            }
        }
        rules.push(place);
    }
    Ok(Tenant { users, quota: read_quota(key, text)?, placement_rules: rules })
}

/// Creates the error for a second rule for a class, or for all classes that no rule names (`None`).
fn overlap_error(key: String, class: Option<String>) -> FleetError {
    let class = match class {
        None => "all classes that no other rule names".into(),
        Some(name) => format!("class '{name}'"),
    };
    FleetError::Overlap { key, class }
}

fn read_placement_rule(
    key: &str,
    text: &PlaceText,
    document_sites: &BTreeSet<String>,
) -> Result<PlacementRule, FleetError> {
    let sites_key = format!("{key}.sites");
    let sites = name_set(&sites_key, &text.sites)?;
    if sites.is_empty() {
        return Err(invalid_value(sites_key, "at least one site", "none"));
    }
    if let Some(unknown) = sites.iter().find(|site| !document_sites.contains(*site)) {
        let known = document_sites.iter().cloned().collect::<Vec<_>>().join(", ");
        return Err(invalid_value(
            sites_key,
            format!("sites of the document ({known})"),
            format!("'{unknown}'"),
        ));
    }
    let strict = match text.how.as_str() {
        "strict" => true,
        "prefer" => false,
        x => return Err(invalid_value(format!("{key}.how"), "\"strict\" or \"prefer\"", format!("'{x}'"))),
    };
    let classes_key = format!("{key}.classes");
    let classes = text.classes.as_ref().map(|classes| name_set(&classes_key, classes)).transpose()?;
    if classes.as_ref().is_some_and(BTreeSet::is_empty) {
        return Err(invalid_value(classes_key, "at least one class, or no such key", "none"));
    }
    Ok(PlacementRule { sites, strict, classes })
}

fn read_quota(key: &str, text: &TenantText) -> Result<Option<Quota>, FleetError> {
    let Some(rate) = text.rate else {
        return match (text.burst, &text.on_loss) {
            (None, None) => Ok(None),
            _ => Err(invalid_value(format!("{key}.rate"), "a rate with 'burst' or 'on_loss'", "none")),
        };
    };
    if !(0.0..=MAX_RATE_AND_BURST).contains(&rate) {
        let expected = "requests a second, 0 to 1000000000";
        return Err(invalid_value(format!("{key}.rate"), expected, rate));
    }
    let burst_key = || format!("{key}.burst");
    let burst = text.burst.ok_or_else(|| invalid_value(burst_key(), "requests beyond the rate", "none"))?;
    if (burst == 0 && rate > 0.0) || f64::from(burst) > MAX_RATE_AND_BURST {
        let expected = "at least 1 where the rate is above 0, at most 1000000000";
        return Err(invalid_value(burst_key(), expected, burst));
    }
    let on_loss = read_on_loss(key, text.on_loss.as_ref())?;
    Ok(Some(Quota { rate, burst, on_loss }))
}

fn read_on_loss(key: &str, text: Option<&OnLossText>) -> Result<OnLoss, FleetError> {
    let found = match text {
        None => return Ok(OnLoss::Closed),
        Some(OnLossText::Word(word)) if word == "closed" => return Ok(OnLoss::Closed),
        Some(OnLossText::Share(share)) if *share > 0.0 && *share <= 1.0 => return Ok(OnLoss::Share(*share)),
        Some(OnLossText::Share(share)) => share.to_string(),
        Some(OnLossText::Word(word)) => format!("'{word}'"),
    };
    Err(invalid_value(format!("{key}.on_loss"), "\"closed\" or a share above 0 and at most 1", found))
}
