//! Resource usage of this process so far, from `/proc`.
use std::fs;

/// CPU time of all threads in microseconds, from clock ticks of 10 ms.
pub fn cpu_micros() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("/proc/self/stat");
    let after_name = stat.rsplit_once(')').expect("a name").1;
    let ticks = |index: usize| after_name.split_whitespace().nth(index).and_then(|ticks| ticks.parse().ok());
    let user: u64 = ticks(11).expect("user ticks");
    let system: u64 = ticks(12).expect("system ticks");
    (user + system) * 10_000
}

/// Bytes passed to the operating system by write calls.
pub fn written_bytes() -> u64 {
    field("/proc/self/io", "wchar:")
}

/// Anonymous resident memory in KiB. It does not include file pages in the page cache.
pub fn anonymous_kib() -> u64 {
    field("/proc/self/status", "RssAnon:")
}

/// Peak resident memory in KiB.
pub fn peak_kib() -> u64 {
    field("/proc/self/status", "VmHWM:")
}

fn field(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).expect("a file of /proc");
    let line = text.lines().find_map(|line| line.strip_prefix(name)).expect("the field");
    line.split_whitespace().next().and_then(|number| number.parse().ok()).expect("a number")
}
