//! Several processes of the program that know each other by `[members]`: their share of the room at a stand-in server
//! follows who lives, through kills, restarts, a stopped process, ways that are cut and a name taken twice.
mod common;
use common::TIMEOUT;
use common::environment::{TestFolder, unused_addresses};
use common::instances::{connect, read};
use common::program::{Program, Signal};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;
use test_servers::udp::UdpProxy;

/// Detection takes some 6 of these, the settle time 10. Short enough for a test, long enough for a busy host.
const RHYTHM: Duration = Duration::from_millis(200);

struct Routers {
    server: ReplicationGroup,
    folder: TestFolder,
    listen: Vec<SocketAddrV4>,
    /// Each one's way in, where the ways can be cut.
    ways: Vec<UdpProxy>,
    least: usize,
    rhythm: Duration,
    running: Vec<Option<(Program, SocketAddr)>>,
}

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    let SocketAddr::V4(addr) = addr else { panic!("{addr} is no IPv4 address") };
    addr
}

impl Routers {
    fn new(n: usize, least: usize, cut: bool, rhythm: Duration) -> Routers {
        let listen: Vec<SocketAddrV4> = unused_addresses(n).into_iter().map(v4).collect();
        let ways = listen.iter().filter(|_| cut).map(|l| {
            let way = UdpProxy::start();
            way.set_target(*l);
            way
        });
        Routers {
            server: ReplicationGroup::start(&[], Duration::from_millis(5)),
            folder: TestFolder::new(),
            ways: ways.collect(),
            listen,
            least,
            rhythm,
            running: (0..n).map(|_| None).collect(),
        }
    }

    /// All started at once, and all seen by all.
    fn started(n: usize, least: usize, cut: bool) -> Routers {
        let mut all = Routers::new(n, least, cut, RHYTHM);
        (0..n).for_each(|i| all.start(i));
        (0..n).for_each(|i| all.sees(i, n));
        all
    }

    fn file(&self, i: usize, name: &str, listen: SocketAddrV4, told: Option<SocketAddrV4>) -> PathBuf {
        let server = |(name, addr)| format!("[[mysql.server]]\nid = '{name}'\naddr = '{addr}'\n");
        let servers: String = self.server.servers().into_iter().map(server).collect();
        let told = told.map(|t| format!("told = '{t}'\n")).unwrap_or_default();
        let seed = |n: usize| match self.ways.get(n) {
            Some(way) => format!("'{}'", way.addr),
            None => format!("'{}'", self.listen[n]),
        };
        let seeds: Vec<String> = (0..self.listen.len().min(3)).map(seed).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             routers = {}\n[[mysql.user]]\nname = 'till'\npassword = 'secret'\n[[mysql.class]]\n\
             name = 'basket-read'\nfreshness = 'fresh'\neffect = 'safe'\naim_ms = 8000\ndeadline_ms = 16000\n{servers}\
             [members]\nname = '{name}'\nlisten = '{listen}'\n{told}seeds = [{}]\ncluster = 'test'\nleast = {}\n\
             rhythm_ms = {}\n",
            self.listen.len(),
            seeds.join(", "),
            self.least,
            self.rhythm.as_millis(),
        );
        self.folder.write(&format!("{i}.toml"), &text)
    }

    fn start(&mut self, i: usize) {
        let file = self.file(i, &format!("r{i}"), self.listen[i], self.ways.get(i).map(|w| w.addr));
        let program = Program::serve(&file);
        self.running[i] = Some((program, ([127, 0, 0, 1], 0).into()));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until a router that was started serves.
    fn serves(&mut self, i: usize) {
        let addr = self.program(i).listening_address();
        self.running[i].as_mut().unwrap().1 = addr;
    }

    /// Waits until a router that was started serves and has all of these in its list.
    fn sees(&mut self, i: usize, live: usize) {
        self.serves(i);
        let program = self.program(i);
        for n in 0..live {
            if n != i {
                program.wait_for_log(&format!("Up(Member {{ name: \"r{n}\""));
            }
        }
    }

    /// SIGKILL.
    fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }

    /// The most statements at the server at once while 72 clients ask at these routers, more than they may send: the
    /// places that they hold there.
    fn peak_statements(&self, routers: &[usize], at_least: usize) -> usize {
        // A few answers first, so that links are open and the server is known.
        let addrs: Vec<SocketAddr> = routers.iter().map(|r| self.running[*r].as_ref().unwrap().1).collect();
        for addr in &addrs {
            let (mut client, begun) = (connect(*addr).unwrap(), Instant::now());
            while read(&mut client, "warm").is_err() {
                assert!(begun.elapsed() < TIMEOUT);
            }
        }
        self.server.set_hung(0, true);
        let ask =
            |addr: SocketAddr| std::thread::spawn(move || _ = read(&mut connect(addr).unwrap(), "held"));
        let asking: Vec<_> = addrs.iter().flat_map(|a| (0..72 / routers.len()).map(|_| ask(*a))).collect();
        let (begun, mut most) = (Instant::now(), 0);
        let mut enough = None;
        while enough.is_none_or(|e: Instant| e.elapsed() < Duration::from_millis(300)) {
            most = most.max(self.server.blocked_statements(0));
            if most >= at_least {
                enough.get_or_insert_with(Instant::now);
            }
            assert!(begun.elapsed() < TIMEOUT, "{most} places held where {at_least} were to be");
            std::thread::yield_now();
        }
        self.server.set_hung(0, false);
        asking.into_iter().for_each(|t| t.join().unwrap());
        most
    }

    /// Whether a line with this text was written so far.
    fn find_log_line(&mut self, i: usize, text: &str) -> Option<String> {
        self.program(i).log_lines().iter().find(|l| l.contains(text)).cloned()
    }
}

