use super::bounds::{Bounds, Part};
use super::fit::{Fit, Law};
use super::*;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(size, value)| Point { size, value }).collect()
}

fn report(slope: f64, quick: bool) -> Report {
    let points = points(&[(1.0, slope), (4.0, 4.0 * slope), (16.0, 16.0 * slope)]);
    let series = Series { name: "backlog.memory", varied: "messages", unit: "B", law: Law::Line, points };
    let mut report = Report { quick, ..Report::default() };
    let pause = Figure { name: "backlog.pause", unit: "ms", value: 3.0 };
    report.add(Measured { series: vec![series], figures: vec![pause] });
    report
}

const BOUNDS: &str = "
[[bound]]
name = 'backlog.memory'
part = 'slope'
measured = 5.0
least = 4.0
most = 6.0
quick = true
[[bound]]
name = 'backlog.pause'
part = 'value'
measured = 2.0
least = 0.0
most = 2.5
";

#[test]
fn a_linear_fit_recovers_its_parameters_and_residual() {
    let exact = Fit::of(Law::Line, &points(&[(1.0, 5.0), (4.0, 11.0), (16.0, 35.0)]));
    assert!((exact.base - 3.0).abs() < 1e-9 && (exact.slope - 2.0).abs() < 1e-9, "{exact}");
    assert!(exact.residual < 1e-9);
    let quadratic = Fit::of(Law::Line, &points(&[(1.0, 1.0), (4.0, 16.0), (16.0, 256.0)]));
    assert!(quadratic.residual > 0.1, "{quadratic}");
}

#[test]
fn power_and_logarithmic_fits_recover_their_parameters() {
    let square = Fit::of(Law::Power, &points(&[(1.0, 3.0), (4.0, 48.0), (16.0, 768.0)]));
    assert!((square.base - 3.0).abs() < 1e-9 && (square.slope - 2.0).abs() < 1e-9, "{square}");
    assert!((square.at(2.0) - 12.0).abs() < 1e-9);
    let log =
        Fit::of(Law::Logarithm, &points(&[(1.0, 2.0), (4.0, 2.0 + 4f64.ln()), (16.0, 2.0 + 16f64.ln())]));
    assert!((log.base - 2.0).abs() < 1e-9 && (log.slope - 1.0).abs() < 1e-9, "{log}");
}

#[test]
fn repeated_points_at_one_size_have_slope_zero() {
    let fit = Fit::of(Law::Line, &points(&[(4.0, 1.0), (4.0, 3.0)]));
    assert_eq!((fit.base, fit.slope), (2.0, 0.0));
}

#[test]
fn a_slope_outside_its_bound_fails_the_run() {
    let bounds = Bounds::read(BOUNDS).expect("valid bounds");
    let within_bounds = |slope| {
        let mut report = report(slope, true);
        report.verdicts = bounds.evaluate(&report);
        assert_eq!(report.verdicts.len(), 1, "a quick run checks only the bounds marked `quick`");
        report.holds()
    };
    assert!(within_bounds(5.5));
    assert!(!within_bounds(6.5));
    assert!(!within_bounds(3.5));
}

#[test]
fn a_full_run_checks_every_bound() {
    let mut report = report(5.0, false);
    report.verdicts = Bounds::read(BOUNDS).expect("valid bounds").evaluate(&report);
    assert_eq!(report.verdicts.iter().filter(|verdict| verdict.holds).count(), 1);
    assert!(!report.holds(), "the pause exceeds its bound");
    assert!(report.line().ends_with("1 of 2 bounds hold"));
}

#[test]
fn a_listed_bound_is_named_and_all_others_are_judged() {
    let mut report = report(7.0, false);
    report.verdicts = Bounds::read(BOUNDS).expect("valid bounds").evaluate(&report);
    let known = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    assert!(!report.holds_but_for(&known(&["backlog.memory"])), "the pause exceeds its bound too");
    assert!(report.holds_but_for(&known(&["backlog.memory", "backlog.pause"])));
    assert_eq!(report.known_failure("backlog.pause").expect("judged"), "known red bound: backlog.pause");
    assert!(report.known_failure("backlog.unknown").is_err());
}

#[test]
fn bounds_with_a_measured_value_out_of_range_are_rejected() {
    let error = Bounds::read(&BOUNDS.replace("measured = 5.0", "measured = 7.0")).expect_err("out of range");
    assert!(error.to_string().contains("backlog.memory"));
    assert!(Bounds::read(&BOUNDS.replace("most", "greatest")).is_err());
}

/// Each bound has one table row in `docs/CAPACITY.md`, `| `name` part | ... | measured | ...`, with the same measured
/// value.
#[test]
fn the_capacity_page_states_the_measured_value_of_every_bound() {
    let page = include_str!("../../../docs/CAPACITY.md");
    for bound in Bounds::documented().expect("valid bounds").bound {
        let part = match bound.part {
            Part::Slope => "slope",
            Part::Base => "base",
            Part::Value => "value",
        };
        let row_start = format!("| `{}` {part} |", bound.name);
        let rows: Vec<_> = page.lines().filter(|line| line.starts_with(&row_start)).collect();
        assert_eq!(rows.len(), 1, "rows that begin with {row_start}");
        let stated = rows[0].split('|').any(|cell| cell.trim().parse() == Ok(bound.measured));
        assert!(stated, "{row_start} does not state {}", bound.measured);
    }
}

#[test]
fn a_plot_per_series_and_the_result_file_are_written() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(&report(5.0, true), folder.path()).expect("written");
    let plot = std::fs::read_to_string(folder.path().join("backlog.memory.svg")).expect("a plot");
    assert_eq!(plot.matches("<circle").count(), 3);
    let text = std::fs::read(folder.path().join("result.json")).expect("a result");
    let result: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(result["series"][0]["fit"]["law"], "line");
}
