//! Errors for final responses that no server gave.
use mysql_wire::errors;
use routing::FinalResponse;

#[test]
fn cancelled_statement_gets_the_error_of_an_interrupted_one() {
    let payload = errors::encode_final_response::<()>(FinalResponse::Cancelled).unwrap();
    assert_eq!((errors::error_number(&payload), &payload[3..9]), (Some(1317), &b"#70100"[..]));
}
