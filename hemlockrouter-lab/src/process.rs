//! What the operating system knows about a process.

use std::fs;

/// Returns the peak memory of a process, in kB.
///
/// # Panics
///
/// Panics if the process is not running.
pub fn peak_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    peak.expect("the peak is there").parse().expect("a count")
}
