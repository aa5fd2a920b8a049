//! The replicated state machine. No I/O, clock or threads: applying the same commands at the same log indices
//! gives the same responses on every node.
mod clients;
mod leases;
mod snapshot;

use crate::command::{
    ChangeSet, Command, CommandEffect, CommandResponse, FencingToken, KeyChange, Operation,
};
use crate::lease_timers::{LeaseEvent, LeaseTimer};
use crate::limits::{MAX_TTL_MS, MIN_TTL_MS, StoreLimits, check_bounds, limit_reached};
use crate::rejection::Rejection;
use crate::state::{State, Update, Value};
use clients::{Admission, ClientTable};
use leases::LeaseTable;
use std::sync::Arc;

/// The replicated state machine of the store, which applies committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    limits: StoreLimits,
    state: State,
    leases: LeaseTable,
    clients: ClientTable,
    /// Total length of all keys and values, in bytes.
    total_bytes: usize,
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The response to the client.
    pub response: CommandResponse,
    /// The changed keys; `None` if no key changed.
    pub changes: Option<Arc<ChangeSet>>,
    /// The effect on the leader's lease timers, if any.
    pub lease_event: Option<LeaseEvent>,
}

impl Applied {
    fn without_changes(response: CommandResponse) -> Applied {
        Applied { response, changes: None, lease_event: None }
    }
}

/// The effects of a command, collected while it is executed.
#[derive(Default)]
struct Effects {
    changes: Vec<KeyChange>,
    lease_event: Option<LeaseEvent>,
}

impl StateMachine {
    /// Creates an empty state machine.
    pub fn new(limits: StoreLimits) -> StateMachine {
        StateMachine { limits, ..StateMachine::default() }
    }

    /// The store's current keys and values.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// All held leases with their full times to live, for a new leader to count down.
    pub fn lease_timers(&self) -> Vec<LeaseTimer> {
        self.leases.timers()
    }

    /// Advances past a log entry without a command, such as the first entry of a new leader.
    pub fn skip(&mut self, index: u64) {
        self.state.applied_index = index;
    }

    /// Applies the command at this log index. Indices must increase with each call.
    pub fn apply(&mut self, index: u64, command: Command) -> Applied {
        self.state.applied_index = index;
        let origin = command.origin();
        if let Some(origin) = origin {
            match self.clients.admit(origin, self.state.store_id, index) {
                Admission::New => {}
                Admission::Retry(response) => return Applied::without_changes(response),
                Admission::Rejected(rejection) => {
                    let revision = self.state.revision;
                    return Applied::without_changes(CommandResponse { result: Err(rejection), revision });
                }
            }
        }
        let mut effects = Effects::default();
        let result = self.execute(index, command, &mut effects);
        let Effects { changes, lease_event } = effects;
        let changes = (!changes.is_empty()).then(|| Arc::new(ChangeSet { revision: index, changes }));
        if changes.is_some() {
            self.state.revision = index;
        }
        let response = CommandResponse { result, revision: self.state.revision };
        if let Some(origin) = origin {
            self.clients.record(origin, index, response.clone());
        }
        Applied { response, changes, lease_event }
    }

    fn execute(
        &mut self,
        index: u64,
        command: Command,
        effects: &mut Effects,
    ) -> Result<CommandEffect, Rejection> {
        match command {
            Command::Initialize { store_id } => {
                // Several leaders may propose an id; the first committed one takes effect.
                if self.state.store_id == 0 {
                    self.state.store_id = store_id;
                }
                Ok(CommandEffect::Done)
            }
            Command::RegisterClient => self.register_client(index),
            Command::LegacyUpdate(update) => {
                let version = self.check_version(&update)?;
                Ok(self.update(index, update, version, None, effects))
            }
            Command::Write { operation, .. } => self.write(index, operation, effects),
            Command::ExpireLease { token, renewals } => {
                // The lease stays alive if a renewal was committed before this command.
                let due = self.leases.find_held(&token).is_ok_and(|lease| lease.renewals == renewals);
                if due {
                    self.end_lease(&token, effects);
                }
                Ok(CommandEffect::Done)
            }
        }
    }

    fn register_client(&mut self, index: u64) -> Result<CommandEffect, Rejection> {
        if self.state.store_id == 0 {
            return Err(Rejection::NotInitialized);
        }
        self.clients.register(index, self.limits.max_clients);
        Ok(CommandEffect::ClientRegistered { client_id: index, store_id: self.state.store_id })
    }

