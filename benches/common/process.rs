//! CPU time and memory of child processes, from `/proc`.

use std::fs;

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: f64 = 10.0;

/// Returns the user and system CPU time of a process, in milliseconds; 0 if it can't be read.
pub fn cpu_ms(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|ticks| ticks.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // utime and stime are fields 14 and 15 of the line, counted from 1. Field 2, the name, may contain spaces, so the
    // line is split after its closing bracket and index 0 is field 3.
    (ticks(11) + ticks(12)) * TICK_MS
}

/// Returns the resident set size of a process, in megabytes; 0 if it can't be read.
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
