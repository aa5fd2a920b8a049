//! How times are printed.
use super::format_time;

#[test]
fn time_is_printed_in_utc_with_milliseconds_before_1970_too() {
    assert_eq!(format_time(1_709_210_096_007_900), "2024-02-29T12:34:56.007");
    assert_eq!(format_time(-1000), "1969-12-31T23:59:59.999");
}
