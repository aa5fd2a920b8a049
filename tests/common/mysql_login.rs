//! The login of a client of the `MySQL` front that works on the bytes of the protocol.
use test_servers::wire::{
    CHARACTER_SET, CLIENT_PLUGIN_AUTH, CLIENT_PROTOCOL_41, CLIENT_SECURE_CONNECTION, packets,
};

/// Length of the unused bytes after the character set.
const FILLER_BYTES: usize = 23;

/// Returns the packet with the login of a user without a password.
pub(crate) fn login(user: &str, collation: u8) -> Vec<u8> {
    let capabilities = CLIENT_PROTOCOL_41 | CLIENT_SECURE_CONNECTION | CLIENT_PLUGIN_AUTH;
    let max_payload = 1_u32 << 24;
    let payload = [
        &capabilities.to_le_bytes()[..],
        &max_payload.to_le_bytes(),
        &[collation],
        &[0; FILLER_BYTES],
        user.as_bytes(),
        b"\0\0mysql_native_password\0",
    ]
    .concat();
    packets(1, &[&payload])
}

/// Returns the login of the user `till` with the character set of the router.
pub(crate) fn till_login() -> Vec<u8> {
    login("till", CHARACTER_SET)
}
