//! The order of the rules that determine a request's tenant.
use fleet::client::tenants::TenantDirectory;
use settings::fleet::Fleet;

#[test]
fn tenant_of_user_precedes_named_tenant_and_default_tenant_is_last() {
    let text = "routers = 1\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n[[tenant]]\nname = 'tills'\nusers = ['till']\n";
    let tenants = TenantDirectory::new(7, &settings::fleet::read(text, None).unwrap());
    let resolve = |user, named| tenants.resolve(user, named).map(ToString::to_string);
    assert_eq!(resolve("till", Some("all")).as_deref(), Some("tills"));
    assert_eq!(resolve("guest", Some("tills")).as_deref(), Some("tills"));
    assert_eq!(resolve("guest", Some("nobody")).as_deref(), Some("all"));
}

#[test]
fn fleet_without_tenants_resolves_to_none() {
    let tenants = TenantDirectory::new(0, &Fleet::default());
    assert_eq!(tenants.resolve("till", Some("tills")), None);
}
