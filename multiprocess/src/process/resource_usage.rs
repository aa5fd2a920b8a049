//! Threads and memory of a process, as Linux reports them.

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Its threads.
    pub threads: u64,
    /// Resident memory, the program's shared pages included, in KiB.
    pub resident_kb: u64,
    /// Resident memory that no other process shares, in KiB.
    pub private_kb: u64,
}

impl ResourceUsage {
    /// Reads `/proc/ID/status`; `None` where the process has ended or a figure is missing.
    pub(super) fn of_process(id: u32) -> Option<ResourceUsage> {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let figure = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.trim_start_matches(':').split_whitespace().next()?.parse().ok()
        };
        Some(ResourceUsage {
            threads: figure("Threads")?,
            resident_kb: figure("VmRSS")?,
            private_kb: figure("RssAnon")?,
        })
    }
}
