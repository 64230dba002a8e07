//! Who is left waiting although a machine has room.

use super::{Checker, Job, Place, Rule};
use dillcleat_controller::{Micros, SECOND};
use dillcleat_wire::TaskName;
use dillcleat_wire::user::JobSpec;
use std::collections::BTreeMap;

/// For so long a job may wait beside room for one of its tasks.
const LEFT: Micros = 90 * SECOND;

/// A machine as it is at a look.
#[derive(Debug, Clone)]
pub struct Room {
    pub place: Place,
    /// CPUs and GPUs that no task takes.
    pub cpus: f64,
    pub gpus: f64,
    /// Its tasks that run, fetch their image or save.
    pub tasks: Vec<TaskName>,
    /// It is up, reports, and is not about to be taken.
    pub takes: bool,
}

/// A job's live tasks by zone.
type Zones<'a> = BTreeMap<&'a str, u32>;

fn fits(spec: &JobSpec, zones: &Zones, room: &Room) -> bool {
    let place = &room.place;
    let types = spec.types.as_ref();
    let there = zones.get(&*place.zone).copied().unwrap_or(0);
    room.takes
        && room.cpus + 1e-6 >= spec.cpus
        && room.gpus + 1e-6 >= spec.gpus
        && types.is_none_or(|t| t.contains(&place.machine_type))
        && spec.zone.as_ref().is_none_or(|z| *z == place.zone)
        && (spec.spot || !place.spot)
        && (!spec.single_zone || zones.keys().all(|z| **z == *place.zone))
        && (!spec.spread || there < spec.tasks.div_ceil(2))
}

impl Checker {
    /// Looks for jobs that are left waiting for long while a machine that fits has room
    /// and their team is under its limit. Before the troubles are over, and of jobs that
    /// fail wherever they run, this tells nothing. `rooms` are all machines.
    pub fn look_for_waiting(&mut self, rooms: &[Room], fails: impl Fn(&str) -> bool, now: Micros) {
        if now < self.troubles_end {
            return;
        }
        let mut live: BTreeMap<&str, (u32, Zones)> = BTreeMap::new();
        for room in rooms {
            for task in &room.tasks {
                let job = self.jobs.get(&task.job);
                if job.is_some_and(|j| j.done.contains(&task.index)) {
                    continue;
                }
                let (count, zones) = live.entry(&task.job).or_default();
                *count += 1;
                *zones.entry(&room.place.zone).or_default() += 1;
            }
        }
        let none = (0, Zones::new());
        let could = |id: &str, job: &Job| {
            let spec = &job.spec;
            let (count, zones) = live.get(id).unwrap_or(&none);
            let waits = spec.tasks > job.done.len() as u32 + count;
            let open = job.accepted.is_some() && !job.cancel_asked && job.done_told.is_none();
            let limit = self.limits.get(&spec.team);
            let under = |limit: &super::Limit| {
                let (cpus, gpus) = self.used(&spec.team, rooms.iter().flat_map(|r| &r.tasks));
                limit.holds(cpus + spec.cpus, gpus + spec.gpus)
            };
            // One before it that is cancelled takes it along.
            let doomed = !spec.depends_on.is_empty() && self.before(id).1;
            waits
                && open
                && !doomed
                && !fails(id)
                && spec.depends_on.iter().all(|id| self.complete(id))
                && limit.is_none_or(under)
                && rooms.iter().any(|room| fits(spec, zones, room))
        };
        let could: Vec<bool> = self.jobs.iter().map(|(id, job)| could(id, job)).collect();
        let mut left = Vec::new();
        for ((id, job), could) in self.jobs.iter_mut().zip(could) {
            let since = could.then(|| *job.could_start.get_or_insert(now));
            job.could_start = since;
            if since.is_some_and(|since| now > since + LEFT) {
                left.push(id.clone());
                job.could_start = None;
            }
        }
        for id in left {
            self.violation(Rule::LeftWaiting, now, format!("{id}: a machine has room"));
        }
    }
}
