//! Resource usage of a process that a scenario started, read from `/proc`.
use std::fs;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often open descriptors are counted, and memory is measured.
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
        Some(status_bytes(self.process, "VmHWM:")? as f64 / 1e6)
    }
}

/// Samples the processes of a relay, which share its memory limit.
#[derive(Default)]
pub struct RelayUsage {
    processes: Arc<Mutex<Vec<u32>>>,
    most_resident: Arc<AtomicUsize>,
}

impl RelayUsage {
    /// Adds a process. The first one starts the sampling, which ends with the last.
    pub fn add(&self, process: u32) {
        let mut processes = self.processes.lock().expect("no sample panics");
        processes.push(process);
        if processes.len() == 1 {
            let (processes, most) = (self.processes.clone(), self.most_resident.clone());
            thread::spawn(move || {
                while let Some(resident) = resident_together(&processes) {
                    most.fetch_max(resident, Ordering::Relaxed);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            });
        }
    }

    /// The most that all processes had resident in a sample, in MB.
    pub fn most_resident_mb(&self) -> f64 {
        self.most_resident.load(Ordering::Relaxed) as f64 / 1e6
    }
}

/// Resident memory of all processes that still run, in bytes; none if none runs. Removes the others.
fn resident_together(processes: &Mutex<Vec<u32>>) -> Option<usize> {
    let mut processes = processes.lock().expect("no sample panics");
    processes.retain(|process| status_bytes(*process, "VmRSS:").is_some());
    let resident = processes.iter().filter_map(|process| status_bytes(*process, "VmRSS:"));
    (!processes.is_empty()).then(|| resident.sum())
}

/// A field of a process's status that counts kilobytes, in bytes.
fn status_bytes(process: u32, field: &str) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
