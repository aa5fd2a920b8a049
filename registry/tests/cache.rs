//! The node list on disk is read back as written; truncated or corrupt files are rejected.
use registry::cache::{CachedList, read, write};

#[test]
fn truncated_or_corrupt_file_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let file = folder.join("registry");
    assert_eq!(read(folder).unwrap(), None);
    let list = CachedList { at: 5, revision: 9, items: vec![("/a".into(), b"1".to_vec(), 2, 3)] };
    write(folder, &list).unwrap();
    assert_eq!(read(folder).unwrap(), Some(list.clone()));
    let bytes = std::fs::read(&file).unwrap();
    for at in 0..bytes.len() {
        std::fs::write(&file, &bytes[..at]).unwrap();
        assert!(read(folder).is_err());
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        std::fs::write(&file, damaged).unwrap();
        assert!(read(folder).is_err());
    }
    // An interrupted write leaves only the temporary file, which is ignored.
    write(folder, &list).unwrap();
    std::fs::write(folder.join("registry.new"), b"DVR").unwrap();
    assert_eq!(read(folder).unwrap(), Some(list));
}
