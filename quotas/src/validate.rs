//! Validates received messages, which bounds how much memory a message can make the receiver use.
use crate::grant::{Grant, MAX_CAPACITY, MAX_RATE};
use crate::messages::{GrantResponse, Report, ReservedShare, ResponseBody};
use thiserror::Error;

/// The largest number of entries in a list.
const MAX_LIST_LENGTH: usize = 65_536;
/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// The highest index of a reserved share.
const MAX_SHARE_INDEX: u32 = 1_000_000;
/// The highest sequence number of an exchange.
const MAX_SEQ: u64 = u64::MAX / 2;

/// A message that no [`QuotaClient`](crate::QuotaClient) or [`Allocator`](crate::Allocator) of this build
/// sends.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// A name is empty or too long.
    #[error("quota message has a name of {0} bytes: check that all routers and nodes run the same build")]
    NameLength(usize),
    /// A list is too long.
    #[error("quota message lists {0} tenants: check that all routers and nodes run the same build")]
    ListLength(usize),
    /// A number is out of range.
    #[error(
        "quota message has {field} {value}, out of range: check that all routers and nodes run the same build"
    )]
    OutOfRange {
        /// The name of the number, as worded in the error text.
        field: &'static str,
        /// The value that is out of range.
        value: u64,
    },
}

impl Report {
    /// Checks that every name, list and number of the report is in range.
    ///
    /// # Errors
    /// Returns the first name, list or number that is out of range.
    pub fn check(&self) -> Result<(), InvalidMessage> {
        check_name(&self.router)?;
        check_range("exchange sequence number", self.seq, MAX_SEQ)?;
        check_list(self.demand.len())?;
        for demand in &self.demand {
            check_name(&demand.tenant)?;
            check_range("demand rate", demand.rate, MAX_RATE)?;
        }
        let Some(held) = &self.held else { return Ok(()) };
        check_list(held.by_demand.len())?;
        check_share(held.reserved_share)?;
        for held in &held.by_demand {
            check_name(&held.tenant)?;
            check_grant(held.grant)?;
        }
        Ok(())
    }
}

impl GrantResponse {
    /// Checks that every name, list and number of the response is in range.
    ///
    /// # Errors
    /// Returns the first name, list or number that is out of range.
    pub fn check(&self) -> Result<(), InvalidMessage> {
        let ResponseBody::Renewed { reserved_share, changes, .. } = &self.body else { return Ok(()) };
        check_list(changes.len())?;
        check_share(*reserved_share)?;
        for change in changes {
            check_name(&change.tenant)?;
            change.grant.map_or(Ok(()), check_grant)?;
        }
        Ok(())
    }
}

fn check_name(name: &str) -> Result<(), InvalidMessage> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(InvalidMessage::NameLength(name.len()));
    }
    Ok(())
}

fn check_list(length: usize) -> Result<(), InvalidMessage> {
    if length > MAX_LIST_LENGTH { Err(InvalidMessage::ListLength(length)) } else { Ok(()) }
}

fn check_range(field: &'static str, value: u64, max: u64) -> Result<(), InvalidMessage> {
    if value > max { Err(InvalidMessage::OutOfRange { field, value }) } else { Ok(()) }
}

fn check_grant(grant: Grant) -> Result<(), InvalidMessage> {
    check_range("grant rate", grant.rate, MAX_RATE)?;
    check_range("grant capacity", grant.capacity, MAX_CAPACITY)
}

fn check_share(share: Option<ReservedShare>) -> Result<(), InvalidMessage> {
    share.map_or(Ok(()), |share| check_range("share index", share.index.into(), MAX_SHARE_INDEX.into()))
}
