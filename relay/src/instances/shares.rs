//! Limits that a front divides among the instances that are there. How many are counted is [`InstanceCount`]'s decision.
use onyxglade_instances::InstanceCount;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

use super::Instances;
use crate::core::{Carrier, Core};

/// When nobody is counted who is not there.
const FAR_OFF: Duration = Duration::from_secs(3600);

/// Divides what a front sends among those that are there, as they come and go. At first as many are counted as the settings tell.
pub async fn divide<C: Carrier>(core: Rc<Core<C>>, instances: Rc<Instances>) {
    let mut members = instances.members.subscribe();
    let told = core.rules().settings.couriers.unwrap_or(1);
    let mut count = InstanceCount::new(told, instances.begun.elapsed());
    let mut before = 0;
    loop {
        let there = members.borrow_and_update().len() + 1;
        let now = instances.begun.elapsed();
        count.set_alive(now, u32::try_from(there).unwrap_or(u32::MAX));
        let counted = count.effective(now);
        if std::mem::replace(&mut before, counted) != counted {
            tracing::info!(there, counted, "instances: limits are divided");
            instances.counted.set(Some(counted));
            core.divide_limits(counted);
        }
        let due = instances.begun + count.due().unwrap_or(now + FAR_OFF);
        tokio::select! {
            // Its sender is held by the instances.
            _ = members.changed() => {}
            () = sleep_until(due.into()) => {}
        }
    }
}
