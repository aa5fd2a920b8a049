//! Error messages for invalid configuration files: the path of keys, the expected values and the value found.
use serde_json::{Value, json};

const MYSQL: &str =
    "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'r'\nprobe = 'SELECT 1'\n";
const CLASS: &str =
    "[[mysql.class]]\nname = 'a'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 5\ndeadline_ms = 9\n";
const STORE: &str = "[store]\nnode = 1\n[[store.peer]]\nnode = 1\naddr = '127.0.0.1:7'\n";
const SESSIONS: &str = "[sessions]\ninstance = 1\nlisten = '127.0.0.1:0'\n";
const REGISTRY: &str = "[registry]\nkind = 'etcd'\nprefix = 'a'\nendpoints = ['127.0.0.1:1']\n";

#[test]
fn invalid_operator_file_is_rejected_with_the_key() {
    let with = |more: &str| format!("{MYSQL}{more}");
    let listen = |x: &str| MYSQL.replace("'127.0.0.1:0'", x);
    let class = |from: &str, to: &str| format!("{MYSQL}{CLASS}{}", CLASS.replace(from, to));
    let cases = [
        (String::new(), "expected the field 'mysql', found none"),
        ("mysql = 3".into(), "mysql: expected a table, found a number"),
        (listen("7"), "mysql: expected text in 'listen', found a number"),
        (MYSQL.replace("listen", "lisen"), "mysql: the key 'lisen' is not known; known are listen"),
        (MYSQL.replace("database = 'stock'\n", ""), "mysql: expected the field 'database', found none"),
        (with("sockets = 1.5\n"), "mysql: expected a whole number in 'sockets', found 1.5"),
        (with("sockets = -1\n"), "mysql: expected a whole number in 'sockets', found -1"),
        (with("connect_ms = 0\n"), "mysql: expected a positive number in 'connect_ms', found 0"),
        (with("server_clock = 'yes'\n"), "mysql: expected true or false in 'server_clock', found a text"),
        (with("user = 'cook'\n"), "mysql: expected an array in 'user', found a text"),
        // Error messages do not contain secrets.
        (
            with("[[mysql.user]]\nname = 'a'\npassword = 4711\n"),
            "mysql: user[0]: expected text in 'password', found a number",
        ),
        (
            class("'any'", "'old'"),
            "mysql: class[1]: expected write, fresh, session, bounded or any in 'freshness', found 'old'",
        ),
        (class("'any'", "'bounded'"), "mysql: class[1]: expected the field 'bound_ms', found none"),
        (class("'safe'", "'odd'"), "mysql: class[1]: expected safe or unsafe in 'effect', found 'odd'"),
        (
            class("aim_ms = 5", "aim_ms = 10"),
            "mysql: class[1]: expected 'aim_ms' to be at most 'deadline_ms', found 10 above 9",
        ),
        (
            with("[[mysql.rule]]\nstarts = 'x'\nclass = 'none'\n"),
            "mysql: rule[0]: expected a listed class in 'class', found 'none'",
        ),
        (
            with("[[mysql.server]]\nid = 'a'\naddr = 'b'\n"),
            "mysql: server[0]: expected ip:port in 'addr', found 'b'",
        ),
        (
            with(&STORE.replacen("node = 1", "node = 2", 1)),
            "store: expected 'node' to be one of the peers and not 0, found 2",
        ),
        (
            with(&STORE.replace("127.0.0.1", "10.0.0.1")),
            "store: peer[0]: expected ip:port on loopback in 'addr', found '10.0.0.1:7'",
        ),
        (with(&format!("{SESSIONS}lease_ms = 3\n")), "sessions: expected 50 to 5000 in 'lease_ms', found 3"),
        (
            with(&format!("{SESSIONS}remembered = 0\n")),
            "sessions: expected 1 to 100000000 in 'remembered', found 0",
        ),
        (
            with(&format!("{SESSIONS}after_start = 'now'\n")),
            "sessions: expected floor or trust in 'after_start', found 'now'",
        ),
        (
            with(&format!("{SESSIONS}after_start = 'trust'\nfolder = 'x'\n")),
            "sessions: expected no 'folder' beside after_start = \"trust\", found 'x'",
        ),
        (
            with(&format!("{SESSIONS}{0}{0}", "[[sessions.peer]]\ninstance = 2\naddr = '127.0.0.1:7'\n")),
            "sessions: expected each 'peer' once, found an instance twice",
        ),
        (
            with(&REGISTRY.replace("'etcd'", "'zk'")),
            "registry: expected etcd or consul in 'kind', found 'zk'",
        ),
        (
            with(&REGISTRY.replace("'127.0.0.1:1'", "")),
            "registry: expected an address in 'endpoints', found none",
        ),
        (
            with(&REGISTRY.replace("'127.0.0.1:1'", "'x'")),
            "registry: expected ip:port in 'endpoints', found 'x'",
        ),
        (
            with(&REGISTRY.replace("'127.0.0.1:1'", "1")),
            "registry: expected texts in 'endpoints', found a number",
        ),
        (
            with(&REGISTRY.replace("'a'", "'/'")),
            "registry: expected a non-empty key prefix in 'prefix', found only slashes",
        ),
        (
            with(&format!("{REGISTRY}allow = ['x']\n")),
            "registry: expected a network or an address in 'allow', found 'x'",
        ),
        (
            with(&format!("{REGISTRY}held_share = 2\n")),
            "registry: expected at most 1 in 'held_share', found 2",
        ),
        (
            with(&format!("{REGISTRY}last_s = 3\n")),
            "registry: expected 'last_s' to be at least 'fresh_s', found 3 below 10",
        ),
        (
            with(&format!("{REGISTRY}service = 'shop'\n")),
            "registry: expected 'service' only with kind 'consul', found it with kind 'etcd'",
        ),
        (with(&format!("{REGISTRY}user = 'a'\n")), "registry: expected the field 'password', found none"),
        (
            with(&format!("{REGISTRY}tls.ca = 'x'\ntls.key = 'y'\n")),
            "registry: tls: expected 'cert' and 'key' together, found 'key' alone",
        ),
        (
            with("[log]\nlevel = 'loud'\n"),
            "log: expected error, warn, info, debug or trace in 'level', found 'loud'",
        ),
        (with("[log]\nformat = 'xml'\n"), "log: expected text or json in 'format', found 'xml'"),
        (with("[record]\nfile = 'x'\n"), "record: expected the field 'capacity_mb', found none"),
        (with("[sesions]\n"), "the key 'sesions' is not known; known are mysql, store"),
        ("[mysql".into(), "expected TOML: "),
    ];
    for (text, message) in cases {
        let error = settings::operator::read(&text).map(|_| ()).unwrap_err().to_string();
        assert!(error.starts_with(message), "{text}\n{error}\ndoes not start with: {message}");
        assert!(!error.contains("4711"), "{error}");
    }
}

