//! Memory and processor time of a process, read from `/proc`.

use std::collections::BTreeMap;

/// Returns the resident memory of a process, in kilobytes.
pub fn rss_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the processor time of a process, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    stat_seconds(&format!("/proc/{pid}/stat"))
}

/// Returns the processor time of this process's threads, in seconds, summed by the thread's name.
pub fn thread_seconds() -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return sums };
    for task in tasks.flatten() {
        let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        // `schedstat` counts nanoseconds. The ticks of `stat` are too coarse for a thread that runs
        // briefly now and then.
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        let seconds = first.and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
        *sums.entry(name.trim().to_string()).or_default() += seconds;
    }
    sums
}

/// Returns the user and system time of a `stat` file of `/proc`, in seconds.
fn stat_seconds(path: &str) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    // The process name, in parentheses, may contain spaces; the fields after it do not.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    // SAFETY: `sysconf` only reads a value.
    let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) } as f64;
    (ticks(11) + ticks(12)) / per_second
}
