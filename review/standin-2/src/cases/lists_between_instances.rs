//! Two relays that pass lists to one another: their watches fall silent, a new endpoint, of another destination, is listed at the address of
//! one that has gone, and discovery goes down.
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

use super::{DRAIN_GRACE, HELD_UP, SLACK, lost_to_another, need, send_for};
use crate::common::*;

/// The file of a relay's own, as deploy/instances.toml; with `LISTS=0` without the table.
fn own_file(folder: &Folder, key: &Folder, listen: SocketAddr, seeds: &[SocketAddr; 2]) -> std::path::PathBuf {
    let path = folder.0.join("instances.toml");
    let table = format!(
        "[instances]\nlisten = \"{listen}\"\nseeds = [\"{}\", \"{}\"]\nkey_file = \"{}\"\nzone = \"hall-b\"\nregion = \"north\"\nexpected = 2\nlists = true\n",
        seeds[0],
        seeds[1],
        key.0.join("instances.key").display(),
    );
    let text = if std::env::var("LISTS").is_ok_and(|lists| lists == "0") { String::new() } else { table };
    std::fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
    path
}

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    const TIME: u64 = 6000;
    let (first, second) = (Folder::new(), Folder::new());
    std::fs::write(first.0.join("instances.key"), "k".repeat(64)).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let seeds = [free_address(), free_address()];
    let (listen, listen_second) = (free_address(), free_address());
    let gone = Endpoint::start("s-1 (destination 7)", record, |_| ok_after(300));
    let own = Endpoint::start("s-2 (destination 7)", record, |_| ok_after(300));
    let discovery = Discovery::start(
        Mode::Asked,
        record,
        &[
            ("s-1", entry("s-1", gone.address, "big-operators", "hall-b", 7, "SERVING")),
            ("s-2", entry("s-2", own.address, "big-operators", "hall-b", 7, "SERVING")),
        ],
    );
    let known = discovery.whole();
    let start = Start {
        folder: &first,
        name: "n0",
        listen,
        discovery: discovery.address,
        admin: None,
        passed: None,
        known: &known,
        settings: KULKU,
    };
    let file = own_file(&first, &first, seeds[0], &seeds);
    let _first = Relay::start_with(&start, Some(&file), record);
    let file = own_file(&second, &first, seeds[1], &seeds);
    let start_second = Start { folder: &second, name: "n1", listen: listen_second, ..start };
    let _second = Relay::start_with(&start_second, Some(&file), record);
    need(wait_until(ms(10_000), || is_ready(listen) && is_ready(listen_second)), "the relays are not ready");
    send_for(record, listen, "disruption-notice", TIME, ms(4000), 150);
    record.line("s-1 has gone; the list is late");
    gone.end();
    sleep(ms(600));
    let other = Endpoint::start_at(gone.address, "s-9 (destination 8)", record, |_| ok_after(300));
    sleep(ms(850));
    let silent = Instant::now();
    if trouble {
        discovery.silence_watches();
    }
    sleep(ms(100));
    discovery.change("s-1", entry("s-1", gone.address, "big-operators", "hall-b", 7, "DELETED"));
    discovery.change("s-9", entry("s-9", other.address, "big-operators", "hall-b", 8, "SERVING"));
    sleep(ms(1400));
    if trouble {
        discovery.set_down(true);
    }
    let down = Instant::now();
    sleep((silent + ms(3000)).saturating_duration_since(Instant::now()));
    let messages = send_for(record, listen, "disruption-notice", TIME, ms(6400), 50);
    sleep((down + ms(8000)).saturating_duration_since(Instant::now()));
    if trouble {
        discovery.set_down(false);
    }
    sleep(ms(TIME + 500));
    // What a silent watch misses counts as told 6 s after it fell silent.
    let limit = silent + ms(6000) + DRAIN_GRACE + HELD_UP + SLACK;
    lost_to_another(record, &messages, TIME, &own, &other, &discovery, limit) > 0
}
