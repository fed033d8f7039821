use super::*;

#[test]
fn the_usage_of_a_running_process_is_read_and_of_an_unknown_one_is_not() {
    let this = usage(std::process::id()).expect("this process is running");
    assert!(this.cpu > Duration::ZERO && this.resident_kb > 500 && this.descriptors >= 3);
    assert!(usage(u32::MAX).is_none());
}
