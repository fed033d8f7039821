//! Configuration: what a reload by SIGHUP costs a real relay, by destinations listed and by messages held.
//!
//! 670 changes a day are one in 129 s. There is no mechanism that spreads one: each relay reads its own file when it is
//! told to, so that only the reload itself can be measured.
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, body::Bytes};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::fit::Law;
use super::site::{Probe, Site, histogram, median_longest, run};
use super::{CapacityError, Figure, Measured, Options, Point, Series, cpu_time};
use crate::experiment::RelayTable;

const SUBJECT: &str = "configuration";
/// Time after a reload, in which the probe goes on.
const RELOAD_WINDOW: Duration = Duration::from_millis(120);
/// A log line that a reload ends with.
const RELOADED: &str = "SIGHUP: configuration read anew";
/// How long a reload's log line is waited for.
const RELOAD_PATIENCE: Duration = Duration::from_secs(10);
/// Messages held live so long, in milliseconds, and by the class's settings in nanoseconds.
const LIFE_MS: u64 = 3_600_000;
const LIFE_NS: u64 = LIFE_MS * 1_000_000;
/// Connections that messages are handed in on, and bytes of one.
const CONNECTIONS: usize = 64;
const BODY: usize = 200;
/// Destinations listed where held messages are varied.
const FEW_DESTINATIONS: usize = 50;
/// The destination that never answers.
const SILENT: usize = 0;
/// Share of messages that must have been taken on for a reading to count.
const LEAST_TAKEN: f64 = 0.99;

struct Sizes {
    destinations: &'static [usize],
    held: &'static [usize],
    /// Reloads at each size: as many for the pause, and as many for processor time.
    reloads: usize,
}

const QUICK: Sizes = Sizes { destinations: &[145, 578, 2_312], held: &[625, 2_500, 10_000], reloads: 2 };
const FULL: Sizes =
    Sizes { destinations: &[2_312, 9_250, 37_000], held: &[10_000, 40_000, 160_000], reloads: 21 };

/// Measures all of it.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    measure_at(if options.quick { &QUICK } else { &FULL }, options.seed)
}

fn measure_at(sizes: &Sizes, seed: u64) -> Result<Measured, CapacityError> {
    let mut measured = Measured::default();
    let mut by_destinations = Vec::new();
    for size in sizes.destinations {
        let reading = run(SUBJECT, at_destinations(*size, sizes.reloads, seed))?;
        by_destinations.push((*size as f64, reading));
    }
    let mut by_held = Vec::new();
    for size in sizes.held {
        let reading = run(SUBJECT, at_held(*size, sizes.reloads, seed))?;
        by_held.push((*size as f64, reading));
    }
    let worst = by_destinations.iter().chain(&by_held).map(|(_, r)| r.worst_pause_ms).fold(0.0, f64::max);
    add(&mut measured, &DESTINATIONS, &by_destinations);
    add(&mut measured, &HELD, &by_held);
    let name = "configuration.worst-pause";
    measured.figures.push(Figure { name, unit: "ms, longest answer of all reloads", value: worst });
    Ok(measured)
}

/// Names of what is measured over one variable.
struct Names {
    varied: &'static str,
    cpu: &'static str,
    pause: &'static str,
    no_reload: &'static str,
}

const DESTINATIONS: Names = Names {
    varied: "destinations listed",
    cpu: "configuration.reload-cpu-by-destinations",
    pause: "configuration.reload-pause-by-destinations",
    no_reload: "configuration.no-reload-pause-by-destinations",
};
const HELD: Names = Names {
    varied: "messages held, 50 destinations listed",
    cpu: "configuration.reload-cpu-by-held",
    pause: "configuration.reload-pause-by-held",
    no_reload: "configuration.no-reload-pause-by-held",
};