#[test]
fn invalid_registry_overlay_is_rejected_with_the_key() {
    let start = settings::operator::read(MYSQL).unwrap();
    for (overlay, message) in [
        ("[[mysql.user]]\nname = 7\n", "mysql: user[0]: expected text in 'name', found a number"),
        ("[mysql]\nlisten = 'x'\n", "mysql: the key 'listen' is not known; known are user, rule, group"),
        ("[store]\n", "the key 'store' is not known; known are mysql"),
    ] {
        let error = settings::operator::reload(MYSQL, Some(overlay), &start).unwrap_err();
        assert_eq!(error.to_string(), message);
    }
}

fn platform() -> Value {
    let class = |name: &str| {
        json!({"name": name, "semantics": "read_like", "deadlineMs": 9.0, "objectiveMs": 5.0,
        "worth": 1.0, "lateWorth": 0.5})
    };
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"memory_mb": 192, "sockets": 256},
        "settings": {"classes": [class("read"), class("write")],
            "extra": {"freshness": ["eventual", "mutate"], "whenBehind": "silent", "positionZeroMs": 0.0,
                "writeMarks": "brought"},
            "limits": {"dialTimeoutMs": 250.0, "keepaliveMs": 30000.0, "mostTries": 6},
            "contract": {"drainGraceMs": 250.0, "coldFrom": 0.15, "coldMs": 18000.0, "overloadFactor": 2.5,
                "tipAfterMs": 1000.0},
            "failureDomains": ["a"], "membershipMode": "automatic", "replicasOfMe": 1, "roundMs": 5.0, "zone": 0}})
}

