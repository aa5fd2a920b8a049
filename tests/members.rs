//! Router processes that find each other through `[members]`. Each router's share of a stand-in server's
//! capacity has to follow the number of live routers when routers are killed, restarted or stopped, when
//! their network paths are cut, and when two routers have the same name.
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

/// Failure detection takes about 6 protocol periods, and the settle time is 10. The period is short enough
/// for a test and long enough for a busy host.
const PROTOCOL_PERIOD: Duration = Duration::from_millis(200);

struct Routers {
    server: ReplicationGroup,
    folder: TestFolder,
    listen_addresses: Vec<SocketAddrV4>,
    /// Proxies in front of the routers' addresses, for tests that cut the paths between them; else empty.
    proxies: Vec<UdpProxy>,
    min_counted_routers: usize,
    protocol_period: Duration,
    running: Vec<Option<(Program, SocketAddr)>>,
}

fn to_ipv4(addr: SocketAddr) -> SocketAddrV4 {
    let SocketAddr::V4(addr) = addr else { panic!("{addr} is not an IPv4 address") };
    addr
}

impl Routers {
    fn new(
        n: usize,
        min_counted_routers: usize,
        through_proxies: bool,
        protocol_period: Duration,
    ) -> Routers {
        let listen_addresses: Vec<SocketAddrV4> = unused_addresses(n).into_iter().map(to_ipv4).collect();
        let proxies = listen_addresses.iter().filter(|_| through_proxies).map(|l| {
            let proxy = UdpProxy::start();
            proxy.set_target(*l);
            proxy
        });
        Routers {
            server: ReplicationGroup::start(&[], Duration::from_millis(5)),
            folder: TestFolder::new(),
            proxies: proxies.collect(),
            listen_addresses,
            min_counted_routers,
            protocol_period,
            running: (0..n).map(|_| None).collect(),
        }
    }

    /// Starts all routers and waits until each has all others in its member list.
    fn start_all(n: usize, min_counted_routers: usize, through_proxies: bool) -> Routers {
        let mut routers = Routers::new(n, min_counted_routers, through_proxies, PROTOCOL_PERIOD);
        (0..n).for_each(|i| routers.start(i));
        (0..n).for_each(|i| routers.wait_until_members_known(i, n));
        routers
    }

    fn write_config(
        &self,
        i: usize,
        name: &str,
        listen_address: SocketAddrV4,
        advertised_address: Option<SocketAddrV4>,
    ) -> PathBuf {
        let server = |(name, addr)| format!("[[mysql.server]]\nid = '{name}'\naddr = '{addr}'\n");
        let servers: String = self.server.servers().into_iter().map(server).collect();
        let told_line = advertised_address.map(|t| format!("told = '{t}'\n")).unwrap_or_default();
        let seed = |n: usize| match self.proxies.get(n) {
            Some(proxy) => format!("'{}'", proxy.addr),
            None => format!("'{}'", self.listen_addresses[n]),
        };
        let seeds: Vec<String> = (0..self.listen_addresses.len().min(3)).map(seed).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             routers = {}\n[[mysql.user]]\nname = 'till'\npassword = 'secret'\n[[mysql.class]]\n\
             name = 'basket-read'\nfreshness = 'fresh'\neffect = 'safe'\naim_ms = 8000\ndeadline_ms = 16000\n{servers}\
             [members]\nname = '{name}'\nlisten = '{listen_address}'\n{told_line}seeds = [{}]\ncluster = 'test'\nleast = {}\n\
             rhythm_ms = {}\n",
            self.listen_addresses.len(),
            seeds.join(", "),
            self.min_counted_routers,
            self.protocol_period.as_millis(),
        );
        self.folder.write(&format!("{i}.toml"), &text)
    }

    fn start(&mut self, i: usize) {
        let file = self.write_config(
            i,
            &format!("r{i}"),
            self.listen_addresses[i],
            self.proxies.get(i).map(|w| w.addr),
        );
        let program = Program::serve(&file);
        self.running[i] = Some((program, ([127, 0, 0, 1], 0).into()));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until a started router listens for clients.
    fn wait_until_serving(&mut self, i: usize) {
        let addr = self.program(i).listening_address();
        self.running[i].as_mut().unwrap().1 = addr;
    }

    /// Waits until a started router listens for clients and has the first `live` routers in its member list.
    fn wait_until_members_known(&mut self, i: usize, live: usize) {
        self.wait_until_serving(i);
        let program = self.program(i);
        for n in 0..live {
            if n != i {
                program.wait_for_log(&format!("Up(Member {{ name: \"r{n}\""));
            }
        }
    }

    /// Kills a router with SIGKILL.
    fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }

    /// The highest number of concurrent statements at the server while 72 clients, more than the routers may
    /// forward for at once, send requests to these routers: the capacity that the routers use together.
    fn peak_statements(&self, routers: &[usize], at_least: usize) -> usize {
        // Serve one request at each router first, so that backend connections are open and the server's state
        // is known.
        let addrs: Vec<SocketAddr> = routers.iter().map(|r| self.running[*r].as_ref().unwrap().1).collect();
        for addr in &addrs {
            let (mut client, started_at) = (connect(*addr).unwrap(), Instant::now());
            while read(&mut client, "warm").is_err() {
                assert!(started_at.elapsed() < TIMEOUT);
            }
        }
        self.server.set_hung(0, true);
        let start_client =
            |addr: SocketAddr| std::thread::spawn(move || _ = read(&mut connect(addr).unwrap(), "held"));
        let client_threads: Vec<_> =
            addrs.iter().flat_map(|a| (0..72 / routers.len()).map(|_| start_client(*a))).collect();
        let (started_at, mut max_statements) = (Instant::now(), 0);
        let mut reached_at = None;
        while reached_at.is_none_or(|e: Instant| e.elapsed() < Duration::from_millis(300)) {
            max_statements = max_statements.max(self.server.blocked_statements(0));
            if max_statements >= at_least {
                reached_at.get_or_insert_with(Instant::now);
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "at most {max_statements} concurrent statements, expected at least {at_least}"
            );
            std::thread::yield_now();
        }
        self.server.set_hung(0, false);
        client_threads.into_iter().for_each(|t| t.join().unwrap());
        max_statements
    }

    /// The first line of the router's log so far that contains this text.
    fn find_log_line(&mut self, i: usize, text: &str) -> Option<String> {
        self.program(i).log_lines().iter().find(|l| l.contains(text)).cloned()
    }
}

