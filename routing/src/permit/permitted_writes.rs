//! Write operations on a server connection. Each requires a permit.
use super::attempt::{ConnectionPermit, WritePermit};
use super::server_socket::ServerSocket;
use crate::socket;
use std::io::{self, IoSlice};

impl ServerSocket {
    /// Writes a message that belongs to no request and has no effect, to check that the connection still
    /// works.
    ///
    /// # Errors
    /// Returns an error if the write failed or timed out.
    pub fn write_check(&self, _permit: ConnectionPermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)
    }

    /// Writes a part of a request or of a preparatory message, but not the last part of the request.
    ///
    /// # Errors
    /// Returns an error if the write failed or timed out. In that case the last byte of the request has not
    /// been delivered.
    pub fn write_part(&self, _permit: &WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)
    }

    /// Writes the last part of a request and records the request as sent.
    ///
    /// # Errors
    /// Returns an error if the write failed or timed out. In that case the last byte of the request has not
    /// been delivered.
    pub fn write_last(&self, permit: WritePermit, parts: &mut [IoSlice<'_>]) -> io::Result<()> {
        socket::write_all_vectored(self.stream(), parts)?;
        permit.consume();
        Ok(())
    }
}
