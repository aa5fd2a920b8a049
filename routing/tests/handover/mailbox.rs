//! Tests in which the backends actor is blocked, so that commands wait in its mailbox or are dropped.
use crate::script::{Core, IDEMPOTENT, Pause, PauseControl, draining, endpoint};
use routing::EndpointEntry;
use std::time::Duration;
use testkit::routing::addr;

/// Blocks the backends actor while it closes a connection to endpoint 1, which is in group 0.
fn pause_backends_actor(core: &mut Core, others: &[EndpointEntry]) {
    let all = [&[endpoint("a", 1, 0)], others].concat();
    core.list(&all);
    for listed in &all {
        assert_eq!(core.submit(listed.group.0, IDEMPOTENT).served_by(), listed.addr);
    }
    core.script.pause(addr(1), Pause::Close);
    core.list(&[&[draining(endpoint("a", 1, 0))], others].concat());
    core.script.wait_for(addr(1), Pause::Close, 1);
}

#[test]
fn full_mailbox_loses_no_drain_removal_or_disconnect() {
    // 0: the endpoint drains; 1: it is removed, because it is listed with another address; 2: the client
    // disconnects.
    for event in 0..3 {
        let mut core = Core::start(|limits| limits.mailbox_capacity = 16);
        let (a, c, d) = (draining(endpoint("a", 1, 0)), endpoint("c", 3, 1), endpoint("d", 4, 2));
        core.list(std::slice::from_ref(&c));
        assert_eq!(core.submit(1, IDEMPOTENT).served_by(), addr(3));
        // The attempt reuses the idle connection and is paused before it requests its write permit.
        core.script.pause(addr(3), Pause::Start);
        let request = core.submit(1, IDEMPOTENT);
        core.script.wait_for(addr(3), Pause::Start, 1);
        core.script.pause(addr(1), Pause::Close);
        core.list(&[endpoint("a", 1, 0), c.clone(), d.clone()]);
        assert_eq!(core.submit(0, IDEMPOTENT).served_by(), addr(1));
        assert_eq!(core.submit(2, IDEMPOTENT).served_by(), addr(4));
        core.list(&[a.clone(), c.clone(), d.clone()]);
        core.script.wait_for(addr(1), Pause::Close, 1);
        // The actor is blocked, so the commands from here on fill its mailbox.
        for _ in 0..20 {
            core.list(&[a.clone(), c.clone(), draining(d.clone())]);
            core.list(&[a.clone(), c.clone(), d.clone()]);
        }
        match event {
            0 => core.list(&[a.clone(), draining(c.clone()), d.clone()]),
            1 => core.list(&[a.clone(), draining(endpoint("c", 5, 1)), d.clone()]),
            _ => {
                core.handle.client_disconnected(request.id);
                core.barrier();
            }
        }
        core.script.resume(addr(3), Pause::Start);
        core.script.wait_until(addr(3), |e| e.cancelled == 1 || e.written == 2);
        assert_eq!(core.script.written(addr(3)), 1, "event {event} was lost, the attempt was sent");
        // Check that no actor is blocked permanently.
        core.script.resume(addr(1), Pause::Close);
        assert_eq!(core.submit(2, IDEMPOTENT).served_by(), addr(4));
        core.list(&[a, endpoint("e", 6, 1), d]);
        if event < 2 {
            assert_eq!(request.served_by(), addr(6));
        }
        request.wait_until_finished();
    }
}

#[test]
fn drain_cancels_attempt_queued_in_mailbox() {
    let mut core = Core::start(|_| ());
    let (b, d) = (endpoint("b", 2, 1), endpoint("d", 4, 2));
    pause_backends_actor(&mut core, &[b.clone(), d.clone()]);
    let request = core.submit(2, IDEMPOTENT);
    core.barrier();
    // The actor will be blocked again after it has handled the attempt, before it can handle a later command
    // for that endpoint.
    core.script.pause(addr(2), Pause::Close);
    let (a, b) = (draining(endpoint("a", 1, 0)), draining(b));
    core.list(&[a.clone(), b.clone(), d.clone()]);
    core.list(&[a.clone(), b.clone(), draining(d)]);
    core.script.resume(addr(1), Pause::Close);
    core.script.wait_for(addr(2), Pause::Close, 1);
    let response = request.response.recv_timeout(Duration::from_millis(200));
    assert!(response.is_err(), "a draining endpoint received a new attempt: {response:?}");
    core.script.resume(addr(2), Pause::Close);
    core.list(&[a, b, endpoint("e", 6, 2)]);
    assert_eq!(request.served_by(), addr(6));
    assert_eq!(core.script.written(addr(4)), 1);
}

#[test]
fn idle_connection_to_draining_endpoint_is_closed() {
    let mut core = Core::start(|_| ());
    pause_backends_actor(&mut core, &[]);
    core.script.resume(addr(1), Pause::Close);
}
