//! Command line and log output of the program, run as a process.
mod common;
use common::environment::TestFolder;
use common::program::Program;

const MINIMAL_CONFIG: &str =
    "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'r'\nprobe = 'SELECT 1'\n";

fn run_to_exit(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut program = Program::start(arguments, &[]);
    program.child.wait().unwrap();
    let log = program.log.iter().collect::<Vec<_>>().join("\n");
    let (code, out) = program.wait_for_exit();
    (code, out, log)
}

#[test]
fn help_and_version_are_printed_and_invalid_arguments_are_named() {
    let (code, out, _) = run_to_exit(&["--help"]);
    assert_eq!(code, Some(0));
    for name in ["serve", "check", "ctl", "requests", "replay", "sessions", "fleet"] {
        assert!(out.contains(name), "{out}");
    }
    assert!(run_to_exit(&["--version"]).1.starts_with("damsonvale "));
    let (code, _, log) = run_to_exit(&["replay", "x.pcap", "nowhere"]);
    assert!(code != Some(0) && log.contains("nowhere"), "{log}");
    // Without arguments the program is a router of the platform, which reads its configuration's path from
    // BALANCER_CONFIG.
    let (code, _, log) = run_to_exit(&[]);
    assert!(code == Some(1) && log.contains("program failed error=BALANCER_CONFIG: expected"), "{log}");
}

#[test]
fn check_describes_a_valid_file_or_names_the_invalid_key() {
    let folder = TestFolder::new();
    let check = |more: &str| {
        let path = folder.write("it.toml", &format!("{MINIMAL_CONFIG}{more}"));
        run_to_exit(&["check", path.to_str().unwrap()])
    };
    let sessions = "[sessions]\ninstance = 1\nlisten = '127.0.0.1:0'\n";
    let (code, out, _) = check(&format!("{sessions}[[sessions.peer]]\ninstance = 2\naddr = '127.0.0.1:7'\n"));
    assert!(code == Some(0) && out.contains("instance 1 with 1 peers, nothing on disk"), "{out}");
    let invalid_configs = [
        (format!("{sessions}leese_ms = 3\n"), "sessions: the key 'leese_ms' is not known"),
        (format!("{sessions}lease_ms = 3\n"), "'lease_ms', found 3"),
        (format!("{sessions}after_start = 'trust'\nfolder = 'x'\n"), "expected no 'folder'"),
        (format!("{sessions}remembered = 0\n"), "'remembered', found 0"),
        (sessions.replace("127.0.0.1:0", "10.0.0.1:0"), "expected ip:port on loopback in 'listen'"),
        ("[registry]\nkind = 'etcd'\nprefix = 'a'\nendpoints = []\n".into(), "registry: expected an address"),
        ("[registry]\nkind = 'zk'\n".into(), "expected etcd or consul in 'kind', found 'zk'"),
        (
            "[registry]\nkind = 'etcd'\nprefix = 'a'\nendpoints = ['127.0.0.1:1']\nallow = ['x']\n".into(),
            "expected a network or an address in 'allow', found 'x'",
        ),
        ("[log]\nlevel = 'loud'\n".into(), "log: expected error, warn"),
        ("[log]\nformat = 'xml'\n".into(), "log: expected text or json"),
        ("[sesions]\n".into(), "the key 'sesions' is not known"),
    ];
    for (more, expected) in invalid_configs {
        let (code, _, log) = check(&more);
        assert!(code == Some(1) && log.contains(expected), "{more}: {log}");
    }
}

#[test]
fn shipped_configuration_files_pass_check() {
    for name in ["mysql.toml", "sessions.toml", "registry.toml"] {
        let path = format!("{}/deploy/{name}", env!("CARGO_MANIFEST_DIR"));
        let (code, out, log) = run_to_exit(&["check", &path]);
        assert!(code == Some(0) && out.contains("can be used"), "{name}: {log}");
    }
}

#[test]
fn json_log_format_writes_one_object_per_line() {
    let folder = TestFolder::new();
    let path = folder.write("it.toml", &format!("{MINIMAL_CONFIG}[log]\nformat = 'json'\nlevel = 'info'\n"));
    let mut program = Program::start(&[path.to_str().unwrap()], &[]);
    let line = program.wait_for_log("client listener bound");
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(line["level"], "INFO");
    assert_eq!((&line["message"], &line["name"]), (&"client listener bound".into(), &"mysql".into()));
    assert!(line["addr"].as_str().unwrap().starts_with("127.0.0.1:"));
    // At level `warn` the line `client listener bound` is not written, but the program serves clients.
    let address = common::environment::unused_addresses(1)[0];
    let text = MINIMAL_CONFIG.replace("127.0.0.1:0", &address.to_string());
    let path = folder.write("it.toml", &format!("{text}[log]\nlevel = 'warn'\n"));
    let mut program = Program::serve(&path);
    let started_at = std::time::Instant::now();
    while std::net::TcpStream::connect(address).is_err() {
        assert!(started_at.elapsed() < common::TIMEOUT);
    }
    program.terminate();
    assert!(program.child.wait().unwrap().success());
    assert_eq!(program.log.iter().collect::<Vec<_>>(), Vec::<String>::new());
}
