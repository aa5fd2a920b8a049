//! The table `[members]`: its defaults, and which key a faulty one is refused by.
use settings::members::{Error, MembershipConfig, read};
use std::time::Duration;

fn read_with(more: &str) -> Result<MembershipConfig, Error> {
    let table = format!("name = 'r1'\nlisten = '127.0.0.1:7301'\ncluster = 'shop'\n{more}");
    read(&toml::from_str(&table).expect("TOML"), 7)
}

#[test]
fn defaults_are_half_a_second_and_half_the_fleet() {
    let m = read_with("").expect("good");
    assert_eq!(
        (m.protocol_period, m.min_counted_routers, m.advertised_address, m.seeds.len()),
        (Duration::from_millis(500), 4, None, 0)
    );
}

#[test]
fn faulty_table_is_refused_with_the_key() {
    let cases = [
        ("seeds = ['10.0.0.1:7']", "'seeds'"),
        ("told = '127.0.0.1:0'", "'told'"),
        ("rhythm_ms = 5", "'rhythm_ms'"),
        ("least = 8", "'least'"),
        ("least = 0", "'least'"),
        ("sedes = []", "sedes"),
    ];
    for (more, key) in cases {
        let e = read_with(more).expect_err(more).to_string();
        assert!(e.contains(key), "{e}");
    }
    let e = read(&serde_json::json!({"name": "a b", "listen": "x", "cluster": "c"}), 1);
    assert_eq!(e, Err(Error::Name("a b".into())));
    let e = read(&serde_json::json!({"name": "a", "cluster": "c"}), 1).expect_err("no address");
    assert!(e.to_string().contains("listen"), "{e}");
}
