//! The writes to a server, each of which takes a permit.
use super::attempt::{ConnectionPermit, WritePermit};
use super::server_socket::ServerSocket;
use crate::socket;
use std::io::{self, IoSlice};

impl ServerSocket {
    /// Writes a message that is no part of a request and has no effect, to check that the connection still works.
    ///
    /// # Errors
    /// The write failed or timed out.
    pub fn write_check(&self, _permit: ConnectionPermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)
    }

    /// Writes a part of a request, or of a message that prepares it, which is not the request's last part.
    ///
    /// # Errors
    /// The write failed or timed out: the request's last byte has not been delivered.
    pub fn write_part(&self, _permit: &WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)
    }

    /// Writes the last part of a request, which counts as sent from then on.
    ///
    /// # Errors
    /// The write failed or timed out: the request's last byte has not been delivered.
    pub fn write_last(&self, permit: WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)?;
        permit.consume();
        Ok(())
    }
}
