use super::*;

#[test]
fn the_traffic_of_instances_is_reproducible_for_a_seed() {
    let read = || ByInstances {
        steady_state_cpu: 0.0,
        ..read_by_instances(8, 7).expect("all instances have the list")
    };
    let first = read();
    assert_eq!(first, read());
    assert_eq!(first.start_calls, 2.0, "only the first two instances query the service");
    let all_series = simulated_instances::series("instances", &BY_INSTANCES, &[(8, first)]);
    for series in all_series.iter().filter(|series| series.name != "lists.rest_cpu") {
        assert!(series.points[0].value > 0.0, "{}", series.name);
    }
}

#[test]
fn copy_size_grows_with_the_list_but_change_size_does_not() {
    let [short, long] =
        [50, 200].map(|entries| read_by_entries(entries, 7).expect("all instances have the list"));
    assert!(long.copy > 2.0 * short.copy, "{} and {}", long.copy, short.copy);
    assert!(long.change < 1.5 * short.change, "{} and {}", long.change, short.change);
}
