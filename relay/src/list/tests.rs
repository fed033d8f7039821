use super::*;

fn read(text: &str) -> Result<NodeList, String> {
    NodeList::parse(text.as_bytes().to_vec().into())
}

#[test]
fn entries_and_their_texts_survive_forwarding_whatever_formatting_discovery_used() {
    let text = |space: &str, weight: &str| {
        format!(
            r#"{{"generation":1,"reset":false,"instances":[{{{space}"hostPort":"h:1",{space}"instanceId":"a\u0062","zone":"z","machineType":"k",
                "cell":7,"lifecycle":"DRAINING","weight":{weight},"startedAtMs":1e3}},{{"instanceId":"g","hostPort":"h","zone":"z",
                "machineType":"k","cell":7,"lifecycle":"DELETED","weight":1,"startedAtMs":0}}]}}"#
        )
    };
    let plain = read(&text("", "1.5")).expect("valid");
    let texts = plain.entry_texts();
    assert_eq!(texts, read(&text("\n  ", "1.50")).expect("valid").entry_texts());
    let forwarded = NodeEntry::parse(texts[0].1.as_deref().expect("listed")).expect("its own form");
    assert_eq!(forwarded, plain.chunk(0)[0]);
    assert_eq!(texts[1], ("g".to_owned(), None));
    assert_eq!(NodeEntry::deleted("g".into()).lifecycle, Lifecycle::Deleted);
    assert!(NodeEntry::parse("{}").is_err());
}

fn text(count: usize) -> String {
    let one = |n: usize| {
        format!(
            r#" {{"instanceId":"a\u0062{n}","hostPort":"h","zone":"z","machineType":"k","cell":{n},"lifecycle":"NEW","weight":1.0,
                "startedAtMs":-4,"more":[1,{{}}]}}"#
        )
    };
    let all: Vec<_> = (0..count).map(one).collect();
    format!(r#"{{"instances":[{}],"reset":false,"generation":2}}"#, all.join(" ,\n"))
}

#[test]
fn parse_errors_name_the_path_of_the_fault() {
    let cases = [
        (r#"{"generation":1,"reset":true,"instances":[{"instanceId":4}]}"#, "instances[0].instanceId"),
        (r#"{"generation":1,"reset":7,"instances":[]}"#, "reset"),
        (r#"{"generation":1,"reset":true,"instances":7}"#, "instances"),
        (r#"{"generation":1,"reset":true,"instances":[{},"#, "EOF"),
    ];
    for (text, path) in cases {
        let fault = read(text).err().unwrap_or_default();
        assert!(fault.contains(path), "{text}: {fault}");
    }
}

#[test]
fn chunks_cover_all_entries_at_every_list_length() {
    for count in [0, 1, CHUNK - 1, CHUNK, CHUNK + 1, 2 * CHUNK + 5] {
        let list = read(&text(count)).expect("valid");
        assert_eq!((list.len(), list.generation, list.reset), (count, 2, false));
        let all: Vec<_> = (0..list.chunk_count()).flat_map(|number| list.chunk(number)).collect();
        assert_eq!(all.iter().map(|e| e.cell).collect::<Vec<_>>(), (0..count as u64).collect::<Vec<_>>());
        assert!(all.iter().all(|e| e.instance_id == format!("ab{}", e.cell) && e.started_at_ms == 0));
        assert!(all.iter().all(|e| e.lifecycle == Lifecycle::Other && matches!(e.zone, Cow::Borrowed("z"))));
    }
}

#[test]
fn a_long_text_is_memory_mapped_and_one_over_the_limit_is_refused() {
    let all = text(3000);
    let mut long = ListText::default();
    for piece in all.as_bytes().chunks(5000) {
        assert!(long.append(piece, all.len()).expect("mapped"));
    }
    assert!(long.is_mapped() && !long.append(b" ", all.len()).expect("mapped"));
    assert_eq!(NodeList::parse(long).expect("valid").chunk(2).len(), CHUNK);
}
