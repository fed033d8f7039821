use super::*;

#[test]
fn all_names_are_there_from_the_start_and_no_class_is_made_up() {
    let figures = Metrics::new(&["order".to_owned(), "notice".to_owned()]);
    figures.ended("order", MessageResult::Delivered);
    figures.ended("nobody's", MessageResult::Failed);
    figures.tries().inc();
    figures.config_loaded(true);
    figures.config_loaded(false);
    figures.discovery_call_ended(DiscoveryResult::ErrorStatus, Duration::from_millis(2500));
    figures.list_lapsed();
    figures.round_was_late(Duration::from_millis(250));
    figures.round_was_late(Duration::from_millis(50));
    let text = figures.render(GaugeValues {
        in_progress: 3,
        known: 9,
        skipped: 2,
        list_age: Some(Duration::from_millis(1500)),
        unwritten_records: 4,
    });
    let lines: Vec<_> = text.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(
        lines,
        [
            "edge_balancer_discovery_call_seconds_total{heard=\"answered\"} 0",
            "edge_balancer_discovery_call_seconds_total{heard=\"broke_off\"} 0",
            "edge_balancer_discovery_call_seconds_total{heard=\"refused\"} 0",
            "edge_balancer_discovery_call_seconds_total{heard=\"silent\"} 0",
            "edge_balancer_discovery_call_seconds_total{heard=\"turned_away\"} 2.5",
            "edge_balancer_discovery_calls_total{heard=\"answered\"} 0",
            "edge_balancer_discovery_calls_total{heard=\"broke_off\"} 0",
            "edge_balancer_discovery_calls_total{heard=\"refused\"} 0",
            "edge_balancer_discovery_calls_total{heard=\"silent\"} 0",
            "edge_balancer_discovery_calls_total{heard=\"turned_away\"} 1",
            "edge_balancer_handled_total{category=\"notice\",outcome=\"bad_gateway\"} 0",
            "edge_balancer_handled_total{category=\"notice\",outcome=\"dropped\"} 0",
            "edge_balancer_handled_total{category=\"notice\",outcome=\"passed\"} 0",
            "edge_balancer_handled_total{category=\"order\",outcome=\"bad_gateway\"} 0",
            "edge_balancer_handled_total{category=\"order\",outcome=\"dropped\"} 0",
            "edge_balancer_handled_total{category=\"order\",outcome=\"passed\"} 1",
            "edge_balancer_in_progress 3",
            "edge_balancer_journal_unwritten_records 4",
            "edge_balancer_known_endpoints 9",
            "edge_balancer_latest_round_seconds 0.25",
            "edge_balancer_list_age_seconds 1.5",
            "edge_balancer_list_lapses_total 1",
            "edge_balancer_load_errors_total 1",
            "edge_balancer_loads_total 1",
            "edge_balancer_skipped_endpoints 2",
            "edge_balancer_upstream_tries_total 1",
        ]
    );
    assert_eq!(text.lines().filter(|line| line.starts_with("# TYPE ")).count(), 13);
    assert_eq!(text.lines().filter(|line| line.starts_with("# HELP ")).count(), 13);
}
