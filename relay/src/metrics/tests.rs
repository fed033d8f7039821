use super::*;

#[test]
fn all_series_exist_from_the_start_and_unknown_classes_get_none() {
    let metrics = Metrics::new(&["order".to_owned(), "notice".to_owned()]);
    metrics.message_ended("order", MessageResult::Delivered);
    metrics.message_ended("nobody's", MessageResult::Failed);
    metrics.tries().inc();
    metrics.config_loaded(true);
    metrics.config_loaded(false);
    metrics.discovery_call_ended(DiscoveryResult::ErrorStatus, Duration::from_millis(2500));
    metrics.list_lapsed();
    metrics.fronts_waiting(2);
    metrics.waiting_front_started();
    metrics.answer_in_doubt();
    metrics.record_round_delay(Duration::from_millis(250));
    metrics.record_round_delay(Duration::from_millis(50));
    let text = metrics.render(GaugeValues {
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
            "edge_balancer_doubtful_answers_total 1",
            "edge_balancer_fronts_waiting 1",
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
    assert_eq!(text.lines().filter(|line| line.starts_with("# TYPE ")).count(), 15);
    assert_eq!(text.lines().filter(|line| line.starts_with("# HELP ")).count(), 15);
}

#[test]
fn an_endpoint_has_a_series_of_surplus_answers_only_while_it_is_in_use() {
    let metrics = Metrics::new(&[]);
    let counter = metrics.surplus_answers();
    let series = || {
        let text = metrics.render(GaugeValues::default());
        text.lines().find(|line| line.contains("surplus_answers_total{")).map(str::to_owned)
    };
    assert_eq!(series(), None);
    counter.count("s-1");
    assert_eq!(series().as_deref(), Some("edge_balancer_surplus_answers_total{endpoint=\"s-1\"} 1"));
    counter.forget("s-1");
    assert_eq!(series(), None);
}
