use super::*;
use crate::core::{LeaseClock, SendPermit, StoredState};
use crate::disabled::DisabledNodes;
use crate::job::{Job, Outcome};
use crate::journal::{FinalNotice, open_journal};
use crate::lease_record::ListConfirmation;
use crate::metrics::Metrics;
use slatethread::{EndpointId, ListSource};

/// A node that accepts claims or not.
pub(crate) fn node(address: SocketAddr, open: bool) -> Node {
    let lifecycle = if open { Lifecycle::Serving } else { Lifecycle::Draining };
    let entry = NodeEntry { instance_id: "n".into(), ..entry(7, address.port(), lifecycle) };
    Node::from_entry(EndpointId(1), address, &entry, &rules(), 0)
}

/// A permit for a new node.
pub(crate) fn permit(open: bool, wait: Duration, memory: Option<Duration>) -> Rc<SendPermit> {
    let now = Instant::now();
    let node = Rc::new(node(SocketAddr::from(([127, 0, 0, 1], 1)), open));
    let wait = Rc::new(Cell::new(now + wait));
    let not_after = memory.map(|left| now + left);
    let (lease, tries) = (Rc::new(LeaseClock::new(now, ListSource::File)), Metrics::new(&[]).tries());
    Rc::new(SendPermit::new(node, wait, lease, not_after, None, tries))
}

#[test]
fn no_claim_is_sent_to_a_draining_node_during_a_wait_or_after_an_earlier_claim_is_forgotten() {
    let (none, long) = (Duration::ZERO, Duration::from_secs(9));
    assert!(permit(true, none, None).may_begin());
    assert!(permit(true, none, Some(long)).may_begin());
    assert!(!permit(false, none, None).may_begin());
    assert!(!permit(true, long, None).may_begin());
    assert!(!permit(true, none, Some(none)).may_begin());
}

struct NoTransport;

impl Transport for NoTransport {
    async fn claim(&self, _: &Job, _: &Node, _: Duration, _: &Rc<SendPermit>) -> Outcome {
        Outcome::NotSent
    }

    async fn notify(&self, _: &FinalNotice) -> Result<(), String> {
        Ok(())
    }

    fn close_idle(&self, _: &Node) {}

    fn node_removed(&self, _: &Node) {}
}

fn rules() -> Rules {
    Rules { settings: slatethread::Settings::default(), names: Default::default() }
}

fn core(folder: &std::path::Path) -> Rc<Core<NoTransport>> {
    core_with(folder, ListSource::File)
}

fn core_with(folder: &std::path::Path, source: ListSource) -> Rc<Core<NoTransport>> {
    let (journal, _) = open_journal(folder, 1_000_000).expect("it opens");
    let stored = StoredState { journal, disabled: DisabledNodes::open(folder) };
    Core::new(NoTransport, source, rules(), None, 1, stored, Metrics::new(&[]))
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

/// Applies a list; returns the updates for the decision module in their order, as numbers and conditions.
async fn apply(
    core: &Core<NoTransport>,
    reset: bool,
    entries: Vec<NodeEntry<'static>>,
) -> Vec<(u32, Condition)> {
    let mut list = NodeList::from_entries(entries);
    list.reset = reset;
    core.apply_list(&list).await;
    let events = std::mem::take(&mut core.state.borrow_mut().inbox);
    let updates = events.into_iter().flat_map(|event| match event {
        Event::List { scope: ListScope::Patch, entries } => entries,
        other => panic!("{other:?}"),
    });
    updates.map(|e| (e.id.0, e.condition)).collect()
}

/// The address of discovery may have changed even if the settings are not applied.
#[test]
fn a_reload_shortens_the_list_lease_even_if_the_settings_are_not_applied() {
    let folder = tempfile::tempdir().expect("a folder");
    for class in [None, Some("another")] {
        let core = core_with(folder.path(), ListSource::Polled { poll_interval: 10_000_000_000 });
        core.restore_list_lease(None, Some(ListConfirmation { generation: 1, age: Duration::ZERO }));
        let left = || core.lease_clock.end().expect("it ends") - Instant::now();
        assert!(left() > Duration::from_secs(5));
        let mut rules = (*core.rules()).clone();
        rules.names.classes.extend(class.map(str::to_owned));
        core.apply_rules(rules, 1_000_000);
        assert!(left() < Duration::from_secs(5), "{class:?}");
    }
}

#[test]
fn the_decision_module_receives_only_changes_and_closures_first() {
    use Condition::*;
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        let all = |count| (0..count).map(|n| entry(n, 1, Lifecycle::Serving)).collect::<Vec<_>>();
        assert_eq!(apply(&core, true, all(2500)).await.len(), 2500);
        assert!(apply(&core, true, all(2500)).await.is_empty(), "nothing has changed");
        let mut fewer = all(2498);
        fewer[2000] = entry(2000, 1, Lifecycle::Draining);
        fewer[0] = entry(0, 2, Lifecycle::Serving);
        let mut updates = apply(&core, true, fewer).await;
        updates[1..3].sort_by_key(|(id, _)| *id);
        // The draining node and the removed ones, then the node that moved, as a new one.
        assert_eq!(
            updates,
            [(2001, Draining), (2499, Removed), (2500, Removed), (1, Removed), (2501, Active)]
        );
        assert!(core.knows_destination(2498), "its last node was removed only recently");
        let deleted = vec![entry(5, 1, Lifecycle::Deleted), entry(9999, 1, Lifecycle::Deleted)];
        assert_eq!(apply(&core, false, deleted).await, [(6, Removed)]);
        // A weight is updated in place: pending claims refer to this instance.
        let node = core.state.borrow().nodes.by_name("n7").cloned().expect("listed");
        let heavier = NodeEntry { weight: Some(3.0), ..entry(7, 1, Lifecycle::Serving) };
        assert_eq!(apply(&core, false, vec![heavier]).await, [(8, Active)]);
        assert_eq!(node.weight(), Some(3.0));
        apply(&core, false, vec![entry(7, 1, Lifecycle::Draining)]).await;
        assert!(!node.accepts_claims());
    });
}

