//! The memory of a process as the kernel counts it.

const BYTES_PER_KB: u64 = 1_024; // the kernel's "kB"

/// Resident memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResidentMemory {
    pub current_bytes: u64,
    /// The most that was resident at any time.
    pub peak_bytes: u64,
}

impl ResidentMemory {
    /// That of this process; none where the platform does not tell it.
    pub fn read() -> Option<Self> {
        Self::parse(&std::fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        let field = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes: u64 = value.split_whitespace().next()?.parse().ok()?;
            Some(kilobytes * BYTES_PER_KB)
        };
        Some(ResidentMemory { current_bytes: field("VmRSS:")?, peak_bytes: field("VmHWM:")? })
    }
}

/// The bytes that are resident now, of this process (`self`) or of another one by its id; none if it has ended. Costs far less
/// than reading the peak as well.
pub fn resident_bytes(process: &str) -> Option<u64> {
    let sizes = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = sizes.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

#[cfg(test)]
mod tests;
