use super::*;
use crate::disabled::Disabled;
use crate::figures::Figures;
use crate::job::{Job, Outcome};
use crate::journal::SettledEnd;

/// A node that is open or not.
pub(crate) fn node(address: SocketAddr, open: bool) -> Node {
    Node {
        id: EndpointId(1),
        name: "n".into(),
        address,
        dest: 7,
        places: Cell::new((0, 0)),
        weight: Cell::new(f64::NAN),
        started_ms: Cell::new(0),
        back_ms: Cell::new(0),
        serving: Cell::new(open),
        out: Cell::new(false),
        seen: Cell::new(0),
    }
}

/// A ticket for a node of its own.
pub(crate) fn ticket(open: bool, wait: Duration, memory: Option<Duration>) -> Rc<Ticket> {
    let now = Instant::now();
    Rc::new(Ticket {
        node: Rc::new(node(SocketAddr::from(([127, 0, 0, 1], 1)), open)),
        wait: Rc::new(Cell::new(now + wait)),
        list: Rc::new(ListClock::new(now)),
        not_after: memory.map(|left| now + left),
        record: None,
        begun: Cell::default(),
        sent: Cell::new(false),
        local_fault: Cell::new(false),
        delivered: Cell::new(false),
        report: Cell::default(),
        told: Cell::default(),
        tells: Notify::new(),
        tries: Figures::new(&[]).tries(),
    })
}

#[test]
fn no_claim_begins_at_a_draining_node_in_a_wait_or_past_a_memory() {
    let (none, long) = (Duration::ZERO, Duration::from_secs(9));
    assert!(ticket(true, none, None).may_begin());
    assert!(ticket(true, none, Some(long)).may_begin());
    assert!(!ticket(false, none, None).may_begin());
    assert!(!ticket(true, long, None).may_begin());
    assert!(!ticket(true, none, Some(none)).may_begin());
}

struct Nowhere;

impl Carrier for Nowhere {
    async fn claim(&self, _: &Job, _: &Node, _: Duration, _: &Rc<Ticket>) -> Outcome {
        Outcome::NotSent
    }

    async fn notify(&self, _: &SettledEnd) -> Result<(), String> {
        Ok(())
    }

    fn close_idle(&self, _: &Node) {}

    fn forget(&self, _: &Node) {}
}

fn core(folder: &std::path::Path) -> Rc<Core<Nowhere>> {
    let (journal, _) = Journal::open(folder, 1_000_000).expect("it opens");
    let rules = Rules { settings: slatethread::Settings::default(), names: Default::default() };
    Core::new(Nowhere, rules, None, 1, journal, Disabled::open(folder), Figures::new(&[]))
}

pub(crate) fn entry(name: usize, port: u16, lifecycle: Lifecycle) -> NodeEntry<'static> {
    NodeEntry {
        instance_id: format!("n{name}").into(),
        host_port: format!("127.0.0.1:{port}").into(),
        zone: "z".into(),
        machine_type: "k".into(),
        cell: name as u64,
        lifecycle,
        weight: None,
        started_at_ms: 0,
    }
}

/// Takes a list in; gives what the module hears: numbers and conditions, in their order.
async fn take(core: &Core<Nowhere>, reset: bool, entries: Vec<NodeEntry<'static>>) -> Vec<(u32, Condition)> {
    let mut list = NodeList::of(entries);
    list.reset = reset;
    core.take_list(&list).await;
    let events = std::mem::take(&mut core.state.borrow_mut().inbox);
    let heard = events.into_iter().flat_map(|event| match event {
        Event::List { scope: ListScope::Patch, entries } => entries,
        other => panic!("{other:?}"),
    });
    heard.map(|e| (e.id.0, e.condition)).collect()
}

/// Discovery may have moved although the settings are not taken up.
#[test]
fn a_reload_binds_the_list_whether_or_not_the_settings_are_taken_up() {
    let folder = tempfile::tempdir().expect("a folder");
    for class in [None, Some("another")] {
        let core = core(folder.path());
        core.bind_list(None, None, true);
        let left = || core.list_clock.end().expect("it ends") - Instant::now();
        assert!(left() > Duration::from_secs(5));
        let mut rules = (*core.rules()).clone();
        rules.names.classes.extend(class.map(str::to_owned));
        core.settle(rules, 1_000_000);
        assert!(left() < Duration::from_secs(5), "{class:?}");
    }
}

