//! The state of one session.
use super::{LoggedStatement, SessionServerSettings, Shared};
use std::collections::{BTreeSet, HashMap};

/// Largest insert ID, after which the IDs start again; an OK packet holds it in one byte.
const MAX_INSERT_ID: u8 = 250;
/// Status flag: a transaction is open.
const IN_TRANSACTION: u8 = 1;
/// Status flag: each statement is committed by itself.
const AUTOCOMMIT: u8 = 2;

/// State of one session.
pub(super) struct Session {
    pub(super) number: u32,
    settings: SessionServerSettings,
    pub(super) autocommit: bool,
    pub(super) in_transaction: bool,
    /// Orders of the open transaction.
    pub(super) uncommitted: Vec<String>,
    pub(super) last_insert_id: u8,
    pub(super) warnings: Vec<String>,
    /// Value of the user variable `@member`.
    pub(super) member: Option<String>,
    pub(super) temporary_tables: BTreeSet<String>,
    /// Texts of the prepared statements by their IDs.
    pub(super) prepared: HashMap<u32, String>,
}

impl Session {
    pub(super) fn new(number: u32, settings: SessionServerSettings) -> Session {
        Session {
            number,
            settings,
            autocommit: settings.default_autocommit,
            in_transaction: false,
            uncommitted: Vec::new(),
            last_insert_id: 0,
            warnings: Vec::new(),
            member: None,
            temporary_tables: BTreeSet::new(),
            prepared: HashMap::new(),
        }
    }

    /// Returns the session to the state after its login: rolls its transaction back and releases its locks.
    pub(super) fn reset(&mut self, shared: &mut Shared) {
        shared.locks.retain(|_, holder| *holder != self.number);
        let text = format!("<reset, {} rolled back>", self.uncommitted.len());
        shared.log.push(LoggedStatement { session: self.number, text });
        *self = Session::new(self.number, self.settings);
    }

    /// Returns the payload of an OK packet.
    pub(super) fn ok(&self) -> Vec<u8> {
        let in_transaction = self.in_transaction || !self.uncommitted.is_empty();
        let status = u8::from(in_transaction) * IN_TRANSACTION + u8::from(self.autocommit) * AUTOCOMMIT;
        vec![0, 1, self.last_insert_id, status, 0, 0, 0]
    }

    pub(super) fn commit(&mut self, shared: &mut Shared) {
        shared.committed.extend(self.uncommitted.drain(..));
        self.in_transaction = false;
    }

    /// Adds an order, which is committed at once unless a transaction is open.
    pub(super) fn insert(&mut self, shared: &mut Shared, order: &str) {
        shared.next_insert_id = shared.next_insert_id % MAX_INSERT_ID + 1;
        self.last_insert_id = shared.next_insert_id;
        self.warnings = vec![format!("note of {order} truncated")];
        self.uncommitted.push(order.to_string());
        if self.autocommit && !self.in_transaction {
            self.commit(shared);
        }
    }
}
