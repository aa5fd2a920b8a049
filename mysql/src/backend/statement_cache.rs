//! The statements that are prepared on one server connection.
use std::collections::VecDeque;
use std::sync::Arc;

/// A statement's id on its server connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerStatementId(pub(super) u32);

struct CachedStatement {
    text: Arc<[u8]>,
    id: ServerStatementId,
}

/// The prepared statements of a connection by their text, the oldest first.
#[derive(Default)]
pub(super) struct StatementCache {
    statements: VecDeque<CachedStatement>,
}

impl StatementCache {
    pub(super) fn id_of(&self, text: &Arc<[u8]>) -> Option<ServerStatementId> {
        self.statements.iter().find(|statement| statement.text == *text).map(|statement| statement.id)
    }

    /// Removes the oldest statement if there are `max_count` or more.
    pub(super) fn evict_if_full(&mut self, max_count: usize) -> Option<ServerStatementId> {
        if self.statements.len() < max_count {
            return None;
        }
        self.statements.pop_front().map(|statement| statement.id)
    }

    /// Adds a statement.
    pub(super) fn insert(&mut self, text: Arc<[u8]>, id: ServerStatementId) {
        self.statements.push_back(CachedStatement { text, id });
    }

    /// Removes a statement.
    pub(super) fn remove(&mut self, text: &Arc<[u8]>) -> Option<ServerStatementId> {
        let index = self.statements.iter().position(|statement| statement.text == *text)?;
        self.statements.remove(index).map(|statement| statement.id)
    }
}
