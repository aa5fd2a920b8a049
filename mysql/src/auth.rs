//! Password authentication with the plugins `mysql_native_password` and `caching_sha2_password`, which send a
//! scrambled hash instead of the password.
use sha1::{Digest, Sha1};
use sha2::Sha256;

/// Name of the plugin that is based on SHA-1.
pub const NATIVE_PASSWORD: &str = "mysql_native_password";
/// Name of the plugin that is based on SHA-256.
pub const CACHING_SHA2_PASSWORD: &str = "caching_sha2_password";
/// Length of the greeting's nonce, in bytes.
pub const NONCE_BYTES: usize = 20;

/// Returns whether this authentication plugin is supported.
pub fn is_supported(plugin: &str) -> bool {
    matches!(plugin, NATIVE_PASSWORD | CACHING_SHA2_PASSWORD)
}

/// Computes the authentication response for a password and a nonce. Returns `None` if the plugin is not
/// supported.
pub fn scramble(plugin: &str, password: &str, nonce: &[u8]) -> Option<Vec<u8>> {
    if password.is_empty() {
        return is_supported(plugin).then(Vec::new);
    }
    match plugin {
        NATIVE_PASSWORD => {
            let password_hash = Sha1::digest(password);
            let mask = Sha1::new().chain_update(nonce).chain_update(Sha1::digest(password_hash)).finalize();
            Some(xor(password_hash, mask))
        }
        CACHING_SHA2_PASSWORD => {
            let password_hash = Sha256::digest(password);
            let mask =
                Sha256::new().chain_update(Sha256::digest(password_hash)).chain_update(nonce).finalize();
            Some(xor(password_hash, mask))
        }
        _ => None,
    }
}

fn xor(a: impl AsRef<[u8]>, b: impl AsRef<[u8]>) -> Vec<u8> {
    a.as_ref().iter().zip(b.as_ref()).map(|(x, y)| x ^ y).collect()
}

/// Compares two authentication responses in a time that does not depend on the position of the first
/// difference.
pub fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

/// Generates a random nonce without zero bytes, because a zero byte terminates a string in the protocol.
///
/// # Errors
/// The operating system could not provide random bytes.
pub fn random_nonce() -> Result<[u8; NONCE_BYTES], getrandom::Error> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)?;
    nonce.iter_mut().for_each(|b| *b = *b % 127 + 1);
    Ok(nonce)
}
