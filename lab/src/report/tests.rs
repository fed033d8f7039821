use super::*;

fn leg(size: usize, repeat: usize, cpu: f64, kb: f64) -> Leg {
    let figures = [("cpu_us_per_job", cpu), ("resident_again_kb", kb)];
    let figures = figures.into_iter().map(|(n, v)| (n.to_owned(), v)).collect();
    let second = crate::record::DestinationSecond { second: 1, offered: 30, served: 20, takes: 15.0 };
    let dests = [(7, vec![second])].into();
    Leg { size, repeat, figures, dests, seconds: vec![Second::default(); 3], ..Leg::default() }
}

#[test]
fn figures_are_medians_and_expectations_are_checked_against_them() {
    let text = "name = \"x\"\nseconds = 1.0\nsizes = [100, 1100]\n[[partners]]\ncount = 100\n[load]\n\
            [[expect]]\nfigure = \"cpu_ratio@1100\"\nmost = 1.05\n[[expect]]\nfigure = \"nothing\"\nleast = 1.0\n";
    let experiment = Experiment::parse(text).expect("valid");
    let legs = vec![
        leg(100, 0, 100.0, 5000.0),
        leg(1100, 0, 99.0, 5200.0),
        leg(100, 1, 102.0, 5000.0),
        leg(1100, 1, 105.0, 5200.0),
    ];
    let outcome = Outcome::new(&experiment, legs);
    assert_eq!(outcome.cpu_us_per_job, [(100, 101.0), (1100, 102.0)].into());
    let bytes = outcome.bytes_per_idle_endpoint[&1100];
    assert!((bytes - (204.8 - 25.0)).abs() < 0.01, "{bytes}");
    assert_eq!(outcome.spread["cpu_us_per_job@1100"], (99.0, 105.0));
    assert_eq!(outcome.expectations.iter().map(|e| e.held).collect::<Vec<_>>(), [true, false]);
    assert!(!outcome.held());
    let folder = tempfile::tempdir().expect("a folder");
    outcome.write(&experiment, folder.path()).expect("written");
    let html = std::fs::read_to_string(folder.path().join("report.html")).expect("read");
    assert!(html.matches("<svg").count() >= 12 && html.contains("class=no"));
    assert!(html.contains("<tr><td>7<td>30<td>20<td>30<td>2.00"));
    let json = std::fs::read(folder.path().join("result.json")).expect("read");
    let back: Outcome = serde_json::from_slice(&json).expect("result.json deserializes");
    let table = compare(&outcome, &back);
    assert!(table.contains("cpu_us_per_job@1100") && table.contains("1.000"), "{table}");
}
