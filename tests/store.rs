//! The replicated store: three daemons of the real program on loopback, read and changed by its own commands.
mod common;
use common::{Folder, LONG, Program, ports};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

struct Cluster {
    folder: Folder,
    peers: Vec<SocketAddr>,
    nodes: Vec<Option<(Program, String)>>,
}

impl Cluster {
    fn new(n: usize) -> Cluster {
        let mut cluster =
            Cluster { folder: Folder::new(), peers: ports(n), nodes: (0..n).map(|_| None).collect() };
        (0..n).for_each(|i| cluster.start(i));
        cluster
    }

    fn log(&self, i: usize) -> std::path::PathBuf {
        self.folder.0.join(format!("node-{i}")).join("log")
    }

    fn start(&mut self, i: usize) {
        let peer = |(n, a): (usize, &SocketAddr)| format!("[[store.peer]]\nnode = {}\naddr = '{a}'\n", n + 1);
        let peers: String = self.peers.iter().enumerate().map(peer).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'r'\nprobe = 'SELECT 1'\n
[[mysql.server]]\nid = 'stock-a'\naddr = '127.0.0.1:1'\n[store]\nnode = {}\nfolder = '{}'\ncontrol = '127.0.0.1:0'\n{peers}",
            i + 1,
            self.log(i).parent().unwrap().display()
        );
        let path = self.folder.write(&format!("node-{i}.toml"), &text);
        let mut program = Program::start(&[path.to_str().unwrap()], &[]);
        let control = program.logged("control: answering on ").rsplit(' ').next().unwrap().to_string();
        self.nodes[i] = Some((program, control));
    }

    /// A command's answer, or its message.
    fn ctl(&self, i: usize, words: &[&str]) -> Result<Value, String> {
        let control = &self.nodes[i].as_ref().unwrap().1;
        let mut program = Program::start(&[&["ctl", control], words].concat(), &[]);
        let status = program.child.wait().unwrap();
        if status.success() {
            return Ok(serde_json::from_str(&program.ended().1).unwrap());
        }
        Err(program.log.iter().collect::<Vec<_>>().join("\n"))
    }

    /// Asks until the answer is so; only a failure takes long.
    fn until(
        &self,
        i: usize,
        words: &[&str],
        is: impl Fn(&Result<Value, String>) -> bool,
    ) -> Result<Value, String> {
        let begun = Instant::now();
        loop {
            let answer = self.ctl(i, words);
            if is(&answer) {
                return answer;
            }
            assert!(begun.elapsed() < LONG, "{words:?}: {answer:?}");
        }
    }

    fn reads(&self, i: usize, key: &str, text: &str) {
        _ = self.until(i, &["get", key], |a| a.as_ref().is_ok_and(|v| v["text"] == text));
    }
}

#[test]
fn changes_need_a_majority_and_survive_restarts() {
    let mut cluster = Cluster::new(3);
    // The list is seeded once, and every node comes to hold it.
    (0..3).for_each(|i| _ = cluster.until(i, &["get", "seeded"], Result::is_ok));
    assert_eq!(cluster.until(0, &["set", "a", "1"], Result::is_ok).unwrap()["version"], 1);
    (0..3).for_each(|i| cluster.reads(i, "a", "1"));
    // Versions guard against a change that someone else has made meanwhile.
    assert!(cluster.ctl(1, &["set", "a", "x", "7"]).unwrap_err().contains("at version 1"));
    assert_eq!(cluster.until(1, &["set", "a", "2", "1"], Result::is_ok).unwrap()["version"], 2);
    // A lost minority, the leader: the others go on.
    let leader = cluster.ctl(0, &["status"]).unwrap()["leader"].as_u64().unwrap() as usize - 1;
    cluster.nodes[leader] = None;
    let left: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    _ = cluster.until(left[0], &["set", "b", "1"], Result::is_ok);
    cluster.reads(left[1], "b", "1");
    // No majority: changes are refused, the last committed values stay readable.
    cluster.nodes[left[1]] = None;
    _ = cluster.until(left[0], &["set", "c", "1"], |a| a.as_ref().is_err_and(|e| e.contains("no majority")));
    assert_eq!(cluster.ctl(left[0], &["get", "b"]).unwrap()["text"], "1");
    // All come back from what they kept; one with a torn tail.
    cluster.nodes[left[0]] = None;
    let log = cluster.log(left[1]);
    let kept = std::fs::read(&log).unwrap();
    std::fs::write(&log, [&kept[..], b"\x50\0\0\0torn off"].concat()).unwrap();
    (0..3).for_each(|i| cluster.start(i));
    cluster.nodes[left[1]].as_mut().unwrap().0.logged("torn tail of 12 bytes");
    for i in 0..3 {
        cluster.reads(i, "a", "2");
        cluster.reads(i, "b", "1");
    }
}

#[test]
fn a_drain_reaches_every_router_of_the_store() {
    let mut cluster = Cluster::new(3);
    _ = cluster.until(0, &["drain", "stock-a"], Result::is_ok);
    for i in 0..3 {
        cluster.nodes[i].as_mut().unwrap().0.logged("names 1 instances, 0 in service");
    }
    _ = cluster.until(2, &["undrain", "stock-a"], Result::is_ok);
    assert!(cluster.ctl(0, &["drain", "none"]).unwrap_err().contains("no server 'none'"));
    assert!(cluster.ctl(0, &["get", "none"]).unwrap_err().contains("no key 'none'"));
    assert!(cluster.ctl(0, &["fly"]).unwrap_err().to_lowercase().contains("usage"));
}

#[test]
fn strangers_cannot_harm_a_node() {
    let cluster = Cluster::new(1);
    let control = &cluster.nodes[0].as_ref().unwrap().1;
    _ = cluster.until(0, &["set", "a", "1"], Result::is_ok);
    for bytes in [&b"\n"[..], b"{}\n", b"[1,2\n", b"{\"do\":7}\n", b"{\"do\":\"set\",\"key\":1}\n"] {
        let mut socket = TcpStream::connect(control).unwrap();
        std::io::Write::write_all(&mut socket, bytes).unwrap();
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(socket), &mut line).unwrap();
        assert!(line.contains("error"), "{line}");
    }
    cluster.reads(0, "a", "1");
}
