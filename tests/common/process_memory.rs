//! Memory of a running router.
use super::program::Program;

/// Memory of the program's code in a release build, in MiB. A debug build has several times as much, so that the peak of
/// one counts this figure in place of its own code.
const RELEASE_CODE_MIB: f64 = 7.0;

/// Returns a field of the process's status, in MiB.
pub(crate) fn memory_mib(router: &Program, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
    value.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap() / 1024.0
}

/// Returns the peak of the process's resident memory so far, in MiB.
pub(crate) fn peak_mib(router: &Program) -> f64 {
    let peak = memory_mib(router, "VmHWM:");
    if cfg!(debug_assertions) { peak - memory_mib(router, "RssFile:") + RELEASE_CODE_MIB } else { peak }
}
