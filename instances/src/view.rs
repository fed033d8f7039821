//! Messages on TCP links between instances, among them the whole membership view, which does not fit into a datagram.
//!
//! A link carries frames: the length of what follows (4 bytes, big-endian, at most [`MAX_FRAME_BYTES`]), then an authenticated frame
//! as in a datagram. Its payload is a [`LinkMessage`].
use foca::Member as MemberState;
use serde::{Deserialize, Serialize};

use crate::Member;
use crate::catalog::ListVersion;
use crate::list_messages::{Heartbeat, ListUpdate};

/// Longest frame on a link, in bytes: four times what a thousand members of the greatest size take.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// A message on a link. New variants are added at the end; a receiver that does not know one ends the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Asks for the receiver's membership view.
    ViewRequest,
    /// The sender's membership view, with members that went down a while ago.
    View(View),
    /// Keeps the link open and subscribes to the receiver's list of execute nodes.
    Subscribe,
    /// A heartbeat with the status of the sender's list.
    Heartbeat(Heartbeat),
    /// Asks for the changes of the receiver's list since a version, or for all of it.
    ListRequest(Option<ListVersion>),
    /// A list or the changes to one.
    ListUpdate(ListUpdate),
}

/// All that an instance knows of members, among them those that went down a while ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View(pub(crate) Vec<MemberState<Member>>);

impl View {
    /// The number of members, whatever their state.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl LinkMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values")
    }

    /// Decodes a message; `None` if the bytes are not exactly one message or contain an invalid member.
    pub fn decode(bytes: &[u8]) -> Option<LinkMessage> {
        let (message, remainder) = postcard::take_from_bytes(bytes).ok()?;
        let valid = match &message {
            LinkMessage::View(view) => view.0.iter().all(|member| member.id().is_valid()),
            LinkMessage::ViewRequest
            | LinkMessage::Subscribe
            | LinkMessage::Heartbeat(_)
            | LinkMessage::ListRequest(_)
            | LinkMessage::ListUpdate(_) => true,
        };
        (valid && remainder.is_empty()).then_some(message)
    }
}

#[cfg(test)]
mod tests;
