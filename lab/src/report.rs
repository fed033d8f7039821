//! The result of an experiment: figures over its legs, the expectations on them, and a report with plots.
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use crate::experiment::Experiment;
use crate::play::Leg;
use crate::record::{Second, write_csv};

/// Result of an experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Outcome {
    pub name: String,
    pub about: String,
    /// Median over repetitions. The key is `figure@size` with several sizes, and starts with `virtual.` in
    /// virtual time.
    pub figures: BTreeMap<String, f64>,
    /// Minimum and maximum over repetitions.
    pub spread: BTreeMap<String, (f64, f64)>,
    pub rules_broken: usize,
    /// Resident memory per listed endpoint, without its name and address, after the list was published
    /// repeatedly.
    pub bytes_per_idle_endpoint: BTreeMap<usize, f64>,
    pub cpu_us_per_job: BTreeMap<usize, f64>,
    pub first_ten_seconds: Vec<crate::record::DestinationSecond>,
    pub expectations: Vec<ExpectationResult>,
    pub legs: Vec<Leg>,
}

/// An expectation and whether it was met.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExpectationResult {
    pub figure: String,
    pub value: Option<f64>,
    pub most: Option<f64>,
    pub least: Option<f64>,
    pub held: bool,
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let n = values.len();
    if n == 0 { f64::NAN } else { (values[(n - 1) / 2] + values[n / 2]) / 2.0 }
}

/// Length of an endpoint's name and address as text, in bytes.
fn name_and_address_bytes(size: usize) -> f64 {
    let digits = |n: usize| n.to_string().len();
    let (last, port) = (size.saturating_sub(1), 5);
    (1 + digits(last) + "127.16.100.100:".len() + port) as f64
}

impl Outcome {
    pub fn new(experiment: &Experiment, legs: Vec<Leg>) -> Outcome {
        let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        let sized = experiment.sizes.len() > 1;
        for leg in &legs {
            let name = |figure: &str| match (leg.virtual_time, sized) {
                (true, true) => format!("virtual.{figure}@{}", leg.size),
                (true, false) => format!("virtual.{figure}"),
                (false, true) => format!("{figure}@{}", leg.size),
                (false, false) => figure.to_owned(),
            };
            for (figure, value) in &leg.figures {
                values.entry(name(figure)).or_default().push(*value);
            }
        }
        let spread = values.iter().map(|(name, values)| {
            let least = values.iter().copied().fold(f64::INFINITY, f64::min);
            let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            (name.clone(), (least, most))
        });
        let spread = spread.collect();
        let mut figures: BTreeMap<_, _> =
            values.into_iter().map(|(name, mut values)| (name, median(&mut values))).collect();
        let rules_broken = legs.iter().map(|leg| leg.rules.values().sum::<usize>()).sum();
        figures.insert("rules_broken".into(), rules_broken as f64);

        let of = |size: usize, figure: &str| figures.get(&format!("{figure}@{size}")).copied();
        let (mut bytes, mut cpu) = (BTreeMap::new(), BTreeMap::new());
        if let Some((base, larger)) = experiment.sizes.split_first() {
            let memory = |size, figure| Some((of(size, figure)? - of(*base, figure)?) * 1024.0);
            for size in larger {
                if let Some(grown) = memory(*size, "resident_again_kb") {
                    bytes.insert(*size, grown / (size - base) as f64 - name_and_address_bytes(*size));
                }
            }
            cpu = experiment.sizes.iter().filter_map(|s| Some((*s, of(*s, "cpu_us_per_job")?))).collect();
        }
        for (size, value) in &bytes {
            figures.insert(format!("bytes_per_idle_endpoint@{size}"), *value);
        }
        if let Some((base, cost)) = experiment.sizes.first().and_then(|s| Some((s, cpu.get(s)?))) {
            for (size, value) in cpu.iter().filter(|(size, _)| *size != base) {
                figures.insert(format!("cpu_ratio@{size}"), value / cost);
            }
        }
        let expectations = experiment.expectations.iter().map(|e| {
            let value = figures.get(&e.figure).copied();
            ExpectationResult {
                figure: e.figure.clone(),
                value,
                most: e.most,
                least: e.least,
                held: e.holds(value),
            }
        });
        let first = legs.iter().find(|leg| !leg.virtual_time && !leg.first_ten_seconds.is_empty());
        Outcome {
            name: experiment.name.clone(),
            about: experiment.about.clone(),
            expectations: expectations.collect(),
            figures,
            spread,
            rules_broken,
            bytes_per_idle_endpoint: bytes,
            cpu_us_per_job: cpu,
            first_ten_seconds: first.map_or(Vec::new(), |leg| leg.first_ten_seconds.clone()),
            legs,
        }
    }

    pub fn held(&self) -> bool {
        self.expectations.iter().all(|e| e.held)
    }

