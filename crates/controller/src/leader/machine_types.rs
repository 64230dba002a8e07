//! The machine types that the cloud offers, and their stored record.

use super::*;

/// The machine types, as the cloud or the store told them last.
#[derive(Debug)]
pub(super) struct MachineTypeCatalog {
    /// None until they are known.
    pub types: Option<Rc<Vec<MachineType>>>,
    /// Whether their record holds them.
    pub types_stored: bool,
    /// The version of their record.
    pub types_version: u64,
}

impl MachineTypeCatalog {
    pub fn new(record: VersionedMachineTypes) -> MachineTypeCatalog {
        MachineTypeCatalog {
            types_stored: record.types.is_some(),
            types_version: record.version,
            types: record.types,
        }
    }
}
