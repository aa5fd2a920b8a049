//! Counts reservations against the disruption budget.
use crate::{
    DisruptionBudget, FormatError, GrantId, Members, RequestId, Reservation, ReservationError,
    SNAPSHOT_FORMAT, Target, TargetKind,
};
use decision::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An input of the ledger.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// The fleet's members have changed. Reservations of members that have left remain until they are
    /// returned or expire.
    MembersChanged(Members),
    /// The budget has changed. Existing reservations remain even if they exceed it.
    BudgetChanged(DisruptionBudget),
    /// An owner requests to take a member out of service. If the owner already has the
    /// reservation, this renews it.
    Acquire {
        /// The owner that requests the reservation.
        owner: String,
        /// The member to take out of service.
        target: Target,
        /// The ID of the request, which the response repeats.
        request: RequestId,
    },
    /// An owner renews its lease. This has an effect only if the grant is the reservation's latest.
    Renew {
        /// The member that is out of service.
        target: Target,
        /// The grant that the owner has.
        grant: GrantId,
    },
    /// A member is in service again. This has an effect only if the grant is the reservation's latest.
    Return {
        /// The member that is in service again.
        target: Target,
        /// The grant that the owner has.
        grant: GrantId,
    },
    /// Time has passed: leases may have expired.
    Tick,
}

/// An output that the ledger's owner must carry out; several are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Commit [`BudgetLedger::snapshot`] before carrying out the actions that follow.
    Persist,
    /// Respond that the member may be taken out of service.
    Granted {
        /// The owner that requested the reservation.
        owner: String,
        /// The member that may be taken out of service.
        target: Target,
        /// The ID of the request, which the response repeats.
        request: RequestId,
        /// The ID of the new grant.
        grant: GrantId,
    },
    /// Respond that the member may not be taken out of service.
    Denied {
        /// The owner that requested the reservation.
        owner: String,
        /// The member that may not be taken out of service.
        target: Target,
        /// The ID of the request, which the response repeats.
        request: RequestId,
        /// Why the request was denied.
        reason: ReservationError,
    },
    /// Write to the audit log that a reservation's lease has expired.
    Expired(Reservation),
}

/// The ledger's state in the store. It contains no times: restoring it starts all leases anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// The snapshot format, [`SNAPSHOT_FORMAT`].
    pub format: u32,
    /// The ID of the next grant.
    #[serde(rename = "next")]
    pub next_grant: GrantId,
    /// The duration of a reservation's lease in microseconds.
    pub lease: Micros,
    /// The budget in force.
    pub budget: DisruptionBudget,
    /// The reservations of members that are out of service.
    #[serde(rename = "slots")]
    pub reservations: Vec<Reservation>,
}

/// How much of a limit is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The number of members that are out of service.
    pub out: usize,
    /// The number of members that may be out of service.
    pub limit: usize,
}

impl BudgetUsage {
    fn is_exhausted(self) -> bool {
        self.out >= self.limit
    }
}

#[derive(Clone, Debug)]
struct LeasedReservation {
    reservation: Reservation,
    expires_at: Time,
}

/// The reservations, their leases and the budget. Only the ledger at the store's leader is authoritative.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    budget: DisruptionBudget,
    lease: Micros,
    members: Members,
    next_grant: GrantId,
    reservations: BTreeMap<Target, LeasedReservation>,
}

impl BudgetLedger {
    /// Creates a ledger without reservations. `lease` is in microseconds.
    pub fn new(budget: DisruptionBudget, lease: Micros, members: Members) -> BudgetLedger {
        BudgetLedger { budget, lease, members, next_grant: GrantId(1), reservations: BTreeMap::new() }
    }

    /// Restores the ledger from the store, for a leader that starts at `now`. Each lease starts anew with its
    /// full duration, because the elapsed part is not stored.
    ///
    /// # Errors
    /// [`FormatError`] if the snapshot has another format, written by another version of the program.
    pub fn restore(
        snapshot: LedgerSnapshot,
        members: Members,
        now: Time,
    ) -> Result<BudgetLedger, FormatError> {
        FormatError::check(snapshot.format)?;
        let expires_at = Time(now.0 + snapshot.lease);
        let leased = |reservation: Reservation| {
            (reservation.target.clone(), LeasedReservation { reservation, expires_at })
        };
        Ok(BudgetLedger {
            budget: snapshot.budget,
            lease: snapshot.lease,
            members,
            next_grant: snapshot.next_grant,
            reservations: snapshot.reservations.into_iter().map(leased).collect(),
        })
    }

