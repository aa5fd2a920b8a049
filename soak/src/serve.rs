//! placeholder
use crate::history::History;
use crate::plan::Plan;
use crate::router::Programs;
use crate::trouble::Trouble;
use std::io;
/// p
pub fn play(_plan: &Plan, _seed: u64, _troubles: &[Trouble], _programs: &Programs) -> io::Result<History> {
    Err(io::ErrorKind::Unsupported.into())
}
