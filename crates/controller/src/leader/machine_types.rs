//! The machine types that the cloud offers, and their stored record.

use dillcleat_wire::cloud::MachineType;
use std::rc::Rc;

/// The machine types as they are stored.
#[derive(Debug, Clone, Default)]
pub struct VersionedMachineTypes {
    /// The machine types; `None` if there is no record.
    pub types: Option<Rc<Vec<MachineType>>>,
    /// The version of the record; 0 if there is none.
    pub version: u64,
}

/// The machine types that the cloud or the store reported last.
#[derive(Debug)]
pub(super) struct MachineTypeCatalog {
    /// The machine types; `None` until they are known.
    types: Option<Rc<Vec<MachineType>>>,
    /// Whether the stored record matches the types, apart from prices.
    is_stored: bool,
    /// The version of the stored record; 0 if there is none.
    record_version: u64,
}

impl MachineTypeCatalog {
    pub fn new(record: VersionedMachineTypes) -> MachineTypeCatalog {
        MachineTypeCatalog {
            is_stored: record.types.is_some(),
            record_version: record.version,
            types: record.types,
        }
    }

    /// The machine types; `None` until they are known.
    pub fn types(&self) -> Option<&Vec<MachineType>> {
        self.types.as_deref()
    }

    /// A shared copy of the machine types, for use while the leader is borrowed mutably.
    pub fn shared(&self) -> Option<Rc<Vec<MachineType>>> {
        self.types.clone()
    }

    /// Iterates over the machine types; empty until they are known.
    pub fn iter(&self) -> impl Iterator<Item = &MachineType> {
        self.types().into_iter().flatten()
    }

    /// Sets the types that the cloud offers. Returns whether their record has to be written.
    pub fn update(&mut self, types: Rc<Vec<MachineType>>) -> bool {
        // Prices change often and don't affect the validation of submissions, so they alone
        // don't cause a write.
        let known = self.types();
        let is_stored = self.is_stored && known.is_some_and(|known| same_machines(known, &types));
        self.types = Some(types);
        self.is_stored = is_stored;
        !is_stored
    }

    /// The version of the stored record, which a write of it compares.
    pub fn record_version(&self) -> u64 {
        self.record_version
    }

    /// Sets the version of the record after it was found to have changed.
    pub fn set_record_version(&mut self, version: u64) {
        self.record_version = version;
    }

    /// Records that the types were written with this version.
    pub fn record_written(&mut self, version: u64) {
        self.is_stored = true;
        self.record_version = version;
    }
}

/// Whether two lists offer the same machines in the same zones, ignoring prices.
fn same_machines(old: &[MachineType], new: &[MachineType]) -> bool {
    old.len() == new.len()
        && old.iter().zip(new).all(|(old, new)| {
            (&old.name, old.cpus, old.gpus, old.memory_gb, &old.zones)
                == (&new.name, new.cpus, new.gpus, new.memory_gb, &new.zones)
        })
}
