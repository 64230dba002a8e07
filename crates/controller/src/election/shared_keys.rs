//! This node's copy of the keys that all controllers share.

use crate::records::{self, LeaderRecord, MachineTypesRecord, TermRecord};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{RangePage, Value, WatchBatch, WatchEvent, decode_value};
use std::rc::Rc;

/// The keys with the prefix [`records::SHARED_PREFIX`], as last read or watched.
#[derive(Debug, Default)]
pub(super) struct SharedKeys {
    /// The store revision that this copy reflects.
    pub revision: u64,
    pub leader: Option<LeaderRecord>,
    /// The highest term observed.
    pub term: u64,
    pub term_version: u64,
    pub machine_types: Option<Rc<Vec<MachineType>>>,
    pub machine_types_version: u64,
}

impl SharedKeys {
    /// Replaces this copy by the result of a full read.
    pub fn apply_read(&mut self, page: &RangePage) {
        self.revision = page.revision;
        self.leader = None;
        for row in &page.rows {
            match row.key.as_str() {
                records::LEADER_KEY => self.leader = row.decode_value(),
                records::TERM_KEY => {
                    if let Some(record) = row.decode_value::<TermRecord>() {
                        (self.term, self.term_version) = (record.term, row.version);
                    }
                }
                records::MACHINE_TYPES_KEY => {
                    self.machine_types = row
                        .decode_value::<MachineTypesRecord>()
                        .map(|record| Rc::new(record.types));
                    self.machine_types_version = row.version;
                }
                _ => {}
            }
        }
    }

    /// Applies the changes that are newer than this copy.
    pub fn apply_changes(&mut self, changes: WatchBatch) {
        // A delayed watch response may arrive after a later full read. Older events must
        // be ignored, or else a deleted leader key would reappear.
        let known_revision = self.revision;
        self.revision = known_revision.max(changes.revision);
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } if version > known_revision => self.apply_put(&key, &value, version),
                WatchEvent::Delete { key, version } if version > known_revision => {
                    if key == records::LEADER_KEY {
                        self.leader = None;
                    }
                }
                WatchEvent::Put { .. } | WatchEvent::Delete { .. } => {}
            }
        }
    }

    fn apply_put(&mut self, key: &str, value: &Value, version: u64) {
        match key {
            records::LEADER_KEY => self.leader = decode_value(value),
            records::TERM_KEY => {
                if let Some(record) = decode_value::<TermRecord>(value)
                    && version > self.term_version
                {
                    (self.term, self.term_version) = (record.term, version);
                }
            }
            records::MACHINE_TYPES_KEY => {
                if let Some(record) = decode_value::<MachineTypesRecord>(value) {
                    self.machine_types = Some(Rc::new(record.types));
                }
                self.machine_types_version = version;
            }
            _ => {}
        }
    }
}