fn share(n: usize) -> String {
    format!("router_count={n}")
}

#[test]
fn remaining_routers_take_capacity_of_killed_ones_until_they_return() {
    let mut all = Routers::started(12, 1, false);
    let everybody: Vec<usize> = (0..12).collect();
    // Once to learn what the server bears, and once to see what is held.
    all.peak_statements(&everybody, 12);
    let before = all.peak_statements(&everybody, 24);
    (4..12).for_each(|i| all.kill(i));
    let killed = Instant::now();
    for i in 0..4 {
        all.program(i).wait_for_next_log(&share(4));
        // In the settle time they still count.
        assert!(killed.elapsed() > RHYTHM * 10, "{:?}", killed.elapsed());
    }
    assert!(killed.elapsed() < Duration::from_secs(15), "{:?}", killed.elapsed());
    let four: Vec<usize> = (0..4).collect();
    let wide = all.peak_statements(&four, before + 6);
    // Eight come at once: from the moment at which the last one serves there are no more places than before.
    (4..12).for_each(|i| all.start(i));
    (4..12).for_each(|i| all.serves(i));
    let after = all.peak_statements(&everybody, 12);
    (0..4).for_each(|i| _ = all.program(i).wait_for_next_log(&share(12)));
    for i in 4..12 {
        let first = all.program(i).wait_for_log("router_count=");
        assert!(first.contains(&share(12)), "{first}");
    }
    eprintln!("places held: {before} by twelve, {wide} by four, {after} by twelve again");
    // Twelve learn one place more each, at most, as the held ones are answered.
    assert!(wide <= before * 2 && after <= before, "{before}, {wide}, {after} places");
}

