use super::*;

#[test]
fn every_seed_draws_a_valid_schedule_and_always_the_same() {
    let text =
        "name = \"d\"\nseconds = 9.0\n[relay]\ncount = 5\n[[partners]]\ncount = 1\n[load]\nrate = 5.0\n";
    let base = Schedule::parse(text).expect("valid");
    for seed in 0..500 {
        let drawn = draw(&base, seed, 6);
        assert_eq!(Schedule::parse(&drawn.to_toml()), Ok(draw(&base, seed, 6)), "seed {seed}");
    }
    assert_ne!(draw(&base, 1, 6), draw(&base, 2, 6));
}
