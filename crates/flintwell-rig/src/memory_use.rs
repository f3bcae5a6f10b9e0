//! The memory that a process uses, as the kernel counts it.

const BYTES_PER_KB: u64 = 1_024; // the kernel's "kB"

/// Resident memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct MemoryUse {
    pub resident_bytes: u64,
    /// The most that was resident at any time.
    pub peak_bytes: u64,
    /// The part that maps files, such as the program itself, whose size depends on how it was built.
    pub file_bytes: u64,
}

impl MemoryUse {
    /// The memory of a running process; none if it has ended.
    pub fn of(process_id: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
            Some(kilobytes * BYTES_PER_KB)
        };
        Some(MemoryUse {
            resident_bytes: field("VmRSS:")?,
            peak_bytes: field("VmHWM:")?,
            file_bytes: field("RssFile:")?,
        })
    }
}