fn share_log_text(n: usize) -> String {
    format!("router_count={n}")
}

#[test]
fn remaining_routers_use_capacity_of_killed_ones_until_they_return() {
    let mut routers = Routers::start_all(12, 1, false);
    let all_routers: Vec<usize> = (0..12).collect();
    // The first run lets the routers learn the server's capacity, the second measures what they use.
    routers.peak_statements(&all_routers, 12);
    let before = routers.peak_statements(&all_routers, 24);
    (4..12).for_each(|i| routers.kill(i));
    let killed_at = Instant::now();
    for i in 0..4 {
        routers.program(i).wait_for_next_log(&share_log_text(4));
        // Killed routers are counted until the settle time has passed.
        assert!(killed_at.elapsed() > PROTOCOL_PERIOD * 10, "{:?}", killed_at.elapsed());
    }
    assert!(killed_at.elapsed() < Duration::from_secs(15), "{:?}", killed_at.elapsed());
    let four: Vec<usize> = (0..4).collect();
    let peak_with_four = routers.peak_statements(&four, before + 6);
    // Eight routers start at the same time. Once the last of them serves clients, the twelve routers together
    // use no more capacity than before.
    (4..12).for_each(|i| routers.start(i));
    (4..12).for_each(|i| routers.wait_until_serving(i));
    let after = routers.peak_statements(&all_routers, 12);
    (0..4).for_each(|i| _ = routers.program(i).wait_for_next_log(&share_log_text(12)));
    for i in 4..12 {
        let first_line = routers.program(i).wait_for_log("router_count=");
        assert!(first_line.contains(&share_log_text(12)), "{first_line}");
    }
    eprintln!("statements at once: {before} with 12 routers, {peak_with_four} with 4, {after} with 12 again");
    // Each of the twelve routers raises its estimate by at most one as the blocked statements are served.
    assert!(
        peak_with_four <= before * 2 && after <= before,
        "concurrent statements: {before}, {peak_with_four}, {after}"
    );
}

