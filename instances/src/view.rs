//! The whole view as one text, for links between instances: what does not fit into a datagram.
//!
//! A link carries frames: the length of what follows (4 bytes, big-endian, at most [`LONGEST_FRAME`]), then a frame as
//! datagrams have it. Its payload is a [`Word`].
use foca::Member as Known;
use serde::{Deserialize, Serialize};

use crate::Member;
use crate::catalog::Edition;
use crate::said::{Beat, News};

/// Longest frame on a link, in bytes: a thousand members as long as they may be are a quarter of that.
pub const LONGEST_FRAME: usize = 1024 * 1024;

/// What is said on a link. New words come at the end; one that is unknown ends the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Who is there, by your view?
    Ask,
    /// These are, or were a while ago.
    View(View),
    /// This link is to stand: tell on it of the list.
    Follow,
    /// See there.
    Beat(Beat),
    /// Tell what is in the list that you hold and not in such a one, or all of it.
    Want(Option<Edition>),
    /// See there.
    News(News),
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

impl Word {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values")
    }

    /// From bytes; none where they are no word, more than one, or name a member that cannot be.
    pub fn decode(bytes: &[u8]) -> Option<Word> {
        let (word, rest) = postcard::take_from_bytes(bytes).ok()?;
        let sound = match &word {
            Word::View(view) => view.0.iter().all(|known| known.id().is_sound()),
            Word::Ask | Word::Follow | Word::Beat(_) | Word::Want(_) | Word::News(_) => true,
        };
        (sound && rest.is_empty()).then_some(word)
    }
}

#[cfg(test)]
mod tests;