#[test]
fn router_paused_past_suspicion_rejoins_without_false_downs() {
    let mut all = Routers::started(4, 1, false);
    all.program(3).signal(Signal::SIGSTOP);
    (0..3).for_each(|i| _ = all.program(i).wait_for_next_log("Down(Member { name: \"r3\""));
    (0..3).for_each(|i| _ = all.program(i).wait_for_next_log(&share(3)));
    all.program(3).signal(Signal::SIGCONT);
    for i in 0..3 {
        let back = all.program(i).wait_for_next_log("Up(Member { name: \"r3\"");
        let number = |l: &str| -> u64 {
            let digits = l.split("incarnation: ").nth(1).unwrap();
            digits.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
        };
        assert_ne!(number(&back) % 65_536, 0, "the same start, returned: {back}");
        all.program(i).wait_for_next_log(&share(4));
    }
    all.program(3).wait_for_log("Rejoined(");
    // It has heard that all others live after it was back, and never took one for dead nor widened its share.
    assert_eq!(all.find_log_line(3, "membership changed change=Down("), None);
    assert_eq!(all.find_log_line(3, &share(3)), None);
}

#[test]
fn link_cut_in_one_direction_takes_nobody_down() {
    let mut all = Routers::started(5, 1, true);
    let from = SocketAddr::from(all.listen[1]);
    all.ways[2].update_faults(|f| f.cut_from = vec![from]);
    let begun = Instant::now();
    while all.ways[2].counts().lost < 15 {
        assert!(begun.elapsed() < TIMEOUT * 3, "the cut way was used {} times", all.ways[2].counts().lost);
        std::thread::park_timeout(RHYTHM / 4);
    }
    (0..5).for_each(|i| assert_eq!(all.find_log_line(i, "membership changed change=Down("), None));
    // The same way cut for all is a router that nobody reaches, or this test could not fail.
    all.ways[2].update_faults(|f| f.cut = true);
    all.program(0).wait_for_log("membership changed change=Down(Member { name: \"r2\"");
}

#[test]
fn split_fleet_uses_at_most_twice_the_capacity_until_healed() {
    let mut all = Routers::started(8, 4, true);
    let side = |i: usize| i < 4;
    let listen = all.listen.clone();
    for (i, way) in all.ways.iter().enumerate() {
        let others = (0..8).filter(|o| side(*o) != side(i)).map(|o| SocketAddr::from(listen[o]));
        way.update_faults(|f| f.cut_from = others.collect());
    }
    (0..8).for_each(|i| _ = all.program(i).wait_for_next_log(&share(4)));
    all.ways.iter().for_each(|w| w.update_faults(|f| f.cut_from.clear()));
    (0..8).for_each(|i| _ = all.program(i).wait_for_next_log(&share(8)));
    // A part below the least goes no further: one that is alone takes a quarter.
    all.ways[0].update_faults(|f| f.cut = true);
    (1..8).for_each(|i| all.ways[i].update_faults(|f| f.cut_from = vec![listen[0].into()]));
    all.program(0).wait_for_next_log(&share(4));
    all.program(1).wait_for_next_log(&share(7));
    assert!((1..4).all(|n| all.find_log_line(0, &share(n)).is_none()));
}

#[test]
fn later_start_of_a_name_supersedes_the_first() {
    let mut all = Routers::started(3, 1, false);
    let elsewhere = v4(unused_addresses(1)[0]);
    let file = all.file(7, "r2", elsewhere, None);
    let mut second = Program::serve(&file);
    second.listening_address();
    let told = all.program(2).wait_for_log("router name taken by a later start");
    assert!(told.contains(&elsewhere.to_string()) && told.contains("ERROR"), "{told}");
    all.program(0).wait_for_log(&format!("Up(Member {{ name: \"r2\", addr: {elsewhere}"));
    second.wait_for_log("Up(Member { name: \"r0\"");
    // The second one goes; the others widen, the first one does not.
    drop(second);
    all.program(0).wait_for_next_log(&share(2));
    assert_eq!(all.find_log_line(2, &share(2)), None);
    // It serves on all the same.
    assert!(all.peak_statements(&[2], 1) >= 1);
    // One that is ended says farewell.
    all.program(1).terminate();
    all.program(1).wait_for_log("membership ended reason=Left");
    all.program(0).wait_for_log("membership changed change=Down(Member { name: \"r1\"");
}