#[test]
fn router_paused_past_suspicion_rejoins_without_false_downs() {
    let mut routers = Routers::start_all(4, 1, false);
    routers.program(3).signal(Signal::SIGSTOP);
    (0..3).for_each(|i| _ = routers.program(i).wait_for_next_log("Down(Member { name: \"r3\""));
    (0..3).for_each(|i| _ = routers.program(i).wait_for_next_log(&share_log_text(3)));
    routers.program(3).signal(Signal::SIGCONT);
    for i in 0..3 {
        let rejoined_line = routers.program(i).wait_for_next_log("Up(Member { name: \"r3\"");
        let incarnation_of = |l: &str| -> u64 {
            let digits = l.split("incarnation: ").nth(1).unwrap();
            digits.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
        };
        assert_ne!(
            incarnation_of(&rejoined_line) % 65_536,
            0,
            "the router must return with its old incarnation, refuting the suspicion: {rejoined_line}"
        );
        routers.program(i).wait_for_next_log(&share_log_text(4));
    }
    routers.program(3).wait_for_log("Rejoined(");
    // The resumed router must learn that the others are alive before it declares one of them down or
    // increases its share.
    assert_eq!(routers.find_log_line(3, "membership changed change=Down("), None);
    assert_eq!(routers.find_log_line(3, &share_log_text(3)), None);
}

#[test]
fn path_cut_in_one_direction_marks_no_router_down() {
    let mut routers = Routers::start_all(5, 1, true);
    let from = SocketAddr::from(routers.listen_addresses[1]);
    routers.proxies[2].update_faults(|f| f.cut_from = vec![from]);
    let started_at = Instant::now();
    while routers.proxies[2].counts().lost < 15 {
        assert!(
            started_at.elapsed() < TIMEOUT * 3,
            "only {} datagrams were sent on the cut path",
            routers.proxies[2].counts().lost
        );
        std::thread::park_timeout(PROTOCOL_PERIOD / 4);
    }
    (0..5).for_each(|i| assert_eq!(routers.find_log_line(i, "membership changed change=Down("), None));
    // Cross-check: a router whose incoming path is cut for all senders has to be declared down.
    routers.proxies[2].update_faults(|f| f.cut = true);
    routers.program(0).wait_for_log("membership changed change=Down(Member { name: \"r2\"");
}

#[test]
fn partitioned_fleet_uses_at_most_twice_the_capacity_until_healed() {
    let mut routers = Routers::start_all(8, 4, true);
    let is_first_half = |i: usize| i < 4;
    let listen_addresses = routers.listen_addresses.clone();
    for (i, proxy) in routers.proxies.iter().enumerate() {
        let others = (0..8)
            .filter(|o| is_first_half(*o) != is_first_half(i))
            .map(|o| SocketAddr::from(listen_addresses[o]));
        proxy.update_faults(|f| f.cut_from = others.collect());
    }
    (0..8).for_each(|i| _ = routers.program(i).wait_for_next_log(&share_log_text(4)));
    routers.proxies.iter().for_each(|w| w.update_faults(|f| f.cut_from.clear()));
    (0..8).for_each(|i| _ = routers.program(i).wait_for_next_log(&share_log_text(8)));
    // At least four routers are counted, so a router that sees no other router uses a quarter of the
    // capacity.
    routers.proxies[0].update_faults(|f| f.cut = true);
    (1..8).for_each(|i| routers.proxies[i].update_faults(|f| f.cut_from = vec![listen_addresses[0].into()]));
    routers.program(0).wait_for_next_log(&share_log_text(4));
    routers.program(1).wait_for_next_log(&share_log_text(7));
    assert!((1..4).all(|n| routers.find_log_line(0, &share_log_text(n)).is_none()));
}

#[test]
fn later_router_with_same_name_supersedes_the_first() {
    let mut routers = Routers::start_all(3, 1, false);
    let second_address = to_ipv4(unused_addresses(1)[0]);
    let file = routers.write_config(7, "r2", second_address, None);
    let mut second = Program::serve(&file);
    second.listening_address();
    let line = routers.program(2).wait_for_log("router name taken by a later start");
    assert!(line.contains(&second_address.to_string()) && line.contains("ERROR"), "{line}");
    routers.program(0).wait_for_log(&format!("Up(Member {{ name: \"r2\", addr: {second_address}"));
    second.wait_for_log("Up(Member { name: \"r0\"");
    // When the second router is killed, the others increase their share; the superseded one does not.
    drop(second);
    routers.program(0).wait_for_next_log(&share_log_text(2));
    assert_eq!(routers.find_log_line(2, &share_log_text(2)), None);
    // The superseded router still serves.
    assert!(routers.peak_statements(&[2], 1) >= 1);
    // A router that is shut down announces that it leaves.
    routers.program(1).terminate();
    routers.program(1).wait_for_log("membership ended reason=Left");
    routers.program(0).wait_for_log("membership changed change=Down(Member { name: \"r1\"");
}

