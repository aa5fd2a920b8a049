//! The module that decides must stay small enough to be read in an hour.
#[test]
fn the_module_keeps_its_line_limits() {
    let text = include_str!("../src/decide.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines that are not blank");
    for (i, l) in text.lines().enumerate() {
        assert!(l.chars().count() <= 110, "line {} is longer than 110 characters", i + 1);
    }
    assert!(text.lines().take(5).any(|l| l.contains("src/interface.rs")));
}
