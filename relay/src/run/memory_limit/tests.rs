use super::*;

#[test]
fn resident_memory_is_read_as_the_system_writes_it() {
    let status = "Name:\tonyxglade\nVmHWM:\t   10000 kB\nRssAnon:\t    1652 kB\nRssFile:\t   19104 kB\nRssShmem:\t       4 kB\n";
    let resident = Resident { file: 19108 * 1024, anonymous: 1652 * 1024 };
    assert_eq!(Resident::parse(status), Some(resident));
    assert_eq!(Resident::parse("Name:\tonyxglade\n"), None);
}

const MB: usize = 1_000_000;

fn shares(limit: usize) -> Shares {
    Shares { limit, process: 11 * MB, reserve: 10 * MB }
}

#[test]
fn two_processes_and_both_budgets_fit_into_the_limit() {
    for limit in (36 * MB..200 * MB).step_by(MB) {
        let shares = shares(limit);
        let before = shares.process * 2 + shares.reserve + shares.budget(SecondProcess::MayStart);
        let during = shares.process * 2 + shares.reserve + 2 * shares.budget(SecondProcess::Runs);
        assert!(before.max(during) <= limit, "limit {limit}: {before} before, {during} during the upgrade");
    }
}

#[test]
fn ordinary_traffic_has_a_budget_although_the_limit_is_too_small_for_a_second_process() {
    assert_eq!(shares(32 * MB).budget(SecondProcess::MayStart), ORDINARY_BUDGET);
    assert_eq!(shares(32 * MB).budget(SecondProcess::Never), 11 * MB);
    assert_eq!(shares(22 * MB).budget(SecondProcess::MayStart), MB);
    assert_eq!(shares(1).budget(SecondProcess::Runs), MIN_BUDGET);
}