#[test]
fn a_disabled_node_drains_whatever_the_list_says_and_counts_as_just_started_once_enabled() {
    use Condition::*;
    use Lifecycle::*;
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        let list = |lifecycle| vec![entry(1, 1, lifecycle), entry(2, 1, Serving)];
        apply(&core, true, list(Serving)).await;
        let updates = || {
            let events = std::mem::take(&mut core.state.borrow_mut().inbox);
            let entries = events.into_iter().flat_map(|event| match event {
                Event::List { entries, .. } => entries,
                other => panic!("{other:?}"),
            });
            entries.map(|e| (e.id.0, e.condition, e.started > 0)).collect::<Vec<_>>()
        };
        assert!(matches!(core.set_disabled("n9", true), Err(SetDisabledError::Unknown)));
        assert!(matches!(core.set_disabled("n9", false), Err(SetDisabledError::Unknown)));
        core.set_disabled("n1", true).expect("listed");
        core.set_disabled("n1", true).expect("listed");
        assert_eq!(updates(), [(1, Condition::Draining, false)]);
        // It stays disabled across lists, its removal and return, and a restart of this process.
        assert_eq!(apply(&core, true, list(Serving)).await, []);
        assert_eq!(apply(&core, true, list(Lifecycle::Draining)).await, [(1, Condition::Draining)]);
        assert_eq!(apply(&core, false, vec![entry(1, 1, Deleted)]).await, [(1, Removed)]);
        assert_eq!(apply(&core, false, list(Serving)).await, [(3, Condition::Draining)]);
        // As when the process exits: the folder is released.
        core.journal.borrow_mut().close();
        let after = self::core(folder.path());
        assert_eq!(apply(&after, true, list(Serving)).await, [(1, Condition::Draining), (2, Active)]);
        core.set_disabled("n1", false).expect("disabled");
        core.set_disabled("n1", false).expect("listed");
        core.set_disabled("n2", false).expect("listed");
        assert_eq!(updates(), [(3, Active, true)]);
    });
}

#[test]
fn state_of_removed_destinations_is_pruned() {
    let folder = tempfile::tempdir().expect("a folder");
    actix_rt::System::new().block_on(async {
        let core = core(folder.path());
        for n in 0..3000 {
            apply(&core, true, vec![entry(n, 1, Lifecycle::Serving)]).await;
            let node = core.state.borrow().nodes.by_name(&format!("n{n}")).cloned().expect("listed");
            let wait = core.wait_end(&node);
            // One wait in a thousand has not ended.
            let until = if n % 1000 == 7 { Duration::from_secs(60) } else { Duration::ZERO };
            wait.set(Instant::now() + until);
        }
        let state = core.state.borrow();
        assert!(state.waits.len() < 200, "{}", state.waits.len());
        assert!([7, 1007, 2007].iter().all(|dest| state.waits.contains_key(&(*dest, None))));
        assert_eq!((state.nodes.by_id.len(), state.nodes.by_name.len(), state.nodes.dests.len()), (1, 1, 1));
    });
}
