//! Follows the platform's list of execute nodes: the whole list, then a watch that is renewed at once.
//! When to ask again after a failure is the module's decision.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::config::{self, NodeList};
use crate::core::{Carrier, Core};

/// How long a watch is held where nothing changes, as a part of the time in which the settings want the list
/// asked for. Guards against a discovery that goes silent: only the end of a wait shows that.
const WAIT_PART: u32 = 5;
/// How long an answer may take beyond that: discovery handles calls one after another.
const PATIENCE: Duration = Duration::from_secs(2);
/// A longer list is none.
const LONGEST: usize = 8 * 1024 * 1024;

/// Where discovery is, and a client whose connections lead there.
#[derive(Clone)]
pub struct Place {
    pub client: awc::Client,
    pub address: SocketAddr,
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
        let Place { client, address } = place.borrow_and_update().clone();
        tokio::select! {
            // Guards against following the old one to its end, or asking the new one only after a pause.
            Ok(()) = place.changed() => moved = true,
            fault = session(&core, &client, address) => {
                tracing::warn!(fault, "discovery cannot be followed; the module asks again later");
                core.list_broken();
            }
        }
    }
}

/// Ends with what went wrong.
async fn session<C: Carrier>(core: &Core<C>, client: &awc::Client, discovery: SocketAddr) -> String {
    let base = format!("http://{discovery}/v1/endpoints");
    let mut generation = match fetch(client, &base, PATIENCE).await {
        Ok(list) => {
            tracing::info!(
                generation = list.generation,
                nodes = list.instances.len(),
                "list of execute nodes"
            );
            core.take_list(&list, false);
            list.generation
        }
        Err(fault) => return fault,
    };
    loop {
        let wait = core.rules().must_ask_in() / WAIT_PART;
        let watch = format!("{base}?index={generation}&wait={}", wait.as_millis());
        match fetch(client, &watch, wait + PATIENCE).await {
            Ok(list) => {
                generation = list.generation;
                if list.reset || !list.instances.is_empty() {
                    tracing::info!(
                        generation,
                        changes = list.instances.len(),
                        "list of execute nodes changed"
                    );
                    core.take_list(&list, false);
                }
            }
            Err(fault) => return fault,
        }
    }
}

async fn fetch(client: &awc::Client, url: &str, patience: Duration) -> Result<NodeList, String> {
    let call = async {
        let mut response = client.get(url).no_decompress().send().await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let body = response.body().limit(LONGEST).await.map_err(|e| e.to_string())?;
        config::decode(&body)
    };
    timeout(patience, call).await.unwrap_or_else(|_| Err("no answer".into()))
}
