//! Follows the platform's list of execute nodes: the whole list, then a watch that is renewed at once.
//! When to ask again after a failure is the module's decision.
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::core::{Carrier, Core};
use crate::list::{ListText, NodeList};

/// How long a watch is held where nothing changes, as a part of the time in which the settings want the list
/// asked for. Guards against a discovery that goes silent: only the end of a wait shows that.
const WAIT_PART: u32 = 5;
/// How long an answer may take beyond that: discovery handles calls one after another.
const PATIENCE: Duration = Duration::from_secs(2);

/// Where discovery is, and a client whose connections lead there.
#[derive(Clone)]
pub struct Place {
    pub client: awc::Client,
    pub address: SocketAddr,
    /// The longest list that is read, in bytes.
    pub list_limit: usize,
}

/// Follows the list whenever the module asks for it, for as long as that goes well, and from its first word on
/// wherever discovery has moved to.
pub async fn follow<C: Carrier>(core: Rc<Core<C>>, mut place: watch::Receiver<Place>) {
    let mut moved = false;
    loop {
        if !std::mem::take(&mut moved) {
            tokio::select! {
                () = core.asked_to_follow() => {}
                Ok(()) = place.changed() => {}
            }
        }
        let now = place.borrow_and_update().clone();
        tokio::select! {
            // Guards against following the old one to its end, or asking the new one only after a pause.
            Ok(()) = place.changed() => moved = true,
            fault = session(&core, &now) => {
                tracing::warn!(fault, "discovery cannot be followed; the module asks again later");
                core.list_broken();
            }
        }
    }
}

/// Ends with what went wrong. A list is taken in while the next watch is already under way, since a watch goes on
/// only if it is renewed at once; but no more than one at a time.
async fn session<C: Carrier>(core: &Rc<Core<C>>, place: &Place) -> String {
    let base = format!("http://{}/v1/endpoints", place.address);
    let mut generation = match fetch(place, &base, PATIENCE).await {
        Ok(list) => {
            let (generation, nodes) = (list.generation, list.len());
            tracing::info!(generation, nodes, "list of execute nodes");
            take(core, list);
            generation
        }
        Err(fault) => return fault,
    };
    loop {
        let wait = core.rules().must_ask_in() / WAIT_PART;
        let watch = format!("{base}?index={generation}&wait={}", wait.as_millis());
        match fetch(place, &watch, wait + PATIENCE).await {
            Ok(list) => {
                generation = list.generation;
                if list.reset || !list.is_empty() {
                    let changes = list.len();
                    tracing::info!(generation, changes, "list of execute nodes changed");
                    core.lists_taken().await;
                    take(core, list);
                }
            }
            Err(fault) => return fault,
        }
    }
}

fn take<C: Carrier>(core: &Rc<Core<C>>, list: NodeList) {
    let core = core.clone();
    actix_rt::spawn(async move { core.take_list(&list).await });
}

async fn fetch(place: &Place, url: &str, patience: Duration) -> Result<NodeList, String> {
    let call = async {
        let mut response = place.client.get(url).no_decompress().send().await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let mut text = ListText::default();
        while let Some(part) = response.next().await {
            let part = part.map_err(|e| e.to_string())?;
            if !text.add(&part, place.list_limit).map_err(|e| e.to_string())? {
                let limit = place.list_limit;
                return Err(format!("the list is longer than idle.list_limit_mb allows ({limit} bytes)"));
            }
        }
        if !text.is_long() {
            return NodeList::read(text);
        }
        // On another thread, so that jobs go on meanwhile.
        let read = spawn_blocking(move || NodeList::read(text)).await;
        read.unwrap_or_else(|e| Err(e.to_string()))
    };
    timeout(patience, call).await.unwrap_or_else(|_| Err("no answer".into()))
}
