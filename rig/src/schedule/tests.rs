use super::*;

pub const PLAIN: &str = "name = \"p\"\nseconds = 5.0\n[relay]\ncount = 10\n[[partners]]\ncount = 2\n[load]\nrate = 5.0\n\
                             [groups]\nodd = \"r1, r3,r5-r6\"\n";

#[test]
fn relays_can_be_selected_in_several_ways() {
    let schedule = Schedule::parse(PLAIN).expect("valid");
    assert_eq!(schedule.relays("70%").expect("named"), (0..7).collect::<Vec<_>>());
    assert_eq!(schedule.relays("odd,r5").expect("named"), [1, 3, 5, 6]);
    assert_eq!(schedule.relays("all").expect("named").len(), 10);
    for wrong in ["r10", "r4-r2", "even", "", "0%", "101%"] {
        assert!(schedule.relays(wrong).is_err(), "{wrong}");
    }
}

#[test]
fn a_schedule_is_unchanged_by_writing_and_reading() {
    let fault = "[[fault]]\nat_s = 1.0\nfor_s = 2.0\nkind = \"slow\"\nlink = \"list\"\ndelay_ms = 9\n\
                     [[fault]]\nat_s = 1\nkind = \"partner\"\ndest = 1\ntrouble = \"drain\"\n";
    let schedule = Schedule::parse(&format!("{PLAIN}{fault}")).expect("valid");
    assert_eq!(Schedule::parse(&schedule.to_toml()).expect("valid"), schedule);
    assert_eq!(schedule.faulty_links(), [LinkTo::List]);
}

#[test]
fn errors_name_the_key_at_fault() {
    let faulty = |more: &str| Schedule::parse(&format!("{PLAIN}{more}")).expect_err("faulty");
    for (more, key) in [
        ("[[fault]]\nat_s = 1\nkind = \"cut\"\n", "fault[0].link"),
        ("[[fault]]\nat_s = 1\nkind = \"kill\"\nlink = \"list\"\n", "fault[0].link"),
        ("[[fault]]\nat_s = -1\nkind = \"kill\"\n", "fault[0].at_s"),
        ("[[fault]]\nat_s = 1\nkind = \"stop\"\n", "fault[0].for_s"),
        ("[[fault]]\nat_s = 1\nkind = \"kill\"\nrelays = \"r77\"\n", "fault[0].relays"),
        ("[[fault]]\nat_s = 1\nkind = \"slow\"\nlink = \"list\"\n", "fault[0].delay_ms"),
        ("[[fault]]\nat_s = 1\nkind = \"tear\"\nlink = \"list\"\n", "fault[0].after_bytes"),
        ("[[fault]]\nat_s = 1\nkind = \"kill\"\nback_over_s = 2.0\n", "fault[0].back_over_s"),
        ("[[fault]]\nat_s = 1\nkind = \"partner\"\n", "fault[0].trouble"),
        ("[[fault]]\nat_s = 1\nkind = \"partner\"\ndest = 2\ntrouble = \"hang\"\n", "fault[0].dest"),
        ("[[fault]]\nat_s = 1\nkind = \"melt\"\n", "fault[0].kind"),
        ("[[fault]]\nat_s = 1\nkind = \"cut\"\nlink = \"instances\"\n", "fault[0].link"),
        ("[instances]\n[[fault]]\nat_s = 1\nkind = \"tear\"\nlink = \"instances\"\n", "fault[0].kind"),
        ("[instances]\n[[fault]]\nat_s = 1\nkind = \"lossy\"\nlink = \"instances\"\n", "fault[0].lose"),
        (
            "[instances]\n[[fault]]\nat_s = 1\nkind = \"cut\"\nlink = \"instances\"\npeers = \"x\"\n",
            "fault[0].peers",
        ),
        ("[instances]\nseeds = 11\n", "instances.seeds"),
        ("[[fault]]\nat_s = 1\nkind = \"list-busy\"\n", "fault[0].one_in"),
        ("[[fault]]\nat_s = 1\nkind = \"hup\"\nrelays = \"zone:x\"\n", "fault[0].relays"),
        ("[[fault]]\nat_s = 1\nkind = \"call\"\ncall = \"write\"\n", "fault[0].call"),
        (
            "[[fault]]\nat_s = 1\nkind = \"call\"\ncall = \"open\"\nfailure = \"EIO\"\nhalf = true\n",
            "fault[0].half",
        ),
        ("[[fault]]\nat_s = 1\nkind = \"clock\"\n", "fault[0].step_s"),
        ("[[fault]]\nat_s = 1\nkind = \"torn-write\"\nafter_bytes = 3\n", "fault[0].for_s"),
        ("[start]\nknown_by = \"r99\"\n", "start.known_by"),
        (
            "[instances]\nlists = true\n[[fault]]\nat_s = 1\nkind = \"cut\"\nlink = \"endpoints\"\n",
            "instances.lists",
        ),
        ("[start]\nover_s = 99.0\n", "start.over_s"),
        ("[service]\nthrown_part = 2.0\n", "service.thrown_part"),
        ("[service]\nwhole = 2.0\n", "service.whole"),
    ] {
        let why = faulty(more);
        assert!(why.starts_with(key), "{why}, not {key}");
    }
}
