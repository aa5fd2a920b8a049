//! The slot of a request's one final response.
use super::denial::{Denial, Verdict};
use crate::final_response::FinalResponse;
use crossbeam_channel::Sender;

/// Sends one final response to the thread that waits for it.
pub struct ResponseSlot<R> {
    /// `None` once the response is sent, or once nobody waits for it any more.
    sender: Option<Sender<FinalResponse<R>>>,
    /// Why the slot is closed.
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

    /// Sends the response and closes the slot.
    ///
    /// # Errors
    /// The reason that the slot is closed for.
    pub fn send(&mut self, response: FinalResponse<R>) -> Verdict {
        let sender = self.sender.take().ok_or(self.closed_by)?;
        // The front's channel has room for its one response; a closed one means that the client has disconnected.
        _ = sender.try_send(response);
        Ok(())
    }

    /// Closes the slot without a response: nobody waits for it any more.
    ///
    /// # Errors
    /// The reason that the slot is closed for.
    pub fn close(&mut self, reason: Denial) -> Verdict {
        self.sender.take().map(drop).ok_or(self.closed_by)?;
        self.closed_by = reason;
        Ok(())
    }
}
