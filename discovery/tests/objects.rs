//! Streams cut into objects, however their bytes come.
use discovery::objects::{DEEPEST, Objects, Piece, Unreadable};

fn cut(text: &str, at: usize) -> Vec<Piece> {
    let (mut objects, mut pieces) = (Objects::new(100), Vec::new());
    let (a, b) = text.as_bytes().split_at(at);
    objects.take(a, &mut pieces).unwrap();
    objects.take(b, &mut pieces).unwrap();
    pieces
}

#[test]
fn objects_and_empty_lines_are_told_apart_wherever_the_stream_is_split() {
    let first = "{\r\n  \"a\": \"}\\\"{\\\\\",\n\n\n  \"b\": [ {} ]\n}";
    let text = format!("\n{first}  \n \t\r\n{{}}{{\"c\":\"\\\\\\\"]\"}}\n\n");
    let object = |t: &str| Piece::Object(t.as_bytes().to_vec());
    let expected = [
        Piece::Blank,
        object(first),
        Piece::Blank,
        object("{}"),
        object("{\"c\":\"\\\\\\\"]\"}"),
        Piece::Blank,
    ];
    for at in 0..=text.len() {
        assert_eq!(cut(&text, at), expected, "split at {at}");
    }
}

#[test]
fn an_object_ends_at_its_brace_and_never_grows_beyond_its_bound() {
    assert_eq!(cut("{\"a\":1}", 3).len(), 1);
    let long = format!("{{\"a\":\"{}\"}}", "x".repeat(100));
    for step in [1, 7, 200] {
        let (mut objects, mut pieces) = (Objects::new(100), Vec::new());
        let end = long.as_bytes().chunks(step).find_map(|c| objects.take(c, &mut pieces).err());
        assert_eq!(end, Some(Unreadable::Long(100)));
        assert!(pieces.is_empty() && objects.held() <= 100);
    }
    let deep = "{\"a\":".to_string() + &"[".repeat(DEEPEST - 1);
    assert_eq!(Objects::new(100).take(deep.as_bytes(), &mut Vec::new()), Ok(()));
    let deeper = deep + "[";
    let end = Objects::new(100).take(deeper.as_bytes(), &mut Vec::new());
    assert_eq!(end, Err(Unreadable::Deep(DEEPEST)));
    assert_eq!(Objects::new(9).take(b"\n nonsense", &mut Vec::new()), Err(Unreadable::Other('n')));
}