    /// The state to commit to the store.
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            format: SNAPSHOT_FORMAT,
            next_grant: self.next_grant,
            lease: self.lease,
            budget: self.budget,
            reservations: self.reservations().cloned().collect(),
        }
    }

    /// The reservations of members that are out of service.
    pub fn reservations(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values().map(|leased| &leased.reservation)
    }

    /// The usage of a member kind's limit in a zone, or in the whole fleet if `zone` is `None`.
    pub fn usage(&self, kind: TargetKind, zone: Option<&str>) -> BudgetUsage {
        let limits = match kind {
            TargetKind::Router => self.budget.routers,
            TargetKind::Instance => self.budget.instances,
        };
        let limit = if zone.is_some() { limits.zone } else { limits.fleet };
        let is_in_zone = |other: &str| zone.is_none_or(|zone| zone == other);
        let members = self.members.iter().filter(|(target, zone)| target.kind == kind && is_in_zone(zone));
        let out = self
            .reservations()
            .filter(|reservation| reservation.target.kind == kind && is_in_zone(&reservation.zone));
        BudgetUsage { out: out.count(), limit: limit.resolve(members.count()) }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: LedgerEvent, actions: &mut Vec<LedgerAction>) {
        self.expire_leases(now, actions);
        match event {
            LedgerEvent::MembersChanged(members) => self.members = members,
            LedgerEvent::BudgetChanged(budget) => {
                self.budget = budget;
                actions.push(LedgerAction::Persist);
            }
            LedgerEvent::Acquire { owner, target, request } => {
                self.acquire(now, owner, target, request, actions);
            }
            LedgerEvent::Renew { target, grant } => self.renew(now, &target, grant),
            LedgerEvent::Return { target, grant } => self.return_reservation(&target, grant, actions),
            LedgerEvent::Tick => {}
        }
    }

    fn expire_leases(&mut self, now: Time, actions: &mut Vec<LedgerAction>) {
        let expired: Vec<Reservation> = self
            .reservations
            .extract_if(.., |_, leased| leased.expires_at <= now)
            .map(|(_, leased)| leased.reservation)
            .collect();
        if !expired.is_empty() {
            actions.push(LedgerAction::Persist);
            actions.extend(expired.into_iter().map(LedgerAction::Expired));
        }
    }

    fn acquire(
        &mut self,
        now: Time,
        owner: String,
        target: Target,
        request: RequestId,
        actions: &mut Vec<LedgerAction>,
    ) {
        let zone = match self.zone_to_reserve(&owner, &target) {
            Ok(zone) => zone,
            Err(reason) => {
                actions.push(LedgerAction::Denied { owner, target, request, reason });
                return;
            }
        };
        let grant = self.next_grant;
        self.next_grant = GrantId(grant.0 + 1);
        let reservation = Reservation { target: target.clone(), zone, owner: owner.clone(), grant };
        let expires_at = Time(now.0 + self.lease);
        self.reservations.insert(target.clone(), LeasedReservation { reservation, expires_at });
        actions.push(LedgerAction::Persist);
        actions.push(LedgerAction::Granted { owner, target, request, grant });
    }

    /// The zone that a reservation counts in, if it may be granted. An owner may renew its reservation even
    /// if the budget has been lowered.
    fn zone_to_reserve(&self, owner: &str, target: &Target) -> Result<String, ReservationError> {
        if let Some(LeasedReservation { reservation, .. }) = self.reservations.get(target) {
            if reservation.owner == owner {
                return Ok(reservation.zone.clone());
            }
            let owner = reservation.owner.clone();
            return Err(ReservationError::AlreadyReserved { target: target.name.clone(), owner });
        }
        let Some(zone) = self.members.get(target) else {
            return Err(ReservationError::UnknownTarget(target.name.clone()));
        };
        let in_zone = self.usage(target.kind, Some(zone));
        if in_zone.is_exhausted() {
            let BudgetUsage { out, limit } = in_zone;
            return Err(ReservationError::ZoneBudgetExhausted { zone: zone.clone(), out, limit });
        }
        let in_fleet = self.usage(target.kind, None);
        if in_fleet.is_exhausted() {
            let BudgetUsage { out, limit } = in_fleet;
            return Err(ReservationError::FleetBudgetExhausted { out, limit });
        }
        Ok(zone.clone())
    }

    fn renew(&mut self, now: Time, target: &Target, grant: GrantId) {
        if let Some(leased) = self.reservations.get_mut(target)
            && leased.reservation.grant == grant
        {
            leased.expires_at = Time(now.0 + self.lease);
        }
    }

    fn return_reservation(&mut self, target: &Target, grant: GrantId, actions: &mut Vec<LedgerAction>) {
        let is_latest = |leased: &LeasedReservation| leased.reservation.grant == grant;
        if self.reservations.get(target).is_some_and(is_latest) {
            self.reservations.remove(target);
            actions.push(LedgerAction::Persist);
        }
    }
}