#[test]
fn the_module_hears_what_has_changed_and_what_closes_first() {
    use Condition::*;
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        let all = |count| (0..count).map(|n| entry(n, 1, Lifecycle::Serving)).collect::<Vec<_>>();
        assert_eq!(take(&core, true, all(2500)).await.len(), 2500);
        assert!(take(&core, true, all(2500)).await.is_empty(), "nothing is new");
        let mut fewer = all(2498);
        fewer[2000] = entry(2000, 1, Lifecycle::Draining);
        fewer[0] = entry(0, 2, Lifecycle::Serving);
        let mut heard = take(&core, true, fewer).await;
        heard[1..3].sort_by_key(|(id, _)| *id);
        // What drains and has gone; then the one that moved, as another node.
        assert_eq!(heard, [(2001, Draining), (2499, Removed), (2500, Removed), (1, Removed), (2501, Active)]);
        assert!(core.knows(2498), "a moment ago there was one");
        let deleted = vec![entry(5, 1, Lifecycle::Deleted), entry(9999, 1, Lifecycle::Deleted)];
        assert_eq!(take(&core, false, deleted).await, [(6, Removed)]);
        // A weight is taken up where the node stands: claims look at that very record.
        let node = core.state.borrow().nodes.named("n7").cloned().expect("listed");
        let heavier = NodeEntry { weight: Some(3.0), ..entry(7, 1, Lifecycle::Serving) };
        assert_eq!(take(&core, false, vec![heavier]).await, [(8, Active)]);
        assert_eq!(node.weight(), Some(3.0));
        take(&core, false, vec![entry(7, 1, Lifecycle::Draining)]).await;
        assert!(!node.is_open());
    });
}

#[test]
fn a_node_out_by_hand_drains_whatever_the_list_says_and_returns_as_just_started() {
    use Condition::*;
    use Lifecycle::*;
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        let list = |lifecycle| vec![entry(1, 1, lifecycle), entry(2, 1, Serving)];
        take(&core, true, list(Serving)).await;
        let heard = || {
            let events = std::mem::take(&mut core.state.borrow_mut().inbox);
            let entries = events.into_iter().flat_map(|event| match event {
                Event::List { entries, .. } => entries,
                other => panic!("{other:?}"),
            });
            entries.map(|e| (e.id.0, e.condition, e.started > 0)).collect::<Vec<_>>()
        };
        assert!(matches!(core.set_out("n9", true), Err(NotOut::Unknown)));
        assert!(matches!(core.set_out("n9", false), Err(NotOut::Unknown)));
        core.set_out("n1", true).expect("listed");
        core.set_out("n1", true).expect("listed");
        assert_eq!(heard(), [(1, Condition::Draining, false)]);
        // Through lists, its leaving and its coming again, and a restart of this process.
        assert_eq!(take(&core, true, list(Serving)).await, []);
        assert_eq!(take(&core, true, list(Lifecycle::Draining)).await, [(1, Condition::Draining)]);
        assert_eq!(take(&core, false, vec![entry(1, 1, Deleted)]).await, [(1, Removed)]);
        assert_eq!(take(&core, false, list(Serving)).await, [(3, Condition::Draining)]);
        let after = self::core(folder.path());
        assert_eq!(take(&after, true, list(Serving)).await, [(1, Condition::Draining), (2, Active)]);
        core.set_out("n1", false).expect("out");
        core.set_out("n1", false).expect("listed");
        core.set_out("n2", false).expect("listed");
        assert_eq!(heard(), [(3, Active, true)]);
    });
}

#[test]
fn nothing_is_kept_for_destinations_that_come_and_go() {
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        for n in 0..3000 {
            take(&core, true, vec![entry(n, 1, Lifecycle::Serving)]).await;
            let node = core.state.borrow().nodes.named(&format!("n{n}")).cloned().expect("listed");
            let wait = core.wait_of(&node);
            // One wait in a thousand runs on.
            let until = if n % 1000 == 7 { Duration::from_secs(60) } else { Duration::ZERO };
            wait.set(Instant::now() + until);
        }
        let state = core.state.borrow();
        assert!(state.waits.len() < 200, "{}", state.waits.len());
        assert!([7, 1007, 2007].iter().all(|dest| state.waits.contains_key(&(*dest, None))));
        assert_eq!((state.nodes.by_id.len(), state.nodes.by_name.len(), state.nodes.dests.len()), (1, 1, 1));
    });
}
