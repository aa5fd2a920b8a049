//! Tests of the router's fleet client against scripted store nodes.
use audit::Directive;
use crossbeam_channel::{Receiver, Sender, unbounded};
use fleet::client::Settings;
use fleet::wire::{self, Request, Response};
use fleet::{AdmissionError, FleetClient};
use placement::RulesUpdate;
use quotas::{Report, ResponseBody};
use routing::{Clock, Time};
use settings::fleet::{AuditConfig, FleetMemberConfig};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Timeout that is only reached if a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const DOCUMENT: &str = "routers = 4\nunnamed = 'all'\n\
    [[tenant]]\nname = 'all'\nrate = 100.0\nburst = 100\non_loss = 'closed'\n\
    [[tenant]]\nname = 'tills'\nusers = ['till']\n";
/// The version of the document on the scripted nodes.
const VERSION: u64 = 5;

/// Determines a scripted node's response to a report.
type Script = Box<dyn FnMut(&Report) -> Response + Send>;

fn report_response(report: &Report, audit_directive: Directive) -> Response {
    let quota_response = quotas::GrantResponse {
        term: 1,
        incarnation: report.incarnation,
        seq: report.seq,
        version: VERSION,
        body: ResponseBody::NotRenewed,
    };
    Response::Report { quota_response, audit_directive }
}

/// A node that serves one connection at a time and forwards each received request to the test.
struct ScriptedNode {
    addr: SocketAddr,
    requests: Receiver<Request>,
    /// The node starts accepting connections when a message is sent here.
    accept: Sender<()>,
}

impl ScriptedNode {
    fn start(number: u64, document: &'static str, mut script: Script) -> ScriptedNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (request_sender, requests) = unbounded();
        let (accept, accept_signal) = unbounded();
        std::thread::spawn(move || {
            if accept_signal.recv().is_err() {
                return;
            }
            for socket in listener.incoming().map_while(Result::ok) {
                serve(&socket, number, document, &mut script, &request_sender);
            }
        });
        ScriptedNode { addr, requests, accept }
    }

    fn next(&self) -> Request {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("expected a request")
    }

    fn next_report(&self) -> Report {
        match self.next() {
            Request::Report { quota_report: report, .. } => report,
            Request::Document => panic!("expected a report, received a document request"),
        }
    }
}

/// Serves a connection until it is closed.
fn serve(socket: &TcpStream, number: u64, document: &str, script: &mut Script, requests: &Sender<Request>) {
    let mut hello = [0; 6];
    (&mut &*socket).read_exact(&mut hello).unwrap();
    assert_eq!(&hello, b"DVFL\x02\0");
    wire::send_hello(socket).unwrap();
    wire::send(socket, &Response::Welcome { node: number }).unwrap();
    while let Ok(request) = wire::receive::<Request>(socket, TEST_TIMEOUT, TEST_TIMEOUT) {
        let responses = match &request {
            Request::Report { quota_report: report, .. } => vec![script(report)],
            Request::Document => {
                let (head, rest) = document.as_bytes().split_at(10);
                let part = |bytes: &[u8], is_last| Response::DocumentPart {
                    version: VERSION,
                    bytes: bytes.into(),
                    is_last,
                };
                vec![part(head, false), part(rest, true)]
            }
        };
        _ = requests.send(request);
        if responses.iter().any(|response| wire::send(socket, response).is_err()) {
            return;
        }
    }
}

fn start_client(nodes: &[&ScriptedNode], audit: Option<AuditConfig>) -> (FleetClient, Receiver<RulesUpdate>) {
    let member = FleetMemberConfig {
        name: "router-1".into(),
        slot: None,
        store_addresses: Vec::new(),
        allocator_addresses: nodes.iter().map(|n| n.addr).collect(),
        allocator_listen: None,
        seed_document_path: None,
        audit,
    };
    let settings = Settings {
        member,
        incarnation: 77,
        classes: vec!["read".into()],
        quotas: Default::default(),
        seed: 1,
    };
    let (update_sender, updates) = unbounded();
    let client =
        FleetClient::start(settings, Clock::new(), move |n| _ = update_sender.send(n), || 9).unwrap();
    (client, updates)
}

fn next_rules_update(updates: &Receiver<RulesUpdate>) -> RulesUpdate {
    updates.recv_timeout(TEST_TIMEOUT).expect("expected a rules update")
}

fn named(tenant: &str) -> Option<Arc<str>> {
    Some(tenant.into())
}

