//! Ordered sets of machines with free CPUs.

use crate::resources::to_millionths;
use crate::views::{MachineIndex, MachineView};
use std::collections::BTreeSet;

/// A pair of values, one for on-demand and one for spot machines.
#[derive(Debug, Default)]
pub(crate) struct PerMachineKind<T> {
    on_demand: T,
    spot: T,
}

impl<T> PerMachineKind<T> {
    pub fn of(&self, spot: bool) -> &T {
        if spot { &self.spot } else { &self.on_demand }
    }

    pub fn of_mut(&mut self, spot: bool) -> &mut T {
        if spot {
            &mut self.spot
        } else {
            &mut self.on_demand
        }
    }

    /// Iterates over the value for on-demand machines, then that for spot machines.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        [&self.on_demand, &self.spot].into_iter()
    }
}

/// Sorts machines by free CPUs, then by free memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityKey {
    pub cpus_millionths: i64,
    pub memory_gb_millionths: i64,
    pub machine: MachineIndex,
}

impl CapacityKey {
    /// The lower bound of the keys of machines with at least this many free CPUs.
    pub fn min_with_cpus(cpus_millionths: i64) -> CapacityKey {
        CapacityKey {
            cpus_millionths,
            memory_gb_millionths: 0,
            machine: 0,
        }
    }
}

/// Sorts machines by the number of service images that they hold, then by free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceImagesKey {
    pub service_images: u32,
    pub capacity: CapacityKey,
}

impl ServiceImagesKey {
    /// The lower bound of the keys of machines with this many service images and at least this
    /// many free CPUs.
    pub fn min_with(service_images: u32, cpus_millionths: i64) -> ServiceImagesKey {
        ServiceImagesKey {
            service_images,
            capacity: CapacityKey::min_with_cpus(cpus_millionths),
        }
    }
}

/// The position of a machine in the rankings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineRank {
    spot: bool,
    key: ServiceImagesKey,
}

impl MachineRank {
    /// The rank of a machine. Negative free amounts count as zero.
    pub fn of(machine: MachineIndex, view: &MachineView) -> MachineRank {
        let capacity = CapacityKey {
            cpus_millionths: to_millionths(view.free.cpus).max(0),
            memory_gb_millionths: to_millionths(view.free.memory_gb).max(0),
            machine,
        };
        MachineRank {
            spot: view.spot,
            key: ServiceImagesKey {
                service_images: view.service_images,
                capacity,
            },
        }
    }

    pub fn has_free_cpus(&self) -> bool {
        self.cpus_millionths() > 0
    }

    pub fn cpus_millionths(&self) -> i64 {
        self.key.capacity.cpus_millionths
    }
}

/// Machines of one kind (on-demand or spot) in the orders in which they are tried.
#[derive(Debug, Default)]
pub(crate) struct MachineRanking {
    by_capacity: BTreeSet<CapacityKey>,
    /// Contains on-demand machines only, because services do not run on spot machines.
    by_service_images: BTreeSet<ServiceImagesKey>,
}

impl MachineRanking {
    pub fn insert(&mut self, rank: MachineRank) {
        self.by_capacity.insert(rank.key.capacity);
        if !rank.spot {
            self.by_service_images.insert(rank.key);
        }
    }

    /// Removes a machine. `rank` must equal the rank with which it was inserted.
    pub fn remove(&mut self, rank: MachineRank) {
        self.by_capacity.remove(&rank.key.capacity);
        if !rank.spot {
            self.by_service_images.remove(&rank.key);
        }
    }

    pub fn by_capacity(&self) -> &BTreeSet<CapacityKey> {
        &self.by_capacity
    }

    pub fn by_service_images(&self) -> &BTreeSet<ServiceImagesKey> {
        &self.by_service_images
    }

    pub fn len(&self) -> usize {
        self.by_capacity.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_capacity.is_empty()
    }
}