/// What membership costs: `cargo test --release --test members -- --ignored --nocapture`, alone on the host.
#[test]
#[ignore = "a measurement of some minutes"]
fn measured() {
    for n in [10, 100] {
        for with in [false, true] {
            measure(n, with);
        }
    }
}

fn measure(n: usize, with: bool) {
    let mut all = Routers::new(n, 1, false, Duration::from_millis(500));
    let begun = Instant::now();
    for i in 0..n {
        all.start(i);
        if !with {
            // The same file without the table.
            all.kill(i);
            let path = all.folder.path().join(format!("{i}.toml"));
            let text = std::fs::read_to_string(&path).unwrap();
            let bare = text.split("[members]").next().unwrap();
            let program = Program::serve(&all.folder.write(&format!("{i}.toml"), bare));
            all.running[i] = Some((program, ([127, 0, 0, 1], 0).into()));
        }
    }
    if with {
        (0..n).for_each(|i| all.sees(i, n));
        println!("{n} routers: joined, all at once, in {:?}", begun.elapsed());
    } else {
        (0..n).for_each(|i| all.serves(i));
    }
    let rest = Duration::from_secs(30);
    std::thread::sleep(rest);
    let (mut memory, mut threads, mut ticks) = (0, 0, 0);
    for i in 0..n {
        let id = all.program(i).child.id();
        let of = |file: &str, key: &str| -> u64 {
            let text = std::fs::read_to_string(format!("/proc/{id}/{file}")).unwrap();
            let line = text.lines().find(|l| l.starts_with(key)).unwrap();
            line.split_whitespace().nth(1).unwrap().parse().unwrap()
        };
        (memory, threads) = (memory + of("smaps_rollup", "Pss:"), threads + of("status", "Threads:"));
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let cells: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        ticks += cells[11].parse::<u64>().unwrap() + cells[12].parse::<u64>().unwrap();
    }
    println!(
        "{n} routers, members {with}: {} kB and {:.1} threads each; {:.2} s of CPU each in {:?}",
        memory / n as u64,
        threads as f64 / n as f64,
        ticks as f64 / 100.0 / n as f64,
        begun.elapsed()
    );
    if !with {
        return;
    }
    let lines = |line: String| line.split("membership ended ").last().unwrap_or_default().to_string();
    all.program(n - 1).terminate();
    println!("{n} routers, one at rest: {}", lines(all.program(n - 1).wait_for_log("membership ended")));
    // Failures, one after the other: from SIGKILL until the first and the last of the others know.
    let (mut first, mut last) = (Vec::new(), Vec::new());
    for gone in (n - 6..n - 1).rev() {
        all.kill(gone);
        let killed = Instant::now();
        let text = format!("membership changed change=Down(Member {{ name: \"r{gone}\"");
        let mut times = Vec::new();
        let mut left: Vec<usize> = (0..gone).collect();
        while !left.is_empty() {
            left.retain(|i| {
                let known = all.find_log_line(*i, &text).is_some();
                if known {
                    times.push(killed.elapsed().as_secs_f64());
                }
                !known
            });
            assert!(killed.elapsed() < Duration::from_mins(1), "{left:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
        first.push(times[0]);
        last.push(*times.last().unwrap());
    }
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64;
    println!(
        "{n} routers: a failure is known to the first after {:.1} s, to all after {:.1} s, worst {:.1} s of 5",
        mean(&first),
        mean(&last),
        last.iter().copied().fold(0.0, f64::max)
    );
    // Two thirds at once.
    let keep = n / 3;
    (keep..n - 6).for_each(|i| all.kill(i));
    let killed = Instant::now();
    (0..keep).for_each(|i| _ = all.program(i).wait_for_log(&share(keep)));
    println!(
        "{n} routers: {} killed at once, the rest share by {keep} after {:?}",
        n - 6 - keep,
        killed.elapsed()
    );
    all.program(0).terminate();
    println!("{n} routers, one that saw it all: {}", lines(all.program(0).wait_for_log("membership ended")));
}