#[test]
fn client_follows_reported_version_admits_and_leaves() {
    let node = ScriptedNode::start(
        1,
        DOCUMENT,
        Box::new(|report| report_response(report, Directive::AuditDisabled)),
    );
    let (client, updates) = start_client(&[&node], None);
    let not_configured = client.admit("till", None).unwrap_err();
    assert!(matches!(not_configured, AdmissionError::NotConfigured { .. }), "{not_configured}");
    assert_eq!(
        not_configured.to_string(),
        "this router has not heard from the fleet's store yet; come back in 400 ms"
    );
    node.accept.send(()).unwrap();
    let first = node.next_report();
    assert_eq!((first.router.as_str(), first.incarnation, first.version), ("router-1", 77, 0));
    assert_eq!(node.next(), Request::Document);
    let second = node.next_report();
    assert_eq!((second.seq, second.version), (first.seq + 1, VERSION));
    match next_rules_update(&updates) {
        RulesUpdate::Received { version, fleet } => assert_eq!((version, fleet.tenants.len()), (VERSION, 2)),
        other => panic!("{other:?}"),
    }
    assert!(matches!(next_rules_update(&updates), RulesUpdate::Confirmed { .. }));

    assert_eq!(client.admit("till", Some("all")).unwrap(), named("tills"));
    assert_eq!(client.resolve_tenant("guest", Some("nobody")).unwrap(), named("all"));
    let over_quota = client.admit("guest", None).unwrap_err();
    assert!(over_quota.to_string().starts_with("quota of tenant 'all'; come back in "), "{over_quota}");
    assert_eq!(client.dispatch_deadline(Time(5)), Time(5));

    client.leave();
    while !node.next_report().leaving {}
    assert!(node.requests.try_recv().is_err());
}

#[test]
fn fenced_out_client_rejects_every_request() {
    let is_fenced_out = Arc::new(AtomicBool::new(false));
    let fence_out = is_fenced_out.clone();
    let script = move |report: &Report| {
        let directive = if fence_out.load(Ordering::Relaxed) {
            Directive::FenceOut { epoch: 3 }
        } else {
            Directive::Continue { epoch: 0 }
        };
        report_response(report, directive)
    };
    let node = ScriptedNode::start(1, DOCUMENT, Box::new(script));
    node.accept.send(()).unwrap();
    let (client, updates) = start_client(&[&node], Some(AuditConfig::default()));
    while !matches!(next_rules_update(&updates), RulesUpdate::Confirmed { .. }) {}
    assert_eq!(client.admit("till", None).unwrap(), named("tills"));
    // The deadline is limited to shortly after the end of the lease of about two seconds.
    let now = Clock::new().now().0;
    let dispatch_deadline = client.dispatch_deadline(Time(i64::MAX)).0;
    assert!((now + 200_000..now + 2_200_000).contains(&dispatch_deadline), "{}", dispatch_deadline - now);
    is_fenced_out.store(true, Ordering::Relaxed);
    let started = Instant::now();
    let fenced = loop {
        match client.resolve_tenant("till", None) {
            Err(rejection) => break rejection,
            Ok(_) => assert!(started.elapsed() < TEST_TIMEOUT, "the client was not fenced in time"),
        }
    };
    assert!(fenced.to_string().contains("it is shut out under epoch 3 with version 5"), "{fenced}");
    let version_reports = node.requests.try_iter().filter_map(|r| match r {
        Request::Report { version_report, .. } => Some(version_report),
        Request::Document => None,
    });
    assert!(version_reports.map(|report| report.members_version).all(|version| version == 9));
}

#[test]
fn client_fails_over_to_leader() {
    let follower = ScriptedNode::start(1, DOCUMENT, Box::new(|_| Response::NotLeader { leader: 2 }));
    let leader = ScriptedNode::start(
        2,
        DOCUMENT,
        Box::new(|report| report_response(report, Directive::AuditDisabled)),
    );
    follower.accept.send(()).unwrap();
    leader.accept.send(()).unwrap();
    let (_client, updates) = start_client(&[&follower, &leader], None);
    while !matches!(next_rules_update(&updates), RulesUpdate::Confirmed { .. }) {}
    assert_eq!(follower.requests.try_iter().count(), 1);
    assert!(matches!(leader.next(), Request::Report { .. }));
}

#[test]
fn unreadable_document_is_fetched_once() {
    let node = ScriptedNode::start(
        1,
        "routers = 'many'\n",
        Box::new(|report| report_response(report, Directive::AuditDisabled)),
    );
    node.accept.send(()).unwrap();
    let (client, updates) = start_client(&[&node], None);
    assert_eq!(node.next_report().version, 0);
    assert_eq!(node.next(), Request::Document);
    for _ in 0..3 {
        assert_eq!(node.next_report().version, 0);
    }
    assert!(updates.try_recv().is_err());
    assert!(matches!(client.admit("till", None), Err(AdmissionError::NotConfigured { .. })));
}
