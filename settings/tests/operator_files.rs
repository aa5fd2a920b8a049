//! The operator's file: what follows from its keys.
use settings::operator::read;

const SHIPPED: &str = include_str!("../../deploy/mysql.toml");

#[test]
fn unchecked_connections_idle_no_longer_than_they_are_trusted() {
    let limits = read(SHIPPED).unwrap().limits;
    assert_eq!(limits.backend_idle_timeout, limits.max_unchecked_idle_time);
}

#[test]
fn sites_of_router_and_servers_are_optional() {
    let mysql = read(SHIPPED).unwrap().mysql;
    assert_eq!((mysql.site, mysql.servers[0].site.as_ref()), (None, None));
    let toml = SHIPPED.replace("# site =", "site =").replace("listen =", "site = \"north\"\nlisten =");
    let mysql = read(&toml).unwrap().mysql;
    assert_eq!((mysql.site.as_deref(), mysql.servers[0].site.as_deref()), (Some("north"), Some("north")));
}
