//! Splitting of byte streams into objects, for any division of the bytes into reads.
use discovery::json_objects::{MAX_NESTING, ObjectSplitter, StreamError, StreamItem};

fn split_at(text: &str, at: usize) -> Vec<StreamItem> {
    let (mut splitter, mut items) = (ObjectSplitter::new(100), Vec::new());
    let (a, b) = text.as_bytes().split_at(at);
    splitter.push(a, &mut items).unwrap();
    splitter.push(b, &mut items).unwrap();
    items
}

#[test]
fn objects_and_empty_lines_do_not_depend_on_where_the_bytes_are_divided() {
    let first = "{\r\n  \"a\": \"}\\\"{\\\\\",\n\n\n  \"b\": [ {} ]\n}";
    let text = format!("\n{first}  \n \t\r\n{{}}{{\"c\":\"\\\\\\\"]\"}}\n\n");
    let object = |t: &str| StreamItem::Object(t.as_bytes().to_vec());
    let expected = [
        StreamItem::EmptyLine,
        object(first),
        StreamItem::EmptyLine,
        object("{}"),
        object("{\"c\":\"\\\\\\\"]\"}"),
        StreamItem::EmptyLine,
    ];
    for at in 0..=text.len() {
        assert_eq!(split_at(&text, at), expected, "divided at byte {at}");
    }
}

#[test]
fn object_ends_at_its_closing_brace_and_within_the_limits() {
    assert_eq!(split_at("{\"a\":1}", 3).len(), 1);
    let long = format!("{{\"a\":\"{}\"}}", "x".repeat(100));
    for step in [1, 7, 200] {
        let (mut splitter, mut items) = (ObjectSplitter::new(100), Vec::new());
        let end = long.as_bytes().chunks(step).find_map(|c| splitter.push(c, &mut items).err());
        assert_eq!(end, Some(StreamError::ObjectTooLong(100)));
        assert!(items.is_empty() && splitter.buffered_bytes() <= 100);
    }
    let deep = "{\"a\":".to_string() + &"[".repeat(MAX_NESTING - 1);
    assert_eq!(ObjectSplitter::new(100).push(deep.as_bytes(), &mut Vec::new()), Ok(()));
    let deeper = deep + "[";
    let end = ObjectSplitter::new(100).push(deeper.as_bytes(), &mut Vec::new());
    assert_eq!(end, Err(StreamError::NestedTooDeep(MAX_NESTING)));
    assert_eq!(
        ObjectSplitter::new(9).push(b"\n nonsense", &mut Vec::new()),
        Err(StreamError::UnexpectedCharacter('n'))
    );
}
