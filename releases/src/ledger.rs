//! Counts reservations against the disruption budget.
use crate::{
    DisruptionBudget, FormatError, GrantId, Members, RequestId, Reservation, ReservationError,
    SNAPSHOT_FORMAT, Target, TargetKind,
};
use decision::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Input of the ledger.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// The fleet's members have changed. Reservations of members that have left stay until they are returned or expire.
    MembersChanged(Members),
    /// The budget has changed. Reservations above it stay.
    BudgetChanged(DisruptionBudget),
    /// An owner asks to take a member out of service. If it has the reservation already, this renews it.
    Acquire {
        /// Who asks.
        owner: String,
        /// What it wants to take out.
        target: Target,
        /// Identifies the request.
        request: RequestId,
    },
    /// An owner is alive: the lease starts anew if the grant is the reservation's latest.
    Renew {
        /// What is out.
        target: Target,
        /// The owner's grant.
        grant: GrantId,
    },
    /// A member is back in service. Nothing changes unless the grant is the reservation's latest.
    Return {
        /// What is back.
        target: Target,
        /// The owner's grant.
        grant: GrantId,
    },
    /// Time has passed.
    Tick,
}

/// What the ledger's owner must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Commit [`BudgetLedger::snapshot`] before the actions that follow.
    Persist,
    /// Answer that the member may be taken out.
    Granted {
        /// Who asked.
        owner: String,
        /// What may be taken out.
        target: Target,
        /// Identifies the request.
        request: RequestId,
        /// Identifies the grant.
        grant: GrantId,
    },
    /// Answer that the member may not be taken out.
    Denied {
        /// Who asked.
        owner: String,
        /// What may not be taken out.
        target: Target,
        /// Identifies the request.
        request: RequestId,
        /// Why.
        reason: ReservationError,
    },
    /// Audit that a reservation's lease has expired.
    Expired(Reservation),
}

/// The ledger's state in the store. Times are not in it: whoever restores it starts all leases anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// [`SNAPSHOT_FORMAT`].
    pub format: u32,
    /// The next grant.
    #[serde(rename = "next")]
    pub next_grant: GrantId,
    /// Lease of a reservation in microseconds.
    pub lease: Micros,
    /// The budget in force.
    pub budget: DisruptionBudget,
    /// What is out.
    #[serde(rename = "slots")]
    pub reservations: Vec<Reservation>,
}

/// How much of a limit is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Members that are out.
    pub out: usize,
    /// Members that may be out.
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

/// The reservations, their leases and the budget. Only the ledger of the store's leader counts.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    budget: DisruptionBudget,
    lease: Micros,
    members: Members,
    next_grant: GrantId,
    reservations: BTreeMap<Target, LeasedReservation>,
}

impl BudgetLedger {
    /// A ledger with nothing out. `lease` is in microseconds.
    pub fn new(budget: DisruptionBudget, lease: Micros, members: Members) -> BudgetLedger {
        BudgetLedger { budget, lease, members, next_grant: GrantId(1), reservations: BTreeMap::new() }
    }

    /// Restores the ledger that the store has, for a leader that starts at `now`. Each lease lasts its whole time again,
    /// for nobody is known to have counted how much of it was over.
    ///
    /// # Errors
    /// [`FormatError`] if another version of the program wrote the snapshot in another format.
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

    /// The state to commit.
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            format: SNAPSHOT_FORMAT,
            next_grant: self.next_grant,
            lease: self.lease,
            budget: self.budget,
            reservations: self.reservations().cloned().collect(),
        }
    }

    /// What is out.
    pub fn reservations(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values().map(|leased| &leased.reservation)
    }

    /// Use of a kind's limit in a zone or, for `None`, in the whole fleet.
    pub fn usage(&self, kind: TargetKind, zone: Option<&str>) -> BudgetUsage {
        let limits = match kind {
            TargetKind::Router => self.budget.routers,
            TargetKind::Instance => self.budget.instances,
        };
        let limit = if zone.is_some() { limits.zone } else { limits.fleet };
        let is_here = |other: &str| zone.is_none_or(|zone| zone == other);
        let members = self.members.iter().filter(|(target, zone)| target.kind == kind && is_here(zone));
        let out = self.reservations().filter(|found| found.target.kind == kind && is_here(&found.zone));
        BudgetUsage { out: out.count(), limit: limit.resolve(members.count()) }
    }

    /// Handles an event and appends what the owner must do.
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

    /// The zone that a reservation counts in. An owner that has the reservation already may renew it, above a lowered
    /// budget too.
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
