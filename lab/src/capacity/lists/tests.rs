use super::*;

#[test]
fn a_seed_decides_what_a_number_of_instances_sends() {
    let read = || ByInstances { rest_cpu: 0.0, ..read_by_instances(8, 7).expect("all hold the list") };
    let first = read();
    assert_eq!(first, read());
    assert_eq!(first.start_calls, 2.0, "the first two ask the service");
    let named = simulated_instances::series("instances", &BY_INSTANCES, &[(8, first)]);
    for series in named.iter().filter(|series| series.name != "lists.rest_cpu") {
        assert!(series.points[0].value > 0.0, "{}", series.name);
    }
}

#[test]
fn a_copy_grows_with_the_list_and_a_change_does_not() {
    let [short, long] = [50, 200].map(|entries| read_by_entries(entries, 7).expect("all hold the list"));
    assert!(long.copy > 2.0 * short.copy, "{} and {}", long.copy, short.copy);
    assert!(long.change < 1.5 * short.change, "{} and {}", long.change, short.change);
}
