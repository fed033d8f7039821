//! Cost of a configuration reload by SIGHUP in a real relay, by number of listed destinations and of queued messages.
//!
//! 670 changes a day are one in 129 s. Changes are not distributed between relays: each relay reads its own file on
//! SIGHUP, so only the reload itself can be measured.
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
/// Time after a reload for which the probe continues.
const RELOAD_WINDOW: Duration = Duration::from_millis(120);
/// Log message at the end of a reload.
const RELOADED: &str = "SIGHUP: configuration read anew";
/// Time within which a reload's log message must appear.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Lifetime of queued messages, in milliseconds as submitted and in nanoseconds for the class's settings.
const LIFETIME_MS: u64 = 3_600_000;
const LIFETIME_NS: u64 = LIFETIME_MS * 1_000_000;
/// Number of connections that messages are submitted on, and the size of a message body in bytes.
const CONNECTIONS: usize = 64;
const BODY_BYTES: usize = 200;
/// Number of listed destinations where the number of queued messages is varied.
const FEW_DESTINATIONS: usize = 50;
/// Index of the destination that never answers.
const SILENT: usize = 0;
/// Share of the messages that must be accepted for a reading to be valid.
const MIN_ACCEPTED_SHARE: f64 = 0.99;

struct Sizes {
    destinations: &'static [usize],
    queued: &'static [usize],
    /// Number of reloads at each size to measure the pause, and again to measure processor time.
    reloads: usize,
}

const QUICK: Sizes = Sizes { destinations: &[145, 578, 2_312], queued: &[625, 2_500, 10_000], reloads: 2 };
const FULL: Sizes =
    Sizes { destinations: &[2_312, 9_250, 37_000], queued: &[10_000, 40_000, 160_000], reloads: 21 };

/// Measures all series and figures of this subject.
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
    let mut by_queued = Vec::new();
    for size in sizes.queued {
        let reading = run(SUBJECT, at_queued(*size, sizes.reloads, seed))?;
        by_queued.push((*size as f64, reading));
    }
    let worst = by_destinations.iter().chain(&by_queued).map(|(_, r)| r.worst_pause_ms).fold(0.0, f64::max);
    add(&mut measured, &DESTINATIONS, &by_destinations);
    add(&mut measured, &QUEUED, &by_queued);
    let name = "configuration.worst-pause";
    measured.figures.push(Figure { name, unit: "ms, longest answer of all reloads", value: worst });
    Ok(measured)
}

