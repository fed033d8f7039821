//! The whole view as one text, for links between instances: what does not fit into a datagram.
//!
//! A link carries frames: the length of what follows (4 bytes, big-endian, at most [`MAX_FRAME_BYTES`]), then a frame as
//! datagrams have it. Its payload is a [`LinkMessage`].
use foca::Member as Known;
use serde::{Deserialize, Serialize};

use crate::Member;
use crate::catalog::ListVersion;
use crate::list_messages::{Heartbeat, ListUpdate};

/// Longest frame on a link, in bytes: a thousand members as long as they may be are a quarter of that.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// What is said on a link. New words come at the end; one that is unknown ends the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Who is there, by your view?
    ViewRequest,
    /// These are, or were a while ago.
    View(View),
    /// This link is to stand: tell on it of the list.
    Subscribe,
    /// See there.
    Heartbeat(Heartbeat),
    /// Tell what is in the list that you hold and not in such a one, or all of it.
    ListRequest(Option<ListVersion>),
    /// See there.
    ListUpdate(ListUpdate),
}

/// All that an instance knows of members, those that went a while ago among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View(pub(crate) Vec<Known<Member>>);

impl View {
    /// Members named, whatever their state.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nobody is named.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl LinkMessage {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values")
    }

    /// From bytes; none where they are no word, more than one, or name a member that cannot be.
    pub fn decode(bytes: &[u8]) -> Option<LinkMessage> {
        let (word, rest) = postcard::take_from_bytes(bytes).ok()?;
        let sound = match &word {
            LinkMessage::View(view) => view.0.iter().all(|known| known.id().is_valid()),
            LinkMessage::ViewRequest
            | LinkMessage::Subscribe
            | LinkMessage::Heartbeat(_)
            | LinkMessage::ListRequest(_)
            | LinkMessage::ListUpdate(_) => true,
        };
        (sound && rest.is_empty()).then_some(word)
    }
}

#[cfg(test)]
mod tests;
