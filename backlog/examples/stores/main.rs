//! Benchmarks stores with the workload of a backlog: `cargo run --release -p onyxglade-backlog --example stores --
//! all`.
//!
//! For each store and size, a child process fills a folder and is killed with SIGKILL. A second one reopens it,
//! drains a part in order of lanes and a part in order of deadlines, and is killed as well. A third one opens what
//! is left. One table row is printed for each store and size. `all` runs every store at 10,000, 160,000 and 640,000
//! messages; `stores STORE MESSAGES` runs one combination.
mod process;
mod redb_store;

use std::io::{BufRead, BufReader};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use onyxglade_backlog::lsm_store::{Config, LsmStore};
use onyxglade_backlog::message::{ClassNumber, Lane, NewMessage, Position, UnixMillis};
use onyxglade_backlog::store::BacklogStore;
use redb_store::RedbStore;

const STORES: [&str; 3] = ["lsm", "redb", "redb-quick-repair"];
const SIZES: [u64; 3] = [10_000, 160_000, 640_000];
const MEMORY_BYTES: u64 = 32 << 20;
const DISK_BYTES: u64 = 50 << 30;
const LANES: u64 = 37_000;
/// Number of lanes whose destinations are down; they get half of all messages.
const DEEP_LANES: u64 = 555;
const PAYLOAD_BYTES: usize = 300;
const BATCH: u64 = 64;
const MAX_DRAINED: u64 = 200_000;
const HOUR_MILLIS: u64 = 3_600_000;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["all"] => {
            print_heading();
            STORES.iter().for_each(|store| SIZES.iter().for_each(|size| measure(store, *size)));
        }
        ["fill", store, messages, folder] => {
            fill(store, messages.parse().expect("a number"), Path::new(folder))
        }
        ["drain", store, folder] => drain(store, Path::new(folder)),
        ["reopen", store, folder] => reopen(store, Path::new(folder)),
        [store, messages] => {
            print_heading();
            measure(store, messages.parse().expect("a number"));
        }
        _ => panic!("all | STORE MESSAGES, with STORE one of {STORES:?}"),
    }
}

fn print_heading() {
    println!(
        "| store | messages | append CPU µs | append wall µs | worst append ms | disk B | written B | anon MB filled | \
         reopen s | anon MB reopened | fetch+remove CPU µs | wall µs | due+remove CPU µs | anon MB drained | \
         reopen s | peak MB |"
    );
    println!("|{}", " --- |".repeat(16));
}

/// Runs the three child processes on one folder and prints their measurements as a table row.
fn measure(store: &str, messages: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().to_str().expect("a UTF-8 path");
    let filled = run_and_kill(&["fill", store, &messages.to_string(), path]);
    let drained = run_and_kill(&["drain", store, path]);
    let reopened = run_and_kill(&["reopen", store, path]);
    println!("| {store} | {messages} | {filled} | {drained} | {reopened} |");
}

