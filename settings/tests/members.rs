//! The table `[members]`: its defaults, and the keys that errors in invalid tables name.
use settings::members::{Error, MembershipConfig, read};
use std::time::Duration;

fn read_with(extra: &str) -> Result<MembershipConfig, Error> {
    let table = format!("name = 'r1'\nlisten = '127.0.0.1:7301'\ncluster = 'shop'\n{extra}");
    read(&toml::from_str(&table).expect("TOML"), 7)
}

#[test]
fn default_period_is_500_ms_and_default_minimum_is_half_the_fleet() {
    let config = read_with("").expect("a valid table");
    assert_eq!(
        (config.protocol_period, config.min_counted_routers, config.advertised_address, config.seeds.len()),
        (Duration::from_millis(500), 4, None, 0)
    );
}

#[test]
fn invalid_table_is_rejected_with_the_key() {
    let cases = [
        ("seeds = ['10.0.0.1:7']", "'seeds'"),
        ("told = '127.0.0.1:0'", "'told'"),
        ("rhythm_ms = 5", "'rhythm_ms'"),
        ("least = 8", "'least'"),
        ("least = 0", "'least'"),
        ("sedes = []", "sedes"),
    ];
    for (extra, key) in cases {
        let error = read_with(extra).expect_err(extra).to_string();
        assert!(error.contains(key), "{error}");
    }
    let error = read(&serde_json::json!({"name": "a b", "listen": "x", "cluster": "c"}), 1);
    assert_eq!(error, Err(Error::Name("a b".into())));
    let error = read(&serde_json::json!({"name": "a", "cluster": "c"}), 1).expect_err("no address");
    assert!(error.to_string().contains("listen"), "{error}");
}
