//! The scale tests with real processes at tiny sizes: every series has a point per size, with a plausible value.
use std::time::Duration;

use onyxglade_lab::capacity::{Measured, backlog, backlog_on_disk, traffic};

/// The values of a series, which must have exactly one point at each of the sizes.
fn values(measured: &Measured, name: &str, sizes: &[f64]) -> Vec<f64> {
    let series = measured.series.iter().find(|series| series.name == name);
    let series = series.unwrap_or_else(|| panic!("no series {name}"));
    assert_eq!(series.points.iter().map(|point| point.size).collect::<Vec<_>>(), sizes, "{name}");
    series.points.iter().map(|point| point.value).collect()
}

fn figure(measured: &Measured, name: &str) -> f64 {
    let figure = measured.figures.iter().find(|figure| figure.name == name);
    figure.unwrap_or_else(|| panic!("no figure {name}")).value
}

#[test]
fn a_backlog_in_memory_is_measured_and_every_expiry_is_notified() {
    let plan = backlog::Plan {
        queued: vec![50, 200],
        expiring: vec![20, 80],
        observation: Duration::from_millis(100),
    };
    let measured = backlog::measure_plan(&plan, 1).unwrap_or_else(|error| panic!("{error}"));
    let of_queued = |name: &str| values(&measured, name, &[50.0, 200.0]);
    let disk = of_queued("backlog.disk");
    assert!(
        disk[0] > 50.0 * 200.0 && disk[1] > 200.0 * 200.0,
        "each message body alone has 200 bytes: {disk:?}"
    );
    assert!(of_queued("backlog.cpu_to_take_on").iter().all(|value| *value > 0.0));
    assert!(of_queued("backlog.cpu_waiting").iter().all(|value| *value >= 0.0));
    assert!(of_queued("backlog.ready_after_kill").iter().all(|value| *value > 0.0));
    of_queued("backlog.memory").iter().chain(&of_queued("backlog.memory_after_kill")).for_each(|value| {
        assert!(value.is_finite());
    });
    for name in ["cpu_to_take_on_same_end", "expiry_span", "expiry_late", "expiry_cpu"] {
        let name = &format!("backlog.{name}");
        assert!(values(&measured, name, &[20.0, 80.0]).iter().all(|value| *value >= 0.0), "{name}");
    }
    assert_eq!(figure(&measured, "backlog.largest_held"), 200.0);
    assert_eq!(figure(&measured, "backlog.expiry_without_notice"), 0.0, "every expired message has a notice");
}

#[test]
fn a_backlog_on_disk_survives_a_kill_and_drains_without_loss_or_duplicates() {
    let plan = backlog_on_disk::Plan {
        queued: vec![200, 800],
        drained_after_kill: 800,
        drained: vec![200, 400],
        drain_rate: 500,
        observation: Duration::from_millis(100),
    };
    let measured = backlog_on_disk::measure_plan(&plan, 1).unwrap_or_else(|error| panic!("{error}"));
    let of_queued = |name: &str| values(&measured, &format!("backlog-on-disk.{name}"), &[200.0, 800.0]);
    let disk = of_queued("disk_allocated");
    assert!(
        disk[0] > 200.0 * 200.0 && disk[1] > 800.0 * 200.0,
        "each message body alone has 200 bytes: {disk:?}"
    );
    for name in ["cpu_to_take_on", "ready_after_kill", "pause_fill"] {
        assert!(of_queued(name).iter().all(|value| *value > 0.0), "{name}");
    }
    for name in ["drain_share", "drain_worst_share", "cpu_whole", "cpu_ratio", "pause_drain"] {
        for name in [format!("backlog-on-disk.{name}"), format!("backlog-on-disk.{name}_memory")] {
            if name != "backlog-on-disk.cpu_ratio_memory" {
                assert!(values(&measured, &name, &[200.0, 400.0]).iter().all(|value| *value > 0.0), "{name}");
            }
        }
    }
    let of_all = |name: &str| figure(&measured, &format!("backlog-on-disk.{name}"));
    assert_eq!(of_all("accepted"), 1600.0);
    for name in ["lost", "doubled", "lost_memory", "doubled_memory"] {
        assert_eq!(of_all(name), 0.0, "{name}");
    }
}

#[test]
fn traffic_is_delivered_also_when_zones_are_unavailable() {
    let plan = traffic::Plan {
        rates: vec![50.0, 200.0],
        span: Duration::from_millis(500),
        warm_up: Duration::from_millis(200),
        wait: Duration::from_secs(6),
        cost_rate: 100.0,
        cost_runs: 2,
        gone_rate: 100.0,
        halvings: None,
    };
    let measured = traffic::measure_plan(&plan, 1).unwrap_or_else(|error| panic!("{error}"));
    for name in ["traffic.cpu", "traffic.p50", "traffic.p99"] {
        assert!(values(&measured, name, &[50.0, 200.0]).iter().all(|value| *value > 0.0), "{name}");
    }
    let with_zones_gone = |name: &str| values(&measured, name, &[0.0, 0.25, 0.5]);
    assert!(
        with_zones_gone("traffic.gone_cpu")
            .iter()
            .chain(&with_zones_gone("traffic.gone_p99"))
            .all(|value| *value > 0.0)
    );
    let served = with_zones_gone("traffic.gone_served");
    assert!(served.iter().all(|share| (0.0..=1.0).contains(share)), "{served:?}");
    assert!(served[0] > 0.0, "{served:?}");
    assert!(figure(&measured, "traffic.cpu_a_message") > 0.0);
    assert!(figure(&measured, "traffic.cpu_a_message_spread") >= 0.0);
}
