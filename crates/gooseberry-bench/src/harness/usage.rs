//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Bytes per kB of `/proc/PID/status`.
const KIB: u64 = 1_024;

/// CPU time of all live threads of a process; zero if it has exited.
pub(crate) fn cpu(pid: u32) -> Duration {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return Duration::ZERO;
    };
    let one = |task: fs::DirEntry| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let nanos = tasks.flatten().filter_map(one).sum();
    Duration::from_nanos(nanos)
}

/// Resident memory of a process, in bytes; 0 if it has exited.
pub(crate) fn memory(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    number.unwrap_or(0) * KIB
}