    /// Writes `result.json`, a CSV file for each leg, and `report.html`.
    pub fn write(&self, experiment: &Experiment, folder: &Path) -> Result<(), String> {
        let fault = |e: std::io::Error| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(fault)?;
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        std::fs::write(folder.join("result.json"), text).map_err(fault)?;
        for leg in &self.legs {
            let kind = if leg.virtual_time { "virtual" } else { "sockets" };
            write_csv(&folder.join(format!("{kind}-{}-{}.csv", leg.size, leg.repeat)), &leg.seconds)?;
        }
        std::fs::write(folder.join("report.html"), self.html(experiment)?).map_err(fault)
    }

    /// Summary of the main figures on one line.
    pub fn line(&self) -> String {
        let mut line = format!("{}: rules_broken={}", self.name, self.rules_broken);
        for (size, value) in &self.bytes_per_idle_endpoint {
            let _ = write!(line, " bytes_per_idle_endpoint@{size}={value:.0}");
        }
        for (size, value) in &self.cpu_us_per_job {
            let _ = write!(line, " cpu_us_per_job@{size}={value:.0}");
        }
        for name in [
            "delivered_share",
            "delivered_p50_ms",
            "delivered_p99_ms",
            "return_offered_most_share",
            "return_met_again_s",
            "pushed_over",
            "virtual.delivered_share",
            "virtual.return_offered_most_share",
            "virtual.return_met_again_s",
        ] {
            if let Some(value) = self.figures.get(name) {
                let _ = write!(line, " {name}={value:.3}");
            }
        }
        let missed = self.expectations.iter().filter(|e| !e.held).count();
        let _ =
            write!(line, " expectations={}/{}", self.expectations.len() - missed, self.expectations.len());
        line
    }

