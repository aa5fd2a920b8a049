//! Format of the state file: 8 magic bytes; then format version, length of the body and CRC-32 of the body as
//! 32-bit little-endian numbers; then the body, the [`State`] encoded with postcard.
use crate::error::{SharedFolderError, UnusableReason};
use crate::limits::{FORMAT_VERSION, MAX_FILE_BYTES};
use crate::state::State;
use std::cmp::Ordering;
use std::path::Path;

/// Magic bytes at the start of each state file; they contain the package's former name.
const MAGIC: &[u8; 8] = b"dvholds\n";
/// Size of magic bytes, version, length and checksum.
const HEADER_BYTES: usize = MAGIC.len() + 3 * size_of::<u32>();

/// Encodes the state as the content of a state file. `path` is used in errors only.
pub(super) fn encode(state: &State, path: &Path) -> Result<Vec<u8>, SharedFolderError> {
    let body = postcard::to_stdvec(state)
        .map_err(|source| SharedFolderError::Encode { path: path.to_path_buf(), source })?;
    let file_bytes = HEADER_BYTES + body.len();
    if file_bytes > MAX_FILE_BYTES {
        return Err(SharedFolderError::TooLarge { path: path.to_path_buf(), bytes: file_bytes });
    }
    let mut encoded = Vec::with_capacity(file_bytes);
    encoded.extend_from_slice(MAGIC);
    // The cast is lossless: the length is below `MAX_FILE_BYTES`.
    for number in [FORMAT_VERSION, body.len() as u32, crc32fast::hash(&body)] {
        encoded.extend_from_slice(&number.to_le_bytes());
    }
    encoded.extend_from_slice(&body);
    Ok(encoded)
}

/// Decodes the state from the content of a state file. A file that ends early is `Truncated`, even if it ends
/// within the magic bytes; one with content after the body was not written by this package.
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

/// Splits a 32-bit little-endian number off the start of `bytes`.
fn split_number(bytes: &[u8]) -> Result<(u32, &[u8]), UnusableReason> {
    let (number, rest) = bytes.split_first_chunk::<4>().ok_or(UnusableReason::Truncated)?;
    Ok((u32::from_le_bytes(*number), rest))
}
