use super::*;

#[test]
fn the_system_tells_of_this_very_process() {
    let told = usage(std::process::id()).expect("told");
    assert!(told.cpu > Duration::ZERO && told.resident_kb > 500 && told.descriptors >= 3);
    assert!(usage(u32::MAX).is_none());
}
