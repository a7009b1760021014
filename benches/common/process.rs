//! Processor time and memory of the benchmark's own child processes.

use std::fs;

/// Length of a tick of `/proc/PID/stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// Returns the processor time that a process has used, in milliseconds.
pub fn cpu_ms(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|ticks| ticks.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time are fields 14 and 15 of the line, counted from 1; the name ends with field 2.
    (ticks(11) + ticks(12)) * TICK_MS
}

/// Returns the resident memory of a process, in megabytes.
pub fn memory_mb(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0 kB");
    line.split_whitespace()
        .next()
        .and_then(|kb| kb.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1e3
}
