//! The fleet that a router of an operator's file is one of: who lives, and the share of the room that follows from it.
use super::Error;
use crossbeam_channel::Receiver;
use membership::{Change, Config, Membership, live_router_count};
use settings::members::Members as Table;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One that has gone counts on for this many rhythms: longer than a member that was wrongly taken for dead needs to return.
const SETTLE: u32 = 10;
/// A start waits this many rhythms for an answer of the fleet: its first client finds the share of one that has joined.
const JOIN: u32 = 4;
/// A farewell takes a quarter of a second at the default rhythm.
const FAREWELL: Duration = Duration::from_secs(1);

/// Joins the fleet and follows it; `tell` is given the number of routers that share the room.
pub fn start(table: &Table, routers: u32, tell: impl Fn(u32) + Send + 'static) -> Result<Membership, Error> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let members = Membership::start(Config {
        name: table.name.clone(),
        listen: table.listen,
        advertise: table.told,
        generation: started.as_millis() as u64,
        seeds: table.seeds.clone(),
        random_seed: u64::from(std::process::id()) << 32 ^ started.as_nanos() as u64,
        settings: membership::Settings::with_probe_interval(&table.cluster, table.rhythm),
    })?;
    let expects = table.seeds.iter().any(|s| *s != table.told.unwrap_or(members.addr()));
    let settings = live_router_count::Settings {
        fleet_size: routers,
        min_count: table.least,
        settle_time: table.rhythm * SETTLE,
        expects_others: expects,
    };
    let seen = members.subscribe()?;
    membership::follow_router_count(&members, settings, tell)?;
    tracing::info!("members: '{}' of '{}' hears on {}", table.name, table.cluster, members.addr());
    if expects && !answered(&seen, table.rhythm * JOIN) {
        tracing::warn!("members: nobody has answered yet; serving with the share of one in {routers}");
    }
    Ok(members)
}

/// Whether any other router was heard within this time.
fn answered(seen: &Receiver<Change>, within: Duration) -> bool {
    let until = Instant::now() + within;
    loop {
        match seen.recv_deadline(until) {
            Ok(Change::Snapshot(all)) if all.len() > 1 => return true,
            Ok(Change::Up(_)) => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
}

/// Leaves, so that the others need not find it out.
pub fn leave(members: &Membership) {
    let (Ok(seen), Ok(())) = (members.subscribe(), members.leave()) else { return };
    let until = Instant::now() + FAREWELL;
    while seen.recv_deadline(until).is_ok() {}
}
