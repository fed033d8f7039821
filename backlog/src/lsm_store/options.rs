//! Options of the storage library. Memory use follows the configured budget, whatever the number of stored
//! messages.
use std::path::Path;

use fjall::config::{FilterPolicy, PartitioningPolicy, PinningPolicy};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, KvSeparationOptions};

use super::{Config, from_fjall};
use crate::store::StoreError;

/// The minimum that the library allows. The journal is read when the store is opened, so this also bounds the time
/// of opening.
pub(super) const JOURNAL_BYTES: u64 = 64 << 20;
/// One thread flushes while the other compacts.
const BACKGROUND_THREADS: usize = 2;
const OPEN_FILES: usize = 128;
/// Values of at least this length are written once to files of their own, and not again with each compaction of
/// their keys.
const SEPARATION_THRESHOLD_BYTES: u32 = 64;
const VALUE_FILE_BYTES: u64 = 16 << 20;
/// A value file is rewritten once this share of it belongs to removed messages.
const STALENESS_THRESHOLD: f32 = 0.5;

/// Opens the database; fails if another process has it open.
pub(super) fn open_database(folder: &Path, config: &Config) -> Result<Database, StoreError> {
    let builder = Database::builder(folder)
        .cache_size(config.memory_bytes / 8)
        .max_journaling_size(JOURNAL_BYTES)
        .max_cached_files(Some(OPEN_FILES))
        .worker_threads(BACKGROUND_THREADS);
    builder.open().map_err(from_fjall)
}

/// Opens a keyspace, or creates it.
pub(super) fn keyspace(
    database: &Database,
    name: &str,
    options: impl FnOnce() -> KeyspaceCreateOptions,
) -> Result<Keyspace, StoreError> {
    database.keyspace(name, options).map_err(from_fjall)
}

/// Options for keys that are read in order. Filters would only take memory, and unpartitioned indexes more than the
/// cache has.
pub(super) fn range_scan_options(buffer_bytes: u64) -> KeyspaceCreateOptions {
    KeyspaceCreateOptions::default()
        .max_memtable_size(buffer_bytes)
        .filter_policy(FilterPolicy::disabled())
        .index_block_partitioning_policy(PartitioningPolicy::all(true))
        .index_block_pinning_policy(PinningPolicy::all(false))
}

/// Options for the messages, which are read in order or by a key that exists.
pub(super) fn message_options(buffer_bytes: u64) -> KeyspaceCreateOptions {
    let values = KvSeparationOptions::default()
        .separation_threshold(SEPARATION_THRESHOLD_BYTES)
        .file_target_size(VALUE_FILE_BYTES)
        .staleness_threshold(STALENESS_THRESHOLD);
    range_scan_options(buffer_bytes).with_kv_separation(Some(values)).expect_point_read_hits(true)
}

/// Options for keys that are mostly looked up without being found: a filter saves the reads, and is itself read
/// through the cache.
pub(super) fn point_lookup_options(buffer_bytes: u64) -> KeyspaceCreateOptions {
    KeyspaceCreateOptions::default()
        .max_memtable_size(buffer_bytes)
        .filter_block_partitioning_policy(PartitioningPolicy::all(true))
        .filter_block_pinning_policy(PinningPolicy::all(false))
        .index_block_partitioning_policy(PartitioningPolicy::all(true))
        .index_block_pinning_policy(PinningPolicy::all(false))
}
