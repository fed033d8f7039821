//! Resource usage of a process that a scenario started, read from `/proc`.
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// How often open descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Samples a process until it ends.
pub struct Usage {
    process: u32,
    most_descriptors: Arc<AtomicUsize>,
}

impl Usage {
    /// Starts sampling a process.
    pub fn sample(process: u32) -> Self {
        let most_descriptors = Arc::new(AtomicUsize::new(0));
        let most = most_descriptors.clone();
        thread::spawn(move || {
            while let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) {
                most.fetch_max(descriptors.count(), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Usage { process, most_descriptors }
    }

    /// The most descriptors that a sample found open.
    pub fn most_descriptors(&self) -> usize {
        self.most_descriptors.load(Ordering::Relaxed)
    }

    /// Peak resident memory, in MB.
    pub fn most_resident_mb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes * 1024.0 / 1e6)
    }
}