    fn html(&self, experiment: &Experiment) -> Result<String, String> {
        let mut page = String::from(
            "<!doctype html><meta charset=utf-8><style>body{font:14px sans-serif;max-width:1000px;margin:2em auto}\
             td,th{padding:.1em .8em;text-align:right}th:first-child,td:first-child{text-align:left}\
             .no{background:#fcc}</style>",
        );
        let _ =
            write!(page, "<title>{0}</title><h1>{0}</h1><p>{1}</p>", escape(&self.name), escape(&self.about));
        page.push_str("<h2>Expectations</h2><table><tr><th>figure<th>value<th>least<th>most");
        let number = |v: Option<f64>| v.map_or("-".into(), |v| format!("{v:.3}"));
        for e in &self.expectations {
            let class = if e.held { "" } else { " class=no" };
            let (value, least, most) = (number(e.value), number(e.least), number(e.most));
            let _ = write!(page, "<tr{class}><td>{}<td>{value}<td>{least}<td>{most}", escape(&e.figure));
        }
        page.push_str("</table>");
        for leg in &self.legs {
            let kind = if leg.virtual_time { "virtual time" } else { "sockets" };
            let _ = write!(page, "<h2>{kind}, {} listed, {}</h2>", leg.size, leg.repeat + 1);
            for breach in &leg.breaches {
                let _ = write!(
                    page,
                    "<p class=no>{:?} at {:.3} s: {}",
                    breach.rule,
                    breach.at_s,
                    escape(&breach.what)
                );
            }
            page.push_str(&plots(leg, experiment)?);
            page.push_str(&partner_table(leg));
        }
        page.push_str("<h2>Figures</h2><table><tr><th>figure<th>median<th>least<th>most");
        for (name, value) in &self.figures {
            let (least, most) = self.spread.get(name).copied().unwrap_or((*value, *value));
            let _ = write!(page, "<tr><td>{}<td>{value:.3}<td>{least:.3}<td>{most:.3}", escape(name));
        }
        page.push_str("</table>");
        Ok(page)
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Maximum number of partners in a leg's table.
const MAX_LISTED_PARTNERS: usize = 12;

/// HTML table of the partners with the most calls, with their worst second relative to their capacity.
fn partner_table(leg: &Leg) -> String {
    let mut all: Vec<_> = leg.dests.iter().collect();
    let offered =
        |seconds: &[crate::record::DestinationSecond]| seconds.iter().map(|t| t.offered).sum::<u32>();
    all.sort_by_key(|(_, seconds)| std::cmp::Reverse(offered(seconds)));
    let mut table = String::from(
        "<table><tr><th>partner<th>calls offered<th>served<th>most in a second<th>of what it takes",
    );
    for (dest, seconds) in all.into_iter().take(MAX_LISTED_PARTNERS) {
        let served: u32 = seconds.iter().map(|t| t.served).sum();
        let most = seconds.iter().map(|t| t.offered).max().unwrap_or(0);
        let share = seconds.iter().map(|t| f64::from(t.offered) / t.takes.max(1e-9)).fold(0.0, f64::max);
        let _ = write!(table, "<tr><td>{dest}<td>{}<td>{served}<td>{most}<td>{share:.2}", offered(seconds));
    }
    table + "</table>"
}

type PlotLine<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Plots of a leg: rates, latencies, open messages, and the load of the destination that returns.
fn plots(leg: &Leg, experiment: &Experiment) -> Result<String, String> {
    let of = |value: fn(&Second) -> f64| -> Vec<(f64, f64)> {
        leg.seconds.iter().map(|s| (s.second as f64, value(s))).collect()
    };
    // The load starts one second into virtual time; on sockets, the first second with a message marks its
    // start.
    let load_start = leg.seconds.iter().find(|s| s.handed_in > 0).map_or(0.0, |s| s.second as f64);
    let marks: Vec<f64> =
        experiment.troubles.iter().flat_map(|t| [t.at_s, t.at_s + t.for_s]).map(|s| s + load_start).collect();
    let rates = vec![
        ("handed in", BLACK, of(|s| f64::from(s.handed_in))),
        ("delivered", GREEN, of(|s| f64::from(s.delivered))),
        ("refused", RED, of(|s| f64::from(s.refused))),
        ("calls", BLUE, of(|s| f64::from(s.calls))),
    ];
    let latencies = vec![
        ("median", GREEN, of(|s| s.p50_ms)),
        ("90th", BLUE, of(|s| s.p90_ms)),
        ("99th", RED, of(|s| s.p99_ms)),
    ];
    let open = vec![("open", BLACK, of(|s| f64::from(s.open)))];
    let mut page = plot("messages and calls a second", &rates, &marks)?;
    page += &plot("milliseconds until delivered", &latencies, &marks)?;
    page += &plot("messages open", &open, &marks)?;
    let dest = experiment.troubles.first().map_or(0, |t| t.dest);
    if let Some(seconds) = leg.dests.get(&dest).filter(|_| experiment.return_s.is_some()) {
        let lines = vec![
            ("takes", BLACK, seconds.iter().map(|t| (t.second as f64, t.takes)).collect()),
            ("offered", RED, seconds.iter().map(|t| (t.second as f64, f64::from(t.offered))).collect()),
            ("served", GREEN, seconds.iter().map(|t| (t.second as f64, f64::from(t.served))).collect()),
        ];
        page += &plot(&format!("destination {dest}: calls a second"), &lines, &marks)?;
    }
    Ok(page)
}

fn plot(title: &str, lines: &[PlotLine], marks: &[f64]) -> Result<String, String> {
    let mut text = String::new();
    {
        let points = || lines.iter().flat_map(|(_, _, points)| points);
        let (x, y) = points().fold((1.0f64, 1.0f64), |(x, y), p| (x.max(p.0), y.max(p.1)));
        let fault = |e: &dyn std::fmt::Display| format!("plot '{title}': {e}");
        let area = SVGBackend::with_string(&mut text, (960, 240)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| fault(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..x, 0.0..y * 1.05)
            .map_err(|e| fault(&e))?;
        chart.configure_mesh().light_line_style(WHITE).draw().map_err(|e| fault(&e))?;
        for mark in marks {
            let line = [(*mark, 0.0), (*mark, y * 1.05)];
            chart.draw_series(LineSeries::new(line, RGBColor(190, 190, 190))).map_err(|e| fault(&e))?;
        }
        for (name, color, points) in lines {
            let color = *color;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color))
                .map_err(|e| fault(&e))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .border_style(RGBColor(200, 200, 200))
            .background_style(WHITE.mix(0.7))
            .draw()
            .map_err(|e| fault(&e))?;
        area.present().map_err(|e| fault(&e))?;
    }
    Ok(text)
}

/// Compares two results side by side, with their spreads.
pub fn compare(a: &Outcome, b: &Outcome) -> String {
    let mut text = format!("{:<44} {:>26} {:>26} {:>8}\n", "figure", a.name, b.name, "b/a");
    let names: std::collections::BTreeSet<_> = a.figures.keys().chain(b.figures.keys()).collect();
    for name in names {
        let cell = |of: &Outcome| match (of.figures.get(name), of.spread.get(name)) {
            (Some(v), Some((least, most))) if least < most => format!("{v:.3} ({least:.3}..{most:.3})"),
            (Some(v), _) => format!("{v:.3}"),
            _ => "-".into(),
        };
        let ratio = match (a.figures.get(name), b.figures.get(name)) {
            (Some(a), Some(b)) if *a != 0.0 => format!("{:.3}", b / a),
            _ => "-".into(),
        };
        // Disjoint spreads indicate a difference; overlapping ones may be due to chance.
        let marker = match (a.spread.get(name), b.spread.get(name)) {
            (Some(a), Some(b)) if a.0 > b.1 || b.0 > a.1 => " *",
            _ => "",
        };
        let _ = writeln!(text, "{name:<44} {:>26} {:>26} {ratio:>8}{marker}", cell(a), cell(b));
    }
    text.push_str("* the spreads over repetitions are disjoint\n");
    text
}

#[cfg(test)]
mod tests;
