//! Cache of the statements that are prepared on one server connection.
use std::collections::VecDeque;
use std::sync::Arc;

/// Statement ID that a server assigned on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerStatementId(pub(super) u32);

struct CachedStatement {
    text: Arc<[u8]>,
    id: ServerStatementId,
}

/// Prepared statements of a connection, oldest first. They are looked up by their text.
#[derive(Default)]
pub(super) struct StatementCache {
    statements: VecDeque<CachedStatement>,
}

impl StatementCache {
    pub(super) fn get(&self, text: &Arc<[u8]>) -> Option<ServerStatementId> {
        self.statements.iter().find(|statement| statement.text == *text).map(|statement| statement.id)
    }

    /// Removes and returns the oldest statement if the cache holds `max_count` statements or more.
    pub(super) fn evict_if_full(&mut self, max_count: usize) -> Option<ServerStatementId> {
        if self.statements.len() < max_count {
            return None;
        }
        self.statements.pop_front().map(|statement| statement.id)
    }

    pub(super) fn insert(&mut self, text: Arc<[u8]>, id: ServerStatementId) {
        self.statements.push_back(CachedStatement { text, id });
    }

    /// Removes the statement with this text and returns its ID.
    pub(super) fn remove(&mut self, text: &Arc<[u8]>) -> Option<ServerStatementId> {
        let index = self.statements.iter().position(|statement| statement.text == *text)?;
        self.statements.remove(index).map(|statement| statement.id)
    }
}
