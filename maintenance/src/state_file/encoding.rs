//! The bytes of the state file: 8 bytes of magic; then version, length of the body and checksum (CRC-32) of the body as
//! 32-bit little-endian numbers; then the body, the [`State`] in postcard's encoding.
use crate::error::{SharedFolderError, UnusableReason};
use crate::limits::{FORMAT_VERSION, MAX_FILE_BYTES};
use crate::state::State;
use std::cmp::Ordering;
use std::path::Path;

/// Marks a state file. The word is the package's former name, which every stored file begins with.
const MAGIC: &[u8; 8] = b"dvholds\n";
/// Magic, version, length and checksum.
const HEADER_BYTES: usize = MAGIC.len() + 3 * size_of::<u32>();

/// The bytes of the file at `path` for this state.
pub(super) fn encode(state: &State, path: &Path) -> Result<Vec<u8>, SharedFolderError> {
    let body = postcard::to_stdvec(state)
        .map_err(|source| SharedFolderError::Encode { path: path.to_path_buf(), source })?;
    let file_bytes = HEADER_BYTES + body.len();
    if file_bytes > MAX_FILE_BYTES {
        return Err(SharedFolderError::TooLarge { path: path.to_path_buf(), bytes: file_bytes });
    }
    let mut encoded = Vec::with_capacity(file_bytes);
    encoded.extend_from_slice(MAGIC);
    // The length fits: it is below `MAX_FILE_BYTES`.
    for number in [FORMAT_VERSION, body.len() as u32, crc32fast::hash(&body)] {
        encoded.extend_from_slice(&number.to_le_bytes());
    }
    encoded.extend_from_slice(&body);
    Ok(encoded)
}

/// The state in the bytes of a file. A file that ends early is `Truncated`, also one that ends within the magic; one
/// that goes on behind its body was not written by this package.
pub(super) fn decode(bytes: &[u8]) -> Result<State, UnusableReason> {
    let (magic, rest) = bytes.split_at(bytes.len().min(MAGIC.len()));
    if !MAGIC.starts_with(magic) {
        return Err(UnusableReason::NotAStateFile);
    }
    let (version, rest) = split_number(rest)?;
    if version != FORMAT_VERSION {
        return Err(UnusableReason::UnsupportedVersion(version));
    }
    let (body_bytes, rest) = split_number(rest)?;
    let (checksum, body) = split_number(rest)?;
    match body.len().cmp(&(body_bytes as usize)) {
        Ordering::Less => return Err(UnusableReason::Truncated),
        Ordering::Greater => return Err(UnusableReason::NotAStateFile),
        Ordering::Equal => {}
    }
    if crc32fast::hash(body) != checksum {
        return Err(UnusableReason::ChecksumMismatch);
    }
    match postcard::take_from_bytes(body) {
        Ok((state, [])) => Ok(state),
        _ => Err(UnusableReason::NotAStateFile),
    }
}

/// Splits a 32-bit little-endian number off the front.
fn split_number(bytes: &[u8]) -> Result<(u32, &[u8]), UnusableReason> {
    let (number, rest) = bytes.split_first_chunk::<4>().ok_or(UnusableReason::Truncated)?;
    Ok((u32::from_le_bytes(*number), rest))
}