fn add(measured: &mut Measured, names: &Names, readings: &[(f64, Reading)]) {
    let mut series = |name, unit, value: fn(&Reading) -> f64| {
        let points = readings.iter().map(|(size, reading)| Point { size: *size, value: value(reading) });
        let points = points.collect();
        measured.series.push(Series { name, varied: names.varied, unit, law: Law::Line, points });
    };
    series(names.cpu, "ms of the deciding thread", |r| r.cpu_ms);
    series(names.pause, "ms, longest answer, median over reloads", |r| r.pause_ms);
    series(names.no_reload, "ms, longest answer, median over as many windows", |r| r.no_reload_pause_ms);
}

/// What reloads cost at one size.
struct Reading {
    cpu_ms: f64,
    pause_ms: f64,
    no_reload_pause_ms: f64,
    worst_pause_ms: f64,
}

async fn at_destinations(size: usize, reloads: usize, seed: u64) -> Result<Reading, CapacityError> {
    let own = "idle = { list_limit_mb = 64 }".parse().expect("a sound table");
    let site = Site::start(SUBJECT, size, RelayTable { own, ..RelayTable::default() }, seed).await?;
    reload_often(&site, reloads).await
}

async fn at_held(size: usize, reloads: usize, seed: u64) -> Result<Reading, CapacityError> {
    let held = size as u32 * 4;
    let table = RelayTable { held, disk_mb: 1024.0, ..RelayTable::default() };
    let site = Site::start(SUBJECT, FEW_DESTINATIONS, table, seed).await?;
    site.hang(SILENT);
    // The laboratory's classes live for seconds; what is held here lives for an hour.
    change(&site, |settings| {
        settings["categories"][0]["give_up"] = LIFE_NS.into();
    })?;
    reload(&site).await?;
    hand_in(&site, size).await?;
    // What was taken on last has its first round, and its first attempts are out.
    sleep(Duration::from_millis(500)).await;
    reload_often(&site, reloads).await
}

/// What reloads of a changed configuration cost: processor time without a probe, then pauses with one.
async fn reload_often(site: &Site, reloads: usize) -> Result<Reading, CapacityError> {
    let before = reloaded(site)?;
    let cpu_ms = processor_time(site, reloads).await?;
    let pauses = pauses(site, reloads).await?;
    let taken_up = reloaded(site)? - before;
    if taken_up != 2 * reloads {
        return Err(site.fault(format!("{taken_up} of {} reloads were taken up", 2 * reloads)));
    }
    Ok(Reading { cpu_ms, ..pauses })
}

/// Processor time of a reload in milliseconds, less what the relay uses in the same time without one.
async fn processor_time(site: &Site, reloads: usize) -> Result<f64, CapacityError> {
    let (begin, begun) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    for _ in 0..reloads {
        sleep(RELOAD_WINDOW).await;
    }
    let (between, changed) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    for number in 0..reloads {
        reload_another(site, number).await?;
        sleep(RELOAD_WINDOW).await;
    }
    let (end, ended) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    let idle_share = between.saturating_sub(begin).as_secs_f64() / (changed - begun).as_secs_f64();
    let busy = end.saturating_sub(between).as_secs_f64();
    Ok((busy - idle_share * (ended - changed).as_secs_f64()) * 1e3 / reloads as f64)
}

/// The longest answers during reloads and without; the processor time is not told.
async fn pauses(site: &Site, reloads: usize) -> Result<Reading, CapacityError> {
    let probe = Probe::start(site.relay.address);
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for number in 0..reloads {
        without.push(window().await);
        let begin = Instant::now();
        reload_another(site, reloads + number).await?;
        with.push((begin, window().await.1));
    }
    let samples = probe.finish().map_err(|reason| site.fault(reason))?;
    let longest = with.iter().map(|(from, to)| histogram(&samples, *from, *to).max() as f64 / 1e3);
    Ok(Reading {
        cpu_ms: 0.0,
        pause_ms: median_longest(&samples, &with),
        no_reload_pause_ms: median_longest(&samples, &without),
        worst_pause_ms: longest.fold(0.0, f64::max),
    })
}

async fn window() -> (Instant, Instant) {
    let begin = Instant::now();
    sleep(RELOAD_WINDOW).await;
    (begin, Instant::now())
}

