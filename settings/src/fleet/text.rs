//! Reading a document from TOML, with a check of each key and of what the keys say together.
use super::document::{
    Fleet, MAX_DOCUMENT_BYTES, MAX_ROUTERS, MAX_TENANTS, OnLoss, PlacementRule, Quota, Tenant,
};
use super::error::{FleetError, value};
use super::names::{check_name, name_set};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// The highest rate, in requests a second, and the highest burst, in requests.
const MAX_REQUESTS: f64 = 1e9;

// The names of these types and their fields stand in error messages.

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

/// Reads a document from TOML. `classes` are the names of the front's classes, where they are known.
///
/// # Errors
/// A [`FleetError`] that names the faulty key; nothing of the document is used then.
pub fn read(text: &str, classes: Option<&[String]>) -> Result<Fleet, FleetError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(value("document", format!("at most {MAX_DOCUMENT_BYTES} bytes"), text.len()));
    }
    let document: DocumentText = toml::from_str(text)?;
    if !(1..=MAX_ROUTERS).contains(&document.routers) {
        return Err(value("routers", format!("1 to {MAX_ROUTERS}"), document.routers));
    }
    if document.tenant.len() > MAX_TENANTS {
        return Err(value("tenant", format!("at most {MAX_TENANTS} tenants"), document.tenant.len()));
    }
    let sites = name_set("sites", &document.sites)?;
    let tenants = read_tenants(&document.tenant, &sites, classes)?;
    if !tenants.contains_key(&document.unnamed) {
        let found = format!("'{}'", document.unnamed);
        return Err(value("unnamed", "the name of one of the tenants", found));
    }
    Ok(Fleet { max_routers: document.routers, sites, default_tenant: document.unnamed, tenants })
}

/// The tenants by name. Neither a tenant nor a user may stand twice.
fn read_tenants(
    listed: &[TenantText],
    sites: &BTreeSet<String>,
    classes: Option<&[String]>,
) -> Result<BTreeMap<String, Tenant>, FleetError> {
    let mut tenants = BTreeMap::new();
    let mut tenant_of_user = BTreeMap::new();
    for (i, text) in listed.iter().enumerate() {
        let name = &text.name;
        check_name(&format!("tenant[{i}].name"), name)?;
        let key = format!("tenant '{name}'");
        let tenant = read_tenant(&key, text, sites)?;
        claim_users(&key, name, &tenant.users, &mut tenant_of_user)?;
        check_classes(&key, &tenant.placement_rules, classes)?;
        if tenants.insert(name.clone(), tenant).is_some() {
            let key = format!("tenant[{i}].name");
            return Err(FleetError::Twice { key, name: name.clone(), before: "an earlier tenant".into() });
        }
    }
    Ok(tenants)
}

/// Notes the users as this tenant's; none may be another's.
fn claim_users(
    key: &str,
    tenant: &str,
    users: &BTreeSet<String>,
    tenant_of_user: &mut BTreeMap<String, String>,
) -> Result<(), FleetError> {
    for user in users {
        if let Some(before) = tenant_of_user.insert(user.clone(), tenant.to_string()) {
            let (key, before) = (format!("{key}.users"), format!("tenant '{before}'.users"));
            return Err(FleetError::Twice { key, name: user.clone(), before });
        }
    }
    Ok(())
}

/// Refuses a rule for a class that the front does not have, where its classes are known.
fn check_classes(key: &str, places: &[PlacementRule], classes: Option<&[String]>) -> Result<(), FleetError> {
    let Some(known) = classes else { return Ok(()) };
    for (i, place) in places.iter().enumerate() {
        if let Some(unknown) = place.classes.iter().flatten().find(|class| !known.contains(class)) {
            let expected = format!("classes of the front ({})", known.join(", "));
            return Err(value(format!("{key}.place[{i}].classes"), expected, format!("'{unknown}'")));
        }
    }
    Ok(())
}

fn read_tenant(key: &str, text: &TenantText, sites: &BTreeSet<String>) -> Result<Tenant, FleetError> {
    let users = name_set(&format!("{key}.users"), &text.users)?;
    let mut places = Vec::new();
    // The classes that have a rule; `None` for all that no rule names.
    let mut classes_with_rule = BTreeSet::new();
    for (i, place) in text.place.iter().enumerate() {
        let key = format!("{key}.place[{i}]");
        let place = read_place(&key, place, sites)?;
        let classes: Vec<Option<String>> = match &place.classes {
            None => vec![None],
            Some(classes) => classes.iter().cloned().map(Some).collect(),
        };
        for class in classes {
            if !classes_with_rule.insert(class.clone()) {
                return Err(overlap(key, class));
            }
        }
        places.push(place);
    }
    Ok(Tenant { users, quota: read_quota(key, text)?, placement_rules: places })
}

/// The error for a second rule for a class, or for all that no rule names.
fn overlap(key: String, class: Option<String>) -> FleetError {
    let class = match class {
        None => "all classes that no other rule names".into(),
        Some(name) => format!("class '{name}'"),
    };
    FleetError::Overlap { key, class }
}

fn read_place(key: &str, text: &PlaceText, listed: &BTreeSet<String>) -> Result<PlacementRule, FleetError> {
    let sites_key = format!("{key}.sites");
    let sites = name_set(&sites_key, &text.sites)?;
    if sites.is_empty() {
        return Err(value(sites_key, "at least one site", "none"));
    }
    if let Some(unknown) = sites.iter().find(|site| !listed.contains(*site)) {
        let known = listed.iter().cloned().collect::<Vec<_>>().join(", ");
        return Err(value(sites_key, format!("sites of the document ({known})"), format!("'{unknown}'")));
    }
    let strict = match text.how.as_str() {
        "strict" => true,
        "prefer" => false,
        x => return Err(value(format!("{key}.how"), "\"strict\" or \"prefer\"", format!("'{x}'"))),
    };
    let classes_key = format!("{key}.classes");
    let classes = text.classes.as_ref().map(|classes| name_set(&classes_key, classes)).transpose()?;
    if classes.as_ref().is_some_and(BTreeSet::is_empty) {
        return Err(value(classes_key, "at least one class, or no such key", "none"));
    }
    Ok(PlacementRule { sites, strict, classes })
}

fn read_quota(key: &str, text: &TenantText) -> Result<Option<Quota>, FleetError> {
    let Some(rate) = text.rate else {
        return match (text.burst, &text.on_loss) {
            (None, None) => Ok(None),
            _ => Err(value(format!("{key}.rate"), "a rate beside 'burst' or 'on_loss'", "none")),
        };
    };
    if !(0.0..=MAX_REQUESTS).contains(&rate) {
        let expected = "requests a second, 0 to 1000000000";
        return Err(value(format!("{key}.rate"), expected, rate));
    }
    let burst_key = || format!("{key}.burst");
    let burst = text.burst.ok_or_else(|| value(burst_key(), "requests beyond the rate", "none"))?;
    if (burst == 0 && rate > 0.0) || f64::from(burst) > MAX_REQUESTS {
        let expected = "at least 1 where the rate is above 0, at most 1000000000";
        return Err(value(burst_key(), expected, burst));
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
    Err(value(format!("{key}.on_loss"), "\"closed\" or a share above 0 and at most 1", found))
}
