//! This node's copy of the keys that all controllers share.

use crate::records::{self, LeaderRecord, MachineTypesRecord, TermRecord};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{RangePage, Value, WatchBatch, WatchEvent, decode_value};
use std::rc::Rc;

/// The keys under [`records::SHARED`], as last read or watched.
#[derive(Debug, Default)]
pub(super) struct SharedKeys {
    /// The store's revision up to which they are known.
    pub revision: u64,
    pub leader: Option<LeaderRecord>,
    /// The highest term seen.
    pub term: u64,
    pub term_version: u64,
    pub machine_types: Option<Rc<Vec<MachineType>>>,
    pub machine_types_version: u64,
}

impl SharedKeys {
    /// Replaces everything that a full read contains.
    pub fn apply_read(&mut self, page: &RangePage) {
        self.revision = page.revision;
        self.leader = None;
        for row in &page.rows {
            match row.key.as_str() {
                records::LEAD => self.leader = row.decode_value(),
                records::TERM => {
                    if let Some(record) = row.decode_value::<TermRecord>() {
                        (self.term, self.term_version) = (record.term, row.version);
                    }
                }
                records::TYPES => {
                    self.machine_types = row
                        .decode_value::<MachineTypesRecord>()
                        .map(|record| Rc::new(record.types));
                    self.machine_types_version = row.version;
                }
                _ => {}
            }
        }
    }

    /// Applies what has changed since the known revision.
    pub fn apply_changes(&mut self, changes: WatchBatch) {
        // The watch's connection may have been slow, and all keys been read meanwhile:
        // what is older than that read was once taken for news, and a leader whose key had
        // been deleted before for the present one, of whom nothing is heard any more.
        let known = self.revision;
        self.revision = known.max(changes.revision);
        for event in changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } if version > known => self.apply_put(&key, &value, version),
                WatchEvent::Delete { key, version } if version > known => {
                    if key == records::LEAD {
                        self.leader = None;
                    }
                }
                WatchEvent::Put { .. } | WatchEvent::Delete { .. } => {}
            }
        }
    }

    fn apply_put(&mut self, key: &str, value: &Value, version: u64) {
        match key {
            records::LEAD => self.leader = decode_value(value),
            records::TERM => {
                if let Some(record) = decode_value::<TermRecord>(value)
                    && version > self.term_version
                {
                    (self.term, self.term_version) = (record.term, version);
                }
            }
            records::TYPES => {
                if let Some(record) = decode_value::<MachineTypesRecord>(value) {
                    self.machine_types = Some(Rc::new(record.types));
                }
                self.machine_types_version = version;
            }
            _ => {}
        }
    }
}