/// Has the relay take up a configuration with another value in it each time.
async fn reload_another(site: &Site, number: usize) -> Result<(), CapacityError> {
    change(site, |settings| {
        settings["policy_limits"]["max_retry_after"] = (3_000_000_000 + number as u64).into();
    })?;
    reload(site).await
}

fn file(site: &Site, name: &str) -> PathBuf {
    site.folder.path().join("relay0").join(name)
}

fn read(path: PathBuf) -> Result<String, CapacityError> {
    std::fs::read_to_string(&path).map_err(|source| CapacityError::File { path, source })
}

/// Changes the settings in the relay's configuration; what it does not read whole it does not take up.
fn change(site: &Site, settings: impl FnOnce(&mut serde_json::Value)) -> Result<(), CapacityError> {
    let path = file(site, "config.json");
    let text = read(path.clone())?;
    let fault = |e: serde_json::Error| site.fault(format!("the relay's configuration: {e}"));
    let mut configuration: serde_json::Value = serde_json::from_str(&text).map_err(fault)?;
    settings(&mut configuration["settings"]);
    std::fs::write(&path, configuration.to_string()).map_err(|source| CapacityError::File { path, source })
}

fn signal(site: &Site) -> Result<(), CapacityError> {
    let id = site.relay.id.to_string();
    let sent = Command::new("kill").args(["-HUP", &id]).stdout(Stdio::null()).status();
    match sent {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(site.fault(format!("SIGHUP: kill ended with {status}"))),
        Err(e) => Err(site.fault(format!("SIGHUP: {e}"))),
    }
}

/// How many configurations the relay has taken up since its start.
fn reloaded(site: &Site) -> Result<usize, CapacityError> {
    Ok(read(file(site, "log"))?.matches(RELOADED).count())
}

/// Has the relay read its configuration, and waits until it has.
async fn reload(site: &Site) -> Result<(), CapacityError> {
    let before = reloaded(site)?;
    signal(site)?;
    let end = Instant::now() + RELOAD_PATIENCE;
    while reloaded(site)? == before {
        if Instant::now() > end {
            return Err(site.fault("the relay does not take up its configuration".into()));
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Hands in messages for the destination that never answers, as fast as they are taken on.
async fn hand_in(site: &Site, messages: usize) -> Result<(), CapacityError> {
    let (next, taken) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let body = Bytes::from(vec![b'x'; BODY]);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let client = client(site.relay.address, body.clone(), messages, next.clone(), taken.clone());
            spawn_local(client)
        })
        .collect();
    for client in clients {
        let ended = client.await.map_err(|e| site.fault(format!("a client: {e}")))?;
        ended.map_err(|e| site.fault(format!("a client: {e}")))?;
    }
    if (taken.get() as f64) < messages as f64 * LEAST_TAKEN {
        return Err(site.fault(format!("{} of {messages} messages were taken on", taken.get())));
    }
    Ok(())
}

/// One client's connection: hands in the next message once the one before was answered.
async fn client(
    relay: std::net::SocketAddr,
    body: Bytes,
    messages: usize,
    next: Rc<Cell<usize>>,
    taken: Rc<Cell<usize>>,
) -> Result<(), String> {
    let stream = TcpStream::connect(relay).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    spawn_local(async move { drop(connection.await) });
    while next.get() < messages {
        let number = next.replace(next.get() + 1);
        let request = Request::post("/notice")
            .header("host", "relay")
            .header("x-request-id", format!("m{}", number + 1))
            .header("x-priority-class", "notice")
            .header("x-timeout-ms", LIFE_MS.to_string())
            .header("x-envelope", format!("dest={SILENT}"))
            .body(Full::new(body.clone()))
            .map_err(|e| e.to_string())?;
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let accepted = answer.status() == hyper::StatusCode::ACCEPTED;
        answer.into_body().collect().await.map_err(|e| e.to_string())?;
        taken.set(taken.get() + usize::from(accepted));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