#[test]
fn invalid_platform_configuration_is_rejected_with_the_key() {
    settings::start::read(&platform().to_string(), &|_| None).unwrap();
    for (pointer, value, message) in [
        ("/name", json!(null), "expected the field 'name', found none"),
        ("/discovery", json!("nowhere"), "discovery: expected ip:port, found 'nowhere'"),
        ("/seed", json!("xyz"), "expected a hexadecimal number of 64 bits in 'seed', found 'xyz'"),
        ("/seed", json!([]), "expected a whole number in 'seed', found an array"),
        ("/limits/sockets", json!(3), "limits: expected at least 64 in 'sockets', found 3"),
        ("/limits/memory_mb", json!(1), "limits: expected 16 to 1048575 in 'memory_mb', found 1"),
        (
            "/settings/classes/1/semantics",
            json!("odd"),
            "settings: classes[1]: expected read_like, non_idempotent or idempotency_key in 'semantics', found 'odd'",
        ),
        (
            "/settings/classes/1/worth",
            json!(null),
            "settings: classes[1]: expected the field 'worth', found none",
        ),
        ("/settings/classes/1/name", json!(3), "settings: classes: expected text in 'name', found a number"),
        (
            "/settings/extra/freshness",
            json!(["eventual"]),
            "settings: extra: expected one word for each of 2 classes in 'freshness', found 1",
        ),
        (
            "/settings/extra/freshness/0",
            json!("new"),
            "settings: classes[0]: expected mutate, strong, causal, eventual or lag_bound in 'freshness', found \"new\"",
        ),
        (
            "/settings/extra/freshness/0",
            json!("lag_bound"),
            "settings: classes[0]: expected a bound for each lag_bound class in 'oldestDataMs', found null",
        ),
        (
            "/settings/extra/whenBehind",
            json!("odd"),
            "settings: extra: expected silent, bounce or await in 'whenBehind', found 'odd'",
        ),
        (
            "/settings/limits/keepaliveMs",
            json!("x"),
            "settings: limits: expected a number in 'keepaliveMs', found a text",
        ),
        (
            "/settings/limits/mostTries",
            json!(0.5),
            "settings: limits: expected a whole number in 'mostTries', found 0.5",
        ),
        (
            "/settings/contract/coldMs",
            json!(null),
            "settings: contract: expected the field 'coldMs', found none",
        ),
        // Values that would be truncated, change their sign or be infinite after conversion.
        (
            "/settings/classes/1/deadlineMs",
            json!(-5.0),
            "settings: classes[1]: expected 0 to 100000000000 milliseconds in 'deadlineMs', found -5",
        ),
        (
            "/settings/classes/1/objectiveMs",
            json!(2e11),
            "settings: classes[1]: expected 0 to 100000000000 milliseconds in 'objectiveMs', found 200000000000",
        ),
        (
            "/settings/classes/0/worth",
            json!(-0.5),
            "settings: classes[0]: expected a number not below 0 in 'worth', found -0.5",
        ),
        (
            "/settings/classes/1/name",
            json!("read"),
            "settings: classes[1]: expected a name that no other class has in 'name', found 'read' a second time",
        ),
        (
            "/settings/classes/0/name",
            json!("a\nrouter.current=0"),
            "settings: classes[0]: expected no control characters in 'name', found \"a\\nrouter.current=0\"",
        ),
        (
            "/settings/limits/keepaliveMs",
            json!(-1),
            "settings: limits: expected 0 to 100000000000 milliseconds in 'keepaliveMs', found -1",
        ),
        (
            "/settings/limits/dialTimeoutMs",
            json!(0),
            "settings: limits: expected more than 0 in 'dialTimeoutMs', found 0",
        ),
        (
            "/settings/limits/mostTries",
            json!(0),
            "settings: limits: expected more than 0 in 'mostTries', found 0",
        ),
        (
            "/settings/limits/mostTries",
            json!(1u64 << 32),
            "settings: limits: expected at most 4294967295 in 'mostTries', found 4294967296",
        ),
        (
            "/settings/replicasOfMe",
            json!(1u64 << 32),
            "settings: expected at most 4294967295 in 'replicasOfMe', found 4294967296",
        ),
        (
            "/settings/zone",
            json!(1u64 << 32),
            "settings: expected at most 4294967295 in 'zone', found 4294967296",
        ),
        (
            "/limits/sockets",
            json!(u64::MAX),
            "limits: expected at most 4294967295 in 'sockets', found 18446744073709551615",
        ),
        (
            "/settings/contract/coldMs",
            json!(2e11),
            "settings: contract: expected 0 to 100000000000 milliseconds in 'coldMs', found 200000000000",
        ),
        (
            "/settings/extra/positionZeroMs",
            json!(-2e14),
            "settings: extra: expected at most 100000000000000 milliseconds from 0 in 'positionZeroMs', found -200000000000000",
        ),
        (
            "/settings/failureDomains",
            json!([1]),
            "settings: expected texts in 'failureDomains', found a number",
        ),
    ] {
        let mut config = platform();
        *config.pointer_mut(pointer).unwrap() = value;
        let error = settings::start::read(&config.to_string(), &|_| None).unwrap_err();
        assert_eq!(error.to_string(), message, "{pointer}");
    }
    let error = settings::start::read("{", &|_| None).unwrap_err();
    assert!(error.to_string().starts_with("expected JSON: "), "{error}");
    let admin = |name: &str| (name == "BALANCER_ADMIN_ADDR").then(|| "x".to_string());
    let error = settings::start::read(&platform().to_string(), &admin).unwrap_err();
    assert_eq!(error.to_string(), "admin_addr: expected ip:port, found 'x'");
}
