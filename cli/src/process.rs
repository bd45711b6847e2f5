//! What the system reports of a process: memory and processor time.

use std::collections::BTreeMap;

/// Resident memory in kilobytes.
pub fn rss_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Processor seconds of a process.
pub fn cpu_seconds(pid: u32) -> f64 {
    stat_seconds(&format!("/proc/{pid}/stat"))
}

/// Processor seconds of this process's threads, summed by name.
pub fn thread_seconds() -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return sums };
    for task in tasks.flatten() {
        let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        // In nanoseconds: a thread that wakes now and then never fills one tick of `stat`.
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        let seconds = first.and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
        *sums.entry(name.trim().to_string()).or_default() += seconds;
    }
    sums
}

fn stat_seconds(path: &str) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    // The name may hold spaces; the fields after it do not.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    // SAFETY: a plain query.
    let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) } as f64;
    (ticks(11) + ticks(12)) / per_second
}
