//! The lease names, their current leases, and the keys attached to each lease.
use crate::command::FencingToken;
use crate::lease_timers::LeaseTimer;
use crate::limits::{TICK_MS, limit_reached};
use crate::rejection::Rejection;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A held lease, which is part of a snapshot: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Lease {
    pub(super) epoch: u64,
    ttl_ms: u64,
    pub(super) renewals: u64,
    /// Not serialized: a snapshot contains the lease epoch of each key, from which this field is rebuilt.
    #[serde(skip)]
    pub(super) attached_keys: BTreeSet<String>,
}

impl Lease {
    fn timer(&self, name: &str) -> LeaseTimer {
        // The first tick may come immediately after the start. One additional tick ensures that the countdown
        // is not shorter than the time to live.
        let ticks = self.ttl_ms.div_ceil(TICK_MS) + 1;
        let token = FencingToken { name: name.into(), epoch: self.epoch };
        LeaseTimer { token, renewals: self.renewals, ticks }
    }
}

/// The record of a lease name, which is part of a snapshot: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NameRecord {
    highest_epoch: u64,
    /// The current lease; `None` while the name is free.
    lease: Option<Lease>,
}

/// The records of all known lease names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LeaseTable {
    names: BTreeMap<String, NameRecord>,
    /// The names of the held leases, keyed by epoch.
    held: BTreeMap<u64, String>,
    /// The highest epoch among the names whose records were evicted.
    highest_forgotten_epoch: u64,
}

impl LeaseTable {
    /// Rebuilds the table from a snapshot. The keys are attached later.
    pub(super) fn restore(names: BTreeMap<String, NameRecord>, highest_forgotten_epoch: u64) -> LeaseTable {
        let epoch_and_name = |(name, record): (&String, &NameRecord)| {
            record.lease.as_ref().map(|lease| (lease.epoch, name.clone()))
        };
        let held = names.iter().filter_map(epoch_and_name).collect();
        LeaseTable { names, held, highest_forgotten_epoch }
    }

    pub(super) fn names(&self) -> &BTreeMap<String, NameRecord> {
        &self.names
    }

    pub(super) fn highest_forgotten_epoch(&self) -> u64 {
        self.highest_forgotten_epoch
    }

    /// All held leases with their full times to live, ordered by name.
    pub(super) fn timers(&self) -> Vec<LeaseTimer> {
        let timer =
            |(name, record): (&String, &NameRecord)| record.lease.as_ref().map(|lease| lease.timer(name));
        self.names.iter().filter_map(timer).collect()
    }

    /// Returns the lease of the token's name if the lease was granted with the token's epoch.
    pub(super) fn find_held(&mut self, token: &FencingToken) -> Result<&mut Lease, Rejection> {
        let Some(record) = self.names.get_mut(&token.name) else {
            return Err(Rejection::Fenced { highest_epoch: self.highest_forgotten_epoch });
        };
        if record.highest_epoch != token.epoch {
            return Err(Rejection::Fenced { highest_epoch: record.highest_epoch });
        }
        record.lease.as_mut().ok_or(Rejection::LeaseEnded { epoch: token.epoch })
    }

    pub(super) fn grant(
        &mut self,
        name: String,
        ttl_ms: u64,
        epoch: u64,
        max_names: usize,
    ) -> Result<LeaseTimer, Rejection> {
        if let Some(lease) = self.names.get(&name).and_then(|record| record.lease.as_ref()) {
            return Err(Rejection::LeaseHeld { epoch: lease.epoch });
        }
        self.ensure_capacity_for(&name, max_names)?;
        let lease = Lease { epoch, ttl_ms, renewals: 0, attached_keys: BTreeSet::new() };
        let timer = lease.timer(&name);
        self.held.insert(epoch, name.clone());
        self.names.insert(name, NameRecord { highest_epoch: epoch, lease: Some(lease) });
        Ok(timer)
    }

    /// Evicts the record of the free name with the lowest epoch if one more name would exceed the limit.
    /// Previous holders of an evicted name stay fenced, because a token of an unknown name is always
    /// rejected.
    fn ensure_capacity_for(&mut self, name: &str, max_names: usize) -> Result<(), Rejection> {
        if self.names.contains_key(name) || self.names.len() < max_names {
            return Ok(());
        }
        let free = self.names.iter().filter(|(_, record)| record.lease.is_none());
        let oldest = free.min_by_key(|(_, record)| record.highest_epoch);
        let Some((oldest, epoch)) = oldest.map(|(name, record)| (name.clone(), record.highest_epoch)) else {
            return Err(limit_reached("names of leases", max_names));
        };
        self.highest_forgotten_epoch = self.highest_forgotten_epoch.max(epoch);
        self.names.remove(&oldest);
        Ok(())
    }

    pub(super) fn renew(&mut self, token: &FencingToken) -> Result<LeaseTimer, Rejection> {
        let lease = self.find_held(token)?;
        lease.renewals += 1;
        Ok(lease.timer(&token.name))
    }

    /// Ends the lease of a name and returns it, if the name is held.
    pub(super) fn end(&mut self, name: &str) -> Option<Lease> {
        let lease = self.names.get_mut(name)?.lease.take()?;
        self.held.remove(&lease.epoch);
        Some(lease)
    }

    /// Checks that a key may be attached to the lease of this epoch.
    pub(super) fn check_attach(&self, epoch: u64, key: &str, max_keys: usize) -> Result<(), Rejection> {
        let record = self.held.get(&epoch).and_then(|name| self.names.get(name));
        let lease = record.and_then(|record| record.lease.as_ref());
        let attached = &lease.ok_or(Rejection::LeaseEnded { epoch })?.attached_keys;
        if !attached.contains(key) && attached.len() >= max_keys {
            return Err(limit_reached("keys of one lease", max_keys));
        }
        Ok(())
    }

    /// Attaches a key to the lease of this epoch. Returns `false` if no such lease is held.
    pub(super) fn attach(&mut self, epoch: u64, key: &str) -> bool {
        let Some(keys) = self.attached_keys(epoch) else { return false };
        keys.insert(key.into());
        true
    }

    pub(super) fn detach(&mut self, epoch: u64, key: &str) {
        if let Some(keys) = self.attached_keys(epoch) {
            keys.remove(key);
        }
    }

    fn attached_keys(&mut self, epoch: u64) -> Option<&mut BTreeSet<String>> {
        let name = self.held.get(&epoch)?;
        let lease = self.names.get_mut(name)?.lease.as_mut()?;
        Some(&mut lease.attached_keys)
    }
}
