//! Slot for the final response of a request, which is sent at most once.
use super::denial::{Denial, Verdict};
use crate::final_response::FinalResponse;
use crossbeam_channel::Sender;

/// Sends exactly one final response to the thread that waits for it.
pub struct ResponseSlot<R> {
    /// `None` after the response was sent or the slot was closed.
    sender: Option<Sender<FinalResponse<R>>>,
    /// Reason that is returned when the slot is used after it was closed.
    closed_by: Denial,
}

impl<R> ResponseSlot<R> {
    /// Creates an open slot. The channel must have capacity for one response.
    pub fn new(sender: Sender<FinalResponse<R>>) -> Self {
        ResponseSlot { sender: Some(sender), closed_by: Denial::AlreadyResponded }
    }

    /// Returns whether the response has not been sent and is still needed.
    pub fn is_open(&self) -> bool {
        self.sender.is_some()
    }

    /// Sends the response and closes the slot.
    ///
    /// # Errors
    /// Returns the reason for which the slot was closed.
    pub fn send(&mut self, response: FinalResponse<R>) -> Verdict {
        let sender = self.sender.take().ok_or(self.closed_by)?;
        // The channel has capacity for the final response. If the channel is disconnected, the client has
        // disconnected.
        _ = sender.try_send(response);
        Ok(())
    }

    /// Closes the slot without a response, because no thread waits for it any longer.
    ///
    /// # Errors
    /// Returns the reason for which the slot was closed.
    pub fn close(&mut self, reason: Denial) -> Verdict {
        self.sender.take().map(drop).ok_or(self.closed_by)?;
        self.closed_by = reason;
        Ok(())
    }
}
