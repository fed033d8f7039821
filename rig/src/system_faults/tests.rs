use super::*;

#[test]
fn faults_are_written_in_the_format_of_the_control_file() {
    let lines = [
        SystemFault::Fails { call: Call::Rename, failure: Failure::Eio, one_in: 0 },
        SystemFault::HalfWrites { failure: Failure::Enospc },
        SystemFault::TornWrite { bytes: 7 },
        SystemFault::ClockStep { seconds: -3600 },
    ]
    .map(|fault| fault.control_line());
    assert_eq!(lines, ["rename 5 1 fail 0", "write 28 1 half 0", "write 5 1 kill 7", "clock -3600 1 fail 0"]);
}
