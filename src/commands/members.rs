//! The fleet that a router of an operator's file is a member of: which routers are alive, and the share of the capacity
//! that follows from their number.
use super::Error;
use crossbeam_channel::Receiver;
use membership::{Change, Config, Membership, live_router_count};
use settings::members::MembershipConfig as Table;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A router that is no longer heard counts on for this many probe intervals: longer than a member that was wrongly
/// taken for dead needs to return.
const SETTLE_INTERVALS: u32 = 10;
/// A start waits at most this many probe intervals for another router, so that the first client finds the share of a
/// router that has joined.
const JOIN_INTERVALS: u32 = 4;
/// How long a leaving router waits at most until its departure is spread; at the default interval that takes a quarter
/// of a second.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins the fleet and follows it. `on_router_count` is given the number of routers that share the capacity, at once and
/// at each change; `router_count` is the fleet's size that the file gives.
pub(super) fn start(
    table: &Table,
    router_count: u32,
    on_router_count: impl Fn(u32) + Send + 'static,
) -> Result<Membership, Error> {
    let members = Membership::start(config(table))?;
    let own_address = table.advertised_address.unwrap_or(members.addr());
    let expects_others = table.seeds.iter().any(|seed| *seed != own_address);
    let settings = live_router_count::Settings {
        fleet_size: router_count,
        min_count: table.min_counted_routers,
        settle_time: table.protocol_period * SETTLE_INTERVALS,
        expects_others,
    };
    let changes = members.subscribe()?;
    membership::follow_router_count(&members, settings, on_router_count)?;
    let address = members.addr();
    tracing::info!(member = table.name, cluster = table.cluster, addr = %address, "cluster membership started");
    if expects_others && !wait_for_other_router(&changes, table.protocol_period * JOIN_INTERVALS) {
        tracing::warn!(router_count, "no other cluster member heard yet, serving with an equal share");
    }
    Ok(members)
}

/// This router's membership. The generation tells it from an earlier process of the same name.
fn config(table: &Table) -> Config {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Config {
        name: table.name.clone(),
        listen: table.listen,
        advertise: table.advertised_address,
        generation: started.as_millis() as u64,
        seeds: table.seeds.clone(),
        random_seed: u64::from(std::process::id()) << 32 ^ started.as_nanos() as u64,
        settings: membership::Settings::with_probe_interval(&table.cluster, table.protocol_period),
    }
}

/// Whether another router is heard before the timeout.
fn wait_for_other_router(changes: &Receiver<Change>, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        match changes.recv_deadline(deadline) {
            Ok(Change::Snapshot(members)) if members.len() > 1 => return true,
            Ok(Change::Up(_)) => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
}

/// Leaves the fleet, so that the others need not find out by their probes.
pub(super) fn leave(members: &Membership) {
    let (Ok(changes), Ok(())) = (members.subscribe(), members.leave()) else { return };
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    // The changes end when the departure has been spread.
    while changes.recv_deadline(deadline).is_ok() {}
}
