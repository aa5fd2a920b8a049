//! Tests that session keys do not change, since other instances store them on disk.
use decision::GroupId;
use sessions::SessionKey;
use xxhash_rust::xxh3::xxh3_64;

#[test]
fn session_keys_are_the_published_hash() {
    // The XXH3 hash of empty input is taken from its specification; the session keys must match those that
    // other instances have stored.
    assert_eq!(xxh3_64(b""), 0x2d06_8005_38d3_94c2);
    assert_eq!(SessionKey::named(GroupId(0), ""), SessionKey(xxh3_64(&[0; 5])));
    assert_eq!(SessionKey::named(GroupId(258), "till-4"), SessionKey(xxh3_64(b"\x02\x01\0\0\0till-4")));
    assert_ne!(SessionKey::named(GroupId(0), "till-4"), SessionKey::named(GroupId(1), "till-4"));
    assert_ne!(SessionKey::named(GroupId(0), "\x04\0\0\0\0\0\0\0"), SessionKey::connection(GroupId(0), 4));
}
