//! Proof of a password without sending it: the authentication plugins `mysql_native_password` and
//! `caching_sha2_password`.
use sha1::{Digest, Sha1};
use sha2::Sha256;

/// The older plugin, by SHA-1.
pub const NATIVE_PASSWORD: &str = "mysql_native_password";
/// The newer plugin, by SHA-256.
pub const CACHING_SHA2_PASSWORD: &str = "caching_sha2_password";
/// Bytes of a greeting's nonce.
pub const NONCE_BYTES: usize = 20;

/// Whether this plugin is supported.
pub fn is_supported(plugin: &str) -> bool {
    matches!(plugin, NATIVE_PASSWORD | CACHING_SHA2_PASSWORD)
}

/// The proof of a password for a nonce; `None` for a plugin that is not supported.
pub fn scramble(plugin: &str, password: &str, nonce: &[u8]) -> Option<Vec<u8>> {
    if password.is_empty() {
        return is_supported(plugin).then(Vec::new);
    }
    match plugin {
        NATIVE_PASSWORD => {
            let once = Sha1::digest(password);
            let salted = Sha1::new().chain_update(nonce).chain_update(Sha1::digest(once)).finalize();
            Some(xor(once, salted))
        }
        CACHING_SHA2_PASSWORD => {
            let once = Sha256::digest(password);
            let salted = Sha256::new().chain_update(Sha256::digest(once)).chain_update(nonce).finalize();
            Some(xor(once, salted))
        }
        _ => None,
    }
}

fn xor(a: impl AsRef<[u8]>, b: impl AsRef<[u8]>) -> Vec<u8> {
    a.as_ref().iter().zip(b.as_ref()).map(|(x, y)| x ^ y).collect()
}

/// Whether two proofs are the same, in a time that does not depend on where they differ.
pub fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

/// A random nonce without zeros, for they end strings in the protocol.
///
/// # Errors
/// The system has no random numbers.
pub fn random_nonce() -> Result<[u8; NONCE_BYTES], getrandom::Error> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)?;
    nonce.iter_mut().for_each(|b| *b = *b % 127 + 1);
    Ok(nonce)
}