    fn write(
        &mut self,
        index: u64,
        operation: Operation,
        effects: &mut Effects,
    ) -> Result<CommandEffect, Rejection> {
        match operation {
            Operation::Update { update, fencing_token, lease_epoch } => {
                if let Some(token) = &fencing_token {
                    self.leases.find_held(token)?;
                }
                let version = self.check_version(&update)?;
                self.check_limits(&update, lease_epoch)?;
                Ok(self.update(index, update, version, lease_epoch, effects))
            }
            Operation::Grant { name, ttl_ms } => {
                let max_name_bytes = self.limits.max_key_bytes as u64;
                check_bounds("a lease's name in bytes", name.len() as u64, 1, max_name_bytes)?;
                check_bounds("a lease's time to live in ms", ttl_ms, MIN_TTL_MS, MAX_TTL_MS)?;
                // Log indices only increase, so the epochs of all names do as well.
                let timer = self.leases.grant(name, ttl_ms, index, self.limits.max_lease_names)?;
                effects.lease_event = Some(LeaseEvent::Started(timer));
                Ok(CommandEffect::Granted { epoch: index })
            }
            Operation::Renew(token) => {
                effects.lease_event = Some(LeaseEvent::Started(self.leases.renew(&token)?));
                Ok(CommandEffect::Done)
            }
            Operation::Revoke(token) => {
                self.leases.find_held(&token)?;
                self.end_lease(&token, effects);
                Ok(CommandEffect::Done)
            }
        }
    }

    /// Returns the key's current version, or a rejection if the update expects another one.
    fn check_version(&self, update: &Update) -> Result<u64, Rejection> {
        let current = self.state.get(&update.key).map_or(0, |value| value.version);
        match update.expected_version {
            Some(expected) if expected != current => Err(Rejection::VersionMismatch { current }),
            _ => Ok(current),
        }
    }

    fn check_limits(&self, update: &Update, lease_epoch: Option<u64>) -> Result<(), Rejection> {
        let limits = &self.limits;
        check_bounds("a key in bytes", update.key.len() as u64, 1, limits.max_key_bytes as u64)?;
        let Some(text) = &update.text else { return Ok(()) };
        check_bounds("a value in bytes", text.len() as u64, 0, limits.max_value_bytes as u64)?;
        let current = self.state.get(&update.key);
        if current.is_none() && self.state.len() >= limits.max_keys {
            return Err(limit_reached("keys", limits.max_keys));
        }
        let freed = current.map_or(0, |value| update.key.len() + value.text.len());
        let total_bytes = self.total_bytes - freed + update.key.len() + text.len();
        // Updates that shrink the store are accepted even over the limit, because an older program version
        // without limits may have let the store grow too large.
        if total_bytes > limits.max_total_bytes && total_bytes > self.total_bytes {
            return Err(limit_reached("bytes of keys and values", limits.max_total_bytes));
        }
        match lease_epoch {
            None => Ok(()),
            Some(epoch) => self.leases.check_attach(epoch, &update.key, limits.max_keys_per_lease),
        }
    }

    /// Updates a key whose current version is `version`.
    fn update(
        &mut self,
        index: u64,
        update: Update,
        version: u64,
        lease_epoch: Option<u64>,
        effects: &mut Effects,
    ) -> CommandEffect {
        let Update { key, text, .. } = update;
        let previous = self.state.remove(&key);
        if let Some(previous) = &previous {
            self.total_bytes -= key.len() + previous.text.len();
            if let Some(epoch) = previous.lease_epoch {
                self.leases.detach(epoch, &key);
            }
        }
        let Some(text) = text else {
            if previous.is_some() {
                effects.changes.push(KeyChange { key, value: None });
            }
            return CommandEffect::Updated { version: 0 };
        };
        self.total_bytes += key.len() + text.len();
        if let Some(epoch) = lease_epoch {
            self.leases.attach(epoch, &key);
        }
        let version = version + 1;
        let value = Value { version, revision: index, lease_epoch, text };
        self.state.insert(key.clone(), value.clone());
        effects.changes.push(KeyChange { key, value: Some(value) });
        CommandEffect::Updated { version }
    }

    fn end_lease(&mut self, token: &FencingToken, effects: &mut Effects) {
        let Some(lease) = self.leases.end(&token.name) else { return };
        for key in lease.attached_keys {
            if let Some(value) = self.state.remove(&key) {
                self.total_bytes -= key.len() + value.text.len();
                effects.changes.push(KeyChange { key, value: None });
            }
        }
        effects.lease_event = Some(LeaseEvent::Ended { epoch: lease.epoch });
    }
}
