//! The slot of a request's one final response.
use super::denial::{Denial, Verdict};
use crate::final_response::FinalResponse;
use crossbeam_channel::Sender;

/// Gives one final response to whoever waits for it.
pub struct ResponseSlot<R> {
    /// Taken by the response, or by the end of the client's interest.
    sender: Option<Sender<FinalResponse<R>>>,
    /// Why there is none any more.
    closed_by: Denial,
}

impl<R> ResponseSlot<R> {
    /// A slot that is open; the channel must have room for one response.
    pub fn new(sender: Sender<FinalResponse<R>>) -> Self {
        ResponseSlot { sender: Some(sender), closed_by: Denial::AlreadyAnswered }
    }

    /// Whether the response is still owed.
    pub fn is_open(&self) -> bool {
        self.sender.is_some()
    }

    /// Gives the response.
    ///
    /// # Errors
    /// One was given before, or nobody waits for it any more.
    pub fn give(&mut self, response: FinalResponse<R>) -> Verdict {
        let sender = self.sender.take().ok_or(self.closed_by)?;
        // The front's channel has room for its one response; a closed one means that the client is gone.
        _ = sender.try_send(response);
        Ok(())
    }

    /// Nobody waits for the response any more.
    ///
    /// # Errors
    /// It was given before, or nobody waited for it.
    pub fn close(&mut self, reason: Denial) -> Verdict {
        self.sender.take().map(drop).ok_or(self.closed_by)?;
        self.closed_by = reason;
        Ok(())
    }
}