/// Names of the series over one independent variable.
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
const QUEUED: Names = Names {
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

/// Readings of reloads at one size.
struct Reading {
    cpu_ms: f64,
    pause_ms: f64,
    no_reload_pause_ms: f64,
    worst_pause_ms: f64,
}

async fn at_destinations(size: usize, reloads: usize, seed: u64) -> Result<Reading, CapacityError> {
    let own = "idle = { list_limit_mb = 64 }".parse().expect("a valid TOML table");
    let site = Site::start(SUBJECT, size, RelayTable { own, ..RelayTable::default() }, seed).await?;
    measure_reloads(&site, reloads).await
}

async fn at_queued(size: usize, reloads: usize, seed: u64) -> Result<Reading, CapacityError> {
    let queue_capacity = size as u32 * 4;
    let table = RelayTable { held: queue_capacity, disk_mb: 1024.0, ..RelayTable::default() };
    let site = Site::start(SUBJECT, FEW_DESTINATIONS, table, seed).await?;
    site.hang(SILENT);
    // Messages of the lab's classes live for seconds; the messages queued here must live for an hour.
    change(&site, |settings| {
        settings["categories"][0]["give_up"] = LIFETIME_NS.into();
    })?;
    reload(&site).await?;
    submit(&site, size).await?;
    // Wait for the first round of the messages accepted last, and until their first attempts are in flight.
    sleep(Duration::from_millis(500)).await;
    measure_reloads(&site, reloads).await
}

/// Measures reloads of a changed configuration: first processor time without a probe, then pauses with one.
async fn measure_reloads(site: &Site, reloads: usize) -> Result<Reading, CapacityError> {
    let before = reload_count(site)?;
    let cpu_ms = processor_time(site, reloads).await?;
    let pauses = pauses(site, reloads).await?;
    let completed = reload_count(site)? - before;
    if completed != 2 * reloads {
        return Err(site.error(format!("{completed} of {} configuration reloads completed", 2 * reloads)));
    }
    Ok(Reading { cpu_ms, ..pauses })
}

/// Processor time of a reload in milliseconds, minus the processor time that the relay uses in the same time without one.
async fn processor_time(site: &Site, reloads: usize) -> Result<f64, CapacityError> {
    let (cpu_at_start, start) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    for _ in 0..reloads {
        sleep(RELOAD_WINDOW).await;
    }
    let (cpu_before_reloads, reloads_start) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    for number in 0..reloads {
        reload_another(site, number).await?;
        sleep(RELOAD_WINDOW).await;
    }
    let (cpu_at_end, end) = (cpu_time::of_deciding_thread(site.relay.id)?, Instant::now());
    let idle_share =
        cpu_before_reloads.saturating_sub(cpu_at_start).as_secs_f64() / (reloads_start - start).as_secs_f64();
    let busy = cpu_at_end.saturating_sub(cpu_before_reloads).as_secs_f64();
    Ok((busy - idle_share * (end - reloads_start).as_secs_f64()) * 1e3 / reloads as f64)
}

/// Measures the longest response times with and without reloads. Processor time is not measured.
async fn pauses(site: &Site, reloads: usize) -> Result<Reading, CapacityError> {
    let probe = Probe::start(site.relay.address);
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for number in 0..reloads {
        without.push(window().await);
        let begin = Instant::now();
        reload_another(site, reloads + number).await?;
        with.push((begin, window().await.1));
    }
    let samples = probe.finish().map_err(|reason| site.error(reason))?;
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

/// Reloads the configuration with a value that differs for each `number`.
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

/// Changes the settings in the relay's configuration file. The relay does not apply a file that it reads incompletely.
fn change(site: &Site, settings: impl FnOnce(&mut serde_json::Value)) -> Result<(), CapacityError> {
    let path = file(site, "config.json");
    let text = read(path.clone())?;
    let error =
        |e: serde_json::Error| site.error(format!("the relay's configuration is not valid JSON: {e}"));
    let mut configuration: serde_json::Value = serde_json::from_str(&text).map_err(error)?;
    settings(&mut configuration["settings"]);
    std::fs::write(&path, configuration.to_string()).map_err(|source| CapacityError::File { path, source })
}

fn signal(site: &Site) -> Result<(), CapacityError> {
    let id = site.relay.id.to_string();
    let sent = Command::new("kill").args(["-HUP", &id]).stdout(Stdio::null()).status();
    match sent {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(site.error(format!("cannot send SIGHUP: kill ended with {status}"))),
        Err(e) => Err(site.error(format!("cannot send SIGHUP: {e}"))),
    }
}

/// Number of configuration reloads that the relay has logged since its start.
fn reload_count(site: &Site) -> Result<usize, CapacityError> {
    Ok(read(file(site, "log"))?.matches(RELOADED).count())
}

/// Makes the relay reload its configuration, and waits until it has done so.
async fn reload(site: &Site) -> Result<(), CapacityError> {
    let before = reload_count(site)?;
    signal(site)?;
    let end = Instant::now() + RELOAD_TIMEOUT;
    while reload_count(site)? == before {
        if Instant::now() > end {
            return Err(site.error("the relay did not reload its configuration in time".into()));
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Submits messages for the destination that never answers, as fast as they are accepted.
async fn submit(site: &Site, messages: usize) -> Result<(), CapacityError> {
    let (next, accepted) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let client = client(site.relay.address, body.clone(), messages, next.clone(), accepted.clone());
            spawn_local(client)
        })
        .collect();
    for client in clients {
        let result = client.await.map_err(|e| site.error(format!("a client task failed: {e}")))?;
        result.map_err(|e| site.error(format!("a client failed: {e}")))?;
    }
    if (accepted.get() as f64) < messages as f64 * MIN_ACCEPTED_SHARE {
        return Err(site.error(format!("only {} of {messages} messages were accepted", accepted.get())));
    }
    Ok(())
}

/// One client connection: submits the next message after the response to the previous one.
async fn client(
    relay: std::net::SocketAddr,
    body: Bytes,
    messages: usize,
    next: Rc<Cell<usize>>,
    accepted: Rc<Cell<usize>>,
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
            .header("x-timeout-ms", LIFETIME_MS.to_string())
            .header("x-envelope", format!("dest={SILENT}"))
            .body(Full::new(body.clone()))
            .map_err(|e| e.to_string())?;
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let is_accepted = response.status() == hyper::StatusCode::ACCEPTED;
        response.into_body().collect().await.map_err(|e| e.to_string())?;
        accepted.set(accepted.get() + usize::from(is_accepted));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