/// Measures the cost of membership. Run on an otherwise idle host with
/// `cargo test --release --test members -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement that takes several minutes"]
fn membership_cost() {
    for n in [10, 100] {
        for with_membership in [false, true] {
            measure(n, with_membership);
        }
    }
}

fn measure(n: usize, with_membership: bool) {
    let mut routers = Routers::new(n, 1, false, Duration::from_millis(500));
    let started_at = Instant::now();
    for i in 0..n {
        routers.start(i);
        if !with_membership {
            // The same configuration without the `[members]` table.
            routers.kill(i);
            let path = routers.folder.path().join(format!("{i}.toml"));
            let text = std::fs::read_to_string(&path).unwrap();
            let bare = text.split("[members]").next().unwrap();
            let program = Program::serve(&routers.folder.write(&format!("{i}.toml"), bare));
            routers.running[i] = Some((program, ([127, 0, 0, 1], 0).into()));
        }
    }
    if with_membership {
        (0..n).for_each(|i| routers.wait_until_members_known(i, n));
        println!("{n} routers: started together, all joined after {:?}", started_at.elapsed());
    } else {
        (0..n).for_each(|i| routers.wait_until_serving(i));
    }
    let measurement_time = Duration::from_secs(30);
    std::thread::sleep(measurement_time);
    let (mut memory, mut threads, mut ticks) = (0, 0, 0);
    for i in 0..n {
        let id = routers.program(i).child.id();
        let proc_value = |file: &str, key: &str| -> u64 {
            let text = std::fs::read_to_string(format!("/proc/{id}/{file}")).unwrap();
            let line = text.lines().find(|l| l.starts_with(key)).unwrap();
            line.split_whitespace().nth(1).unwrap().parse().unwrap()
        };
        (memory, threads) =
            (memory + proc_value("smaps_rollup", "Pss:"), threads + proc_value("status", "Threads:"));
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let cells: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        ticks += cells[11].parse::<u64>().unwrap() + cells[12].parse::<u64>().unwrap();
    }
    println!(
        "{n} routers, membership {with_membership}: {} kB, {:.1} threads and {:.2} s of CPU each in {:?}",
        memory / n as u64,
        threads as f64 / n as f64,
        ticks as f64 / 100.0 / n as f64,
        started_at.elapsed()
    );
    if !with_membership {
        return;
    }
    let totals = |line: String| line.split("membership ended ").last().unwrap_or_default().to_string();
    routers.program(n - 1).terminate();
    println!(
        "{n} routers, totals of one router without failures: {}",
        totals(routers.program(n - 1).wait_for_log("membership ended"))
    );
    // Single failures: time from SIGKILL until the first and the last of the other routers detect it.
    let (mut first_detections, mut last_detections) = (Vec::new(), Vec::new());
    for failed in (n - 6..n - 1).rev() {
        routers.kill(failed);
        let killed_at = Instant::now();
        let text = format!("membership changed change=Down(Member {{ name: \"r{failed}\"");
        let mut times = Vec::new();
        let mut undetected: Vec<usize> = (0..failed).collect();
        while !undetected.is_empty() {
            undetected.retain(|i| {
                let detected = routers.find_log_line(*i, &text).is_some();
                if detected {
                    times.push(killed_at.elapsed().as_secs_f64());
                }
                !detected
            });
            assert!(killed_at.elapsed() < Duration::from_mins(1), "{undetected:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
        first_detections.push(times[0]);
        last_detections.push(*times.last().unwrap());
    }
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64;
    println!(
        "{n} routers: failure detected by one after {:.1} s, by all after {:.1} s, maximum {:.1} s of 5",
        mean(&first_detections),
        mean(&last_detections),
        last_detections.iter().copied().fold(0.0, f64::max)
    );
    // About two thirds of the routers killed at once.
    let remaining = n / 3;
    (remaining..n - 6).for_each(|i| routers.kill(i));
    let killed_at = Instant::now();
    (0..remaining).for_each(|i| _ = routers.program(i).wait_for_log(&share_log_text(remaining)));
    println!(
        "{n} routers: {} killed at once, the others share the capacity among {remaining} after {:?}",
        n - 6 - remaining,
        killed_at.elapsed()
    );
    routers.program(0).terminate();
    println!(
        "{n} routers, totals of one router after all failures: {}",
        totals(routers.program(0).wait_for_log("membership ended"))
    );
}
