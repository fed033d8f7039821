//! The backlog of a relay: messages that cannot be sent soon are stored on disk instead of in memory.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod encoding;
pub mod folder;
pub mod lane_table;
pub mod lsm_store;
pub mod memory_store;
pub mod message;
pub mod planner;
pub mod store;
pub mod worker;
