//! Settings that are derived from the keys of an operator's file.
use settings::operator::read;

const SHIPPED: &str = include_str!("../../deploy/mysql.toml");

#[test]
fn mysql_connections_are_closed_when_they_would_need_a_check() {
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
