//! The words for ends that are no server's answer.
use mysql_wire::errors;
use routing::FinalResponse;

#[test]
fn a_cancelled_statement_ends_as_an_interrupted_one() {
    let told = errors::worded::<()>(FinalResponse::Cancelled).unwrap();
    assert_eq!((errors::code(&told), &told[3..9]), (Some(1317), &b"#70100"[..]));
}
