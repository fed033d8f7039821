//! Divides the limits of a front among the live instances. [`InstanceCount`] decides by how many they are divided.
use onyxglade_instances::InstanceCount;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

use super::Instances;
use crate::core::{Core, Transport};

/// Sleep time while [`InstanceCount`] has no pending change.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// Divides the limits of a front among the live instances, and again whenever their number changes. Starts with the number in the
/// settings.
pub async fn divide_limits<C: Transport>(core: Rc<Core<C>>, instances: Rc<Instances>) {
    let mut members = instances.members.subscribe();
    let expected = core.rules().settings.relays.unwrap_or(1);
    let mut count = InstanceCount::new(expected, instances.started_at.elapsed());
    let mut previous = 0;
    loop {
        let live = members.borrow_and_update().len() + 1;
        let now = instances.started_at.elapsed();
        count.set_alive(now, u32::try_from(live).unwrap_or(u32::MAX));
        let counted = count.effective(now);
        if std::mem::replace(&mut previous, counted) != counted {
            tracing::info!(there = live, counted, "instances: dividing the limits of the front");
            instances.limit_divisor.set(Some(counted));
            core.divide_limits(counted);
        }
        let due = instances.started_at + count.due().unwrap_or(now + IDLE_SLEEP);
        tokio::select! {
            // Never fails: `instances` owns the sender.
            _ = members.changed() => {}
            () = sleep_until(due.into()) => {}
        }
    }
}
