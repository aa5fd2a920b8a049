//! Membership of a `serve` router in its fleet: tracks which routers are alive, and derives from their number
//! the router's share of the servers' capacity.
use super::Error;
use crossbeam_channel::Receiver;
use membership::{Change, Config, Membership, live_router_count};
use settings::members::MembershipConfig;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of protocol periods for which a router that left or failed still counts; longer than a member that
/// was wrongly declared dead needs to rejoin.
const SETTLE_PERIODS: u32 = 10;
/// Number of protocol periods for which startup waits for another router, so that the capacity share already
/// accounts for the other routers when the first client connects.
const JOIN_PERIODS: u32 = 4;
/// How long a leaving router waits for its leave message to be disseminated; with the default protocol period
/// that takes a quarter of a second.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins the fleet and tracks its members. `on_router_count` is called with the number of routers that share
/// the capacity, immediately and at each change; `router_count` is the configured size of the fleet.
pub(super) fn start(
    table: &MembershipConfig,
    router_count: u32,
    on_router_count: impl Fn(u32) + Send + 'static,
) -> Result<Membership, Error> {
    let members = Membership::start(config(table))?;
    let own_address = table.advertised_address.unwrap_or(members.addr());
    let expects_others = table.seeds.iter().any(|seed| *seed != own_address);
    let settings = live_router_count::Settings {
        fleet_size: router_count,
        min_count: table.min_counted_routers,
        settle_time: table.protocol_period * SETTLE_PERIODS,
        expects_others,
    };
    let changes = members.subscribe()?;
    membership::follow_router_count(&members, settings, on_router_count)?;
    let address = members.addr();
    tracing::info!(
        member = table.name,
        cluster = table.cluster,
        addr = %address,
        "cluster membership started"
    );
    if expects_others && !wait_for_other_router(&changes, table.protocol_period * JOIN_PERIODS) {
        tracing::warn!(
            router_count,
            "no other router has responded yet, serving with an equal share of the capacity"
        );
    }
    Ok(members)
}

/// Returns the settings of the membership protocol. The generation distinguishes this process from an earlier
/// one with the same name.
fn config(table: &MembershipConfig) -> Config {
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

/// Waits for another router to become known; returns false if none does before the timeout.
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

/// Announces that this router leaves the fleet, so that the other members need not detect it by failed
/// probes.
pub(super) fn leave(members: &Membership) {
    let (Ok(changes), Ok(())) = (members.subscribe(), members.leave()) else { return };
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    // The channel is closed when the leave message has been disseminated.
    while changes.recv_deadline(deadline).is_ok() {}
}