/// Runs this program as a child process, reads its one line of output, and kills it while it still has the folder
/// open.
fn run_and_kill(arguments: &[&str]) -> String {
    let program = std::env::current_exe().expect("the path of this executable");
    let mut child =
        Command::new(program).args(arguments).stdout(Stdio::piped()).spawn().expect("the child starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("the child's output is piped"))
        .read_line(&mut line)
        .expect("a line of output");
    child.kill().expect("the child is killed");
    child.wait().expect("the child is waited for");
    line.trim().to_owned()
}

/// Prints the measurements and waits to be killed.
fn print_and_wait(measurements: &[f64]) {
    let measurements: Vec<String> =
        measurements.iter().map(|measurement| format!("{measurement:.2}")).collect();
    println!("{}", measurements.join(" | "));
    std::thread::sleep(Duration::from_secs(3600));
}

fn open(store: &str, folder: &Path) -> Box<dyn BacklogStore> {
    let config = || Config {
        folder: folder.to_owned(),
        owner: "stores".to_owned(),
        memory_bytes: MEMORY_BYTES,
        disk_bytes: DISK_BYTES,
        sync: false,
    };
    match store {
        "lsm" => Box::new(LsmStore::open(config()).expect("the store opens")),
        "redb" => Box::new(RedbStore::open(folder, MEMORY_BYTES, false).expect("the store opens")),
        "redb-quick-repair" => {
            Box::new(RedbStore::open(folder, MEMORY_BYTES, true).expect("the store opens"))
        }
        other => panic!("{other} is none of {STORES:?}"),
    }
}

fn fill(store: &str, messages: u64, folder: &Path) {
    let mut store = open(store, folder);
    let mut random = Random(1);
    let (cpu, written, start) = (process::cpu_micros(), process::written_bytes(), Instant::now());
    let mut worst = Duration::ZERO;
    for first in (0..messages).step_by(BATCH as usize) {
        let batch: Vec<NewMessage> =
            (first..messages.min(first + BATCH)).map(|number| random.message(number)).collect();
        let began = Instant::now();
        store.append(&batch).expect("append succeeds");
        worst = worst.max(began.elapsed());
    }
    let each = |measurement: f64| measurement / messages as f64;
    print_and_wait(&[
        each((process::cpu_micros() - cpu) as f64),
        each(start.elapsed().as_micros() as f64),
        worst.as_secs_f64() * 1e3,
        each(folder_bytes(folder) as f64),
        each((process::written_bytes() - written) as f64),
        process::anonymous_kib() as f64 / 1024.0,
    ]);
}

fn drain(store: &str, folder: &Path) {
    let start = Instant::now();
    let mut store = open(store, folder);
    let mut lanes = store.lanes().expect("listing the lanes succeeds");
    lanes.sort_by_key(|lane| std::cmp::Reverse(lane.messages));
    lanes.truncate(2 * DEEP_LANES as usize);
    store.fetch(lanes[0].lane, None, 1).expect("fetch succeeds");
    let ready = start.elapsed();
    let reopened_kib = process::anonymous_kib();

    let limit = MAX_DRAINED.min(store.usage().messages / 3);
    let (cpu, start) = (process::cpu_micros(), Instant::now());
    let mut drained = 0;
    // Round-robin over the deep lanes, as if their destinations recovered at the same time.
    for lane in lanes.iter().cycle().take(1_000_000) {
        if drained >= limit {
            break;
        }
        let messages = store.fetch(lane.lane, None, BATCH as usize).expect("fetch succeeds");
        if messages.is_empty() {
            continue;
        }
        let positions: Vec<Position> = messages.iter().map(|message| message.position).collect();
        store.remove(&positions).expect("remove succeeds");
        drained += messages.len() as u64;
    }
    let fetched_cpu = (process::cpu_micros() - cpu) as f64 / drained as f64;
    let fetched_wall = start.elapsed().as_micros() as f64 / drained as f64;

    let cpu = process::cpu_micros();
    let mut expired = 0;
    while expired < limit {
        let messages = store.due(UnixMillis(u64::MAX - 1), 10 * BATCH as usize).expect("due succeeds");
        let positions: Vec<Position> = messages.iter().map(|message| message.position).collect();
        store.remove(&positions).expect("remove succeeds");
        expired += messages.len() as u64;
    }
    let due_cpu = (process::cpu_micros() - cpu) as f64 / expired as f64;
    let anonymous = process::anonymous_kib() as f64 / 1024.0;
    print_and_wait(&[
        ready.as_secs_f64(),
        reopened_kib as f64 / 1024.0,
        fetched_cpu,
        fetched_wall,
        due_cpu,
        anonymous,
    ]);
}

fn reopen(store: &str, folder: &Path) {
    let start = Instant::now();
    let store = open(store, folder);
    let lanes = store.lanes().expect("listing the lanes succeeds");
    store.fetch(lanes[0].lane, None, 1).expect("fetch succeeds");
    print_and_wait(&[start.elapsed().as_secs_f64(), process::peak_kib() as f64 / 1024.0]);
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let bytes = |entry: std::io::Result<std::fs::DirEntry>| {
        let Ok(metadata) = entry.as_ref().map_err(|_| ()).and_then(|entry| entry.metadata().map_err(|_| ()))
        else {
            return 0;
        };
        // Counts allocated blocks, since a journal's length is preallocated.
        if metadata.is_dir() {
            folder_bytes(&entry.expect("an entry").path())
        } else {
            metadata.blocks() * 512
        }
    };
    entries.map(bytes).sum()
}

/// A xorshift* generator, so that every store gets the same messages.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn message(&mut self, number: u64) -> NewMessage {
        let lanes = if self.next() >> 63 == 0 { DEEP_LANES } else { LANES };
        let lane = Lane { destination: (self.next() >> 16) % lanes, class: ClassNumber((number % 2) as u16) };
        let payload: Vec<u8> =
            (0..PAYLOAD_BYTES.div_ceil(8)).flat_map(|_| self.next().to_be_bytes()).collect();
        NewMessage {
            lane,
            arrived: UnixMillis(number),
            deadline: UnixMillis(number + (self.next() >> 16) % HOUR_MILLIS),
            id: format!("{:016x}-{number}", self.next()).into(),
            payload: Bytes::from(payload).slice(..PAYLOAD_BYTES),
        }
    }
}
