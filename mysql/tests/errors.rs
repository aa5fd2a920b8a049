//! Tests the errors for final responses that do not come from a server.
use mysql_wire::errors;
use routing::FinalResponse;

#[test]
fn cancelled_statement_returns_query_interrupted_error() {
    let payload = errors::encode_final_response::<()>(FinalResponse::Cancelled).unwrap();
    assert_eq!((errors::error_number(&payload), &payload[3..9]), (Some(1317), &b"#70100"[..]));
}
