//! What a rehearsal plays: users' work and the troubles of its day.

use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

#[derive(Debug, Clone)]
pub enum Fault {
    /// These nodes end and come back.
    Crash {
        nodes: Vec<usize>,
        down: Micros,
    },
    /// One node is not run for a while, then goes on as if nothing had
    /// happened: all that has come in meanwhile waits for it.
    Pause {
        node: usize,
        time: Micros,
    },
    /// Nothing gets across between one node and its siblings.
    CutMesh {
        node: usize,
        time: Micros,
    },
    StateOutage {
        time: Micros,
    },
    /// One node alone is refused by the state service.
    Refused {
        node: usize,
        time: Micros,
    },
    /// One node and the state service: what is sent arrives when it is over.
    CutState {
        node: usize,
        time: Micros,
    },
    /// One node and all workers, with held packets.
    CutWorkers {
        node: usize,
        time: Micros,
    },
    /// A zone's workers and all nodes, with held packets.
    CutZone {
        zone: usize,
        time: Micros,
    },
    /// A zone with its controllers and workers, and everything outside it: other
    /// zones, the state service, the cloud, users. Within the zone all goes on. No zone
    /// given: that of whoever leads.
    CutSite {
        zone: Option<usize>,
        time: Micros,
        cut: Cut,
    },
    /// Some machines stop executing, and go on later.
    Hang {
        machines: usize,
        time: Micros,
    },
    /// Some machines die without a word.
    Die {
        machines: usize,
    },
    /// All spot machines get a notice, or none, and are taken.
    SpotTaken {
        notice: Option<Micros>,
    },
    CloudOutage {
        time: Micros,
    },
    /// Answers get lost, and requests are carried out up to a minute late.
    Flaky {
        time: Micros,
    },
    /// One machine fails whatever it runs.
    Faulty,
    /// Machines rented meanwhile take so many times as long to come up (0: at
    /// once), and one of `never` does not.
    Boots {
        time: Micros,
        factor: u64,
        never: u64,
    },
    /// Users ask eight times as often.
    Storm {
        time: Micros,
    },
    /// The state service refuses one of five requests as too many.
    TooMany {
        time: Micros,
    },
    /// The state service carries requests out up to three seconds after they came, and
    /// answers then.
    SlowState {
        time: Micros,
    },
    /// A third of the transactions gets no answer and is carried out 2 to 12 s later,
    /// after newer ones of the same node.
    LateWrites {
        time: Micros,
    },
    /// Of half of the workers' reports a copy arrives again, from 2 s to well over a
    /// lease later, at any node.
    LateReports {
        time: Micros,
    },
    /// What these machines report arrives; answers and orders to them are lost.
    Deaf {
        machines: usize,
        time: Micros,
    },
    /// These machines, all or those of one zone, open no connection to any node, while
    /// orders reach them.
    Mute {
        machines: usize,
        zone: Option<usize>,
        time: Micros,
    },
    /// So many of a hundred transactions are carried out at once, and only their answer
    /// is lost.
    AnswersLost {
        percent: u8,
        time: Micros,
    },
    /// Of so many of a hundred reports a copy is kept, and arrives at every node just as
    /// the next leader begins.
    ReportsForNext {
        percent: u8,
        time: Micros,
    },
    /// Users ask all nodes within milliseconds, and submit again, right after a job was
    /// accepted, has ended or was confirmed as cancelled.
    CloseLooks {
        time: Micros,
    },
    /// So many of a hundred users cancel right after the acceptance.
    CancelsAtOnce {
        percent: u8,
        time: Micros,
    },
    /// A cancellation, a question and a repeated submission meet the end of the last
    /// task of so many of a hundred jobs.
    CancelsAtEnd {
        percent: u8,
        time: Micros,
    },
    /// Users call off so many jobs that run, within a fifth of a second, while up to
    /// eight of their machines hang.
    CancelsNow {
        jobs: usize,
        hang: Micros,
    },
    /// Users submit unfinished jobs again, also with other content, cancel jobs that are
    /// done, and submit what can't run or lacks a field.
    OddRequests {
        time: Micros,
    },
    /// So many machines of a zone die without a word.
    ZoneDies {
        machines: usize,
        zone: usize,
    },
    /// All nodes end. One is back soon, the others after a while.
    AllEnd {
        back: usize,
        soon: Micros,
        others: Micros,
    },
}

/// In the place of a node's number: whoever leads when the trouble begins.
pub const LEADER: usize = usize::MAX;

impl Fault {
    /// How long it lasts from its beginning; what passes at once lasts for none.
    pub fn lasts(&self) -> Micros {
        match self {
            Fault::Crash { down, .. } => *down,
            Fault::AllEnd { others, .. } => *others,
            Fault::Pause { time, .. }
            | Fault::CutMesh { time, .. }
            | Fault::StateOutage { time }
            | Fault::Refused { time, .. }
            | Fault::CutState { time, .. }
            | Fault::CutWorkers { time, .. }
            | Fault::CutZone { time, .. }
            | Fault::CutSite { time, .. }
            | Fault::Hang { time, .. }
            | Fault::CloudOutage { time }
            | Fault::Flaky { time }
            | Fault::Boots { time, .. }
            | Fault::Storm { time }
            | Fault::TooMany { time }
            | Fault::SlowState { time }
            | Fault::LateWrites { time }
            | Fault::LateReports { time }
            | Fault::CloseLooks { time }
            | Fault::CancelsAtOnce { time, .. }
            | Fault::CancelsAtEnd { time, .. }
            | Fault::CancelsNow { hang: time, .. }
            | Fault::OddRequests { time }
            | Fault::AnswersLost { time, .. }
            | Fault::ReportsForNext { time, .. }
            | Fault::Mute { time, .. }
            | Fault::Deaf { time, .. } => *time,
            Fault::Die { .. } | Fault::ZoneDies { .. } | Fault::Faulty => 0,
            Fault::SpotTaken { notice } => notice.unwrap_or(0),
        }
    }
}

/// When a process ends around one of its calls to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// The call is not carried out.
    Before,
    /// It is carried out, and its answer finds nobody.
    CarriedOut,
    /// Its answer has just been taken in.
    Answered,
}

/// What becomes of messages across a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Held back, and delivered when it is over.
    Held,
    Lost,
    /// What the zone sends gets across; what is sent to it is held back.
    Deaf,
    /// What is sent to the zone gets across; what it sends is held back.
    Mute,
}

/// How users hand in their arrays. Services come by the users' protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Form {
    /// By the users' protocol.
    #[default]
    Native,
    /// The same, under the references that Jobs would have.
    Twin,
    /// As Kubernetes Jobs, but polled and cancelled by the users' protocol: all but
    /// the way in is as with `Twin`.
    Shadow,
    /// As Kubernetes Jobs throughout.
    Objects,
    /// Every second one.
    Mixed,
}

impl Form {
    /// Whether there are objects at all.
    pub fn objects(self) -> bool {
        matches!(self, Form::Shadow | Form::Objects | Form::Mixed)
    }
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub form: Form,
    pub faults: Vec<(Micros, Fault)>,
    pub jobs: usize,
    /// Tasks of the first job, if it is to be a very large array.
    pub large: Option<u32>,
    /// Controllers.
    pub nodes: usize,
    /// How many times as large as usual jobs, limits and the cloud are.
    pub scale: u32,
    /// The limits around the controllers are those of the largest site, and tasks run for
    /// a minute or two.
    pub large_site: bool,
    /// Tells how many bytes are allocated, if whoever plays the day counts them.
    pub allocated: Option<fn() -> usize>,
    /// Pipelines of jobs that wait for others, and since when users have any.
    pub pipelines: usize,
    pub pipelines_from: Micros,
    /// Whoever makes this call to the state service ends, by its number, and is back in a
    /// fifth of a second.
    pub ends_at_call: Option<(u64, Moment)>,
    /// Half of the jobs have two or three tasks, and half of the users cancel.
    pub small: bool,
    /// More jobs are bound to one zone, arrays too, and some run for long.
    pub varied: bool,
    /// Every team has a limit that it meets, of accelerators too.
    pub tight: bool,
    /// From when and for how long jobs of one task come four a second, a quarter of
    /// which is cancelled.
    pub stream: Option<(Micros, Micros)>,
    /// Jobs that wait for one that is cancelled.
    pub herd: Option<u32>,
    /// When the first node is replaced by the new version, and the time between two:
    /// before, all write as the version in production.
    pub upgrade: Option<(Micros, Micros)>,
    /// When the state service lowers its limits.
    pub limits_fall: Option<Micros>,
    /// Users and troubles stop here; the rest is for the work to finish.
    pub busy: Micros,
    pub end: Micros,
}

impl Scenario {
    /// A random day with what the operators met on call added to it: nodes that
    /// stop running, siblings cut off, late machines, storms of polls, refusals.
    /// Drawn apart, so that the days of `random` stay what they were.
    pub fn troubled(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(!seed);
        for _ in 0..rng.usize(2..7) {
            let at = rng.u64(15 * SECOND..scenario.busy - 10 * SECOND);
            let time = rng.u64(2 * SECOND..80 * SECOND);
            let node = rng.usize(..3);
            let fault = match rng.u8(..6) {
                0 | 1 => Fault::Pause { node, time },
                2 => Fault::CutMesh { node, time },
                3 => Fault::Boots {
                    time,
                    factor: rng.u64(..7),
                    never: rng.u64(2..9),
                },
                4 => Fault::Storm { time },
                _ => Fault::TooMany { time },
            };
            scenario.faults.push((at, fault));
        }
        scenario
    }

    /// A random day on which the zone of whoever leads is cut off, in every way, and
    /// others shortly before or meanwhile.
    pub fn cut_off(seed: u64) -> Scenario {
        let mut scenario = Scenario::random(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(32) ^ 0x0c07);
        for _ in 0..rng.usize(1..4) {
            let at = rng.u64(30 * SECOND..scenario.busy - 10 * SECOND);
            let mut cut = |rng: &mut Rng, at, zone| {
                let time = rng.u64(3 * SECOND..90 * SECOND);
                let cut = match rng.u8(..6) {
                    0..3 => Cut::Held,
                    3 => Cut::Lost,
                    4 => Cut::Deaf,
                    _ => Cut::Mute,
                };
                scenario
                    .faults
                    .push((at, Fault::CutSite { zone, time, cut }));
            };
            cut(&mut rng, at, None);
            let other = rng.usize(..6);
            if other < 3 {
                let before = rng.u64(..30 * SECOND);
                cut(&mut rng, at - before, Some(other));
            }
        }
        scenario
    }

    /// A troubled day on which nodes are replaced by a new version one after the other,
    /// users begin with pipelines, and the state service lowers its limits.
    pub fn pipelines(seed: u64) -> Scenario {
        let mut scenario = Scenario::troubled(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(11) ^ 0xa3a1);
        let first = rng.u64(10 * SECOND..50 * SECOND);
        let every = rng.u64(SECOND..15 * SECOND);
        let replaced = first + 2 * every;
        let upgraded = rng.u8(..4) > 0;
        if upgraded {
            scenario.upgrade = Some((first, every));
            let fall = rng.u64(replaced + 5 * SECOND..scenario.busy);
            scenario.limits_fall = (rng.u8(..5) > 0).then_some(fall);
            // Large enough for chunks that will not fit any more.
            scenario.large = Some(rng.u32(250..500));
        }
        // Teams of small limits take long over what both bring.
        scenario.end = scenario.busy + 1200 * SECOND;
        scenario.pipelines = rng.usize(2..8);
        scenario.pipelines_from = if upgraded {
            replaced + 4 * SECOND
        } else {
            SECOND
        };
        scenario
    }

    /// A small day on which a process ends at one call to the state service: of three
    /// seeds in a row each has another moment of the same call.
    pub fn ends_at_call(seed: u64) -> Scenario {
        let moments = [Moment::Before, Moment::CarriedOut, Moment::Answered];
        let busy = 40 * SECOND;
        Scenario {
            ends_at_call: Some((seed / 3, moments[(seed % 3) as usize])),
            jobs: 5,
            pipelines: 1,
            small: true,
            busy,
            end: busy + 300 * SECOND,
            ..Scenario::quiet(4)
        }
    }

    /// The gap: whoever leads is refused alone, others confirm cancellations, and then
    /// the state service is out for all for longer than a cancellation may take. A second
    /// one right after.
    pub fn gap(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.rotate_left(7) ^ 0x6a9);
        let mut scenario = Scenario::quiet(seed);
        let mut at = rng.u64(25 * SECOND..60 * SECOND);
        for _ in 0..2 {
            // Sometimes over when the outage begins, sometimes only after it.
            let time = rng.u64(SECOND..20 * SECOND);
            let alone = match rng.bool() {
                true => Fault::Refused { node: LEADER, time },
                false => Fault::CutState { node: LEADER, time },
            };
            let out = at + rng.u64(SECOND / 2..8 * SECOND);
            let outage = rng.u64(20 * SECOND..70 * SECOND);
            scenario.faults.push((at, alone));
            // Some of the others never tell the leader that there is another.
            if rng.bool() {
                let node = LEADER;
                scenario.faults.push((
                    at,
                    Fault::CutMesh {
                        node,
                        time: time + outage,
                    },
                ));
            }
            scenario
                .faults
                .push((out, Fault::StateOutage { time: outage }));
            if rng.u8(..3) == 0 {
                let time = rng.u64(5 * SECOND..30 * SECOND);
                let machines = rng.usize(1..6);
                let fault = match rng.bool() {
                    true => Fault::Hang { machines, time },
                    false => Fault::Deaf { machines, time },
                };
                let at = rng.u64(at.saturating_sub(10 * SECOND)..out + 10 * SECOND);
                scenario.faults.push((at, fault));
            }
            if rng.u8(..3) == 0 {
                let time = rng.u64(10 * SECOND..60 * SECOND);
                scenario.faults.push((out, Fault::CloudOutage { time }));
            }
            // In each order the state service comes back to them.
            if rng.u8(..3) == 0 {
                let time = rng.u64(..10 * SECOND);
                let node = rng.usize(..3);
                scenario
                    .faults
                    .push((out + outage - SECOND, Fault::Refused { node, time }));
            }
            if rng.u8(..4) == 0 {
                let node = [LEADER, 0, 1, 2][rng.usize(..4)];
                let down = SECOND / 5;
                let at = rng.u64(at..out + outage);
                scenario.faults.push((
                    at,
                    Fault::Crash {
                        nodes: vec![node],
                        down,
                    },
                ));
            }
            at = out + outage + rng.u64(SECOND..15 * SECOND);
        }
        scenario.small = true;
        scenario.jobs = rng.usize(16..28);
        scenario.busy = at.max(scenario.busy);
        scenario.end = scenario.busy + 600 * SECOND;
        scenario
    }

    /// A day of random troubles, several at a time.
    pub fn random(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed);
        let busy = Scenario::quiet(seed).busy;
        let faults = (0..rng.usize(4..14))
            .map(|_| {
                let at = rng.u64(15 * SECOND..busy - 10 * SECOND);
                let time = rng.u64(2 * SECOND..50 * SECOND);
                let n = rng.usize(..3);
                let down = rng.u64(SECOND..8 * SECOND);
                let nodes = |nodes: &[usize]| Fault::Crash {
                    nodes: nodes.to_vec(),
                    down,
                };
                let fault = match rng.u8(..13) {
                    0 => nodes(&[n]),
                    1 => nodes(&[n, n + 1]),
                    2 => nodes(&[0, 1, 2]),
                    3 => Fault::StateOutage { time: time / 2 },
                    4 => Fault::Refused { node: n, time },
                    5 => Fault::CutState { node: n, time },
                    6 => Fault::CutWorkers { node: n, time },
                    7 => Fault::CutZone { zone: n, time },
                    8 => Fault::Hang {
                        machines: 2 * n + 1,
                        time,
                    },
                    9 => Fault::SpotTaken {
                        notice: (n > 0).then_some(time / 3),
                    },
                    10 => Fault::CloudOutage { time },
                    11 => Fault::Die { machines: n + 1 },
                    _ => Fault::Flaky { time },
                };
                (at, fault)
            })
            .collect();
        Scenario {
            faults,
            jobs: rng.usize(8..22),
            ..Scenario::quiet(seed)
        }
    }

    /// A day of a large fleet: `scale` times as many machines may be had and tasks are
    /// handed in as on other days. Leaders end, each of them as the fleet has grown; the
    /// state service is out until every lease of the fleet has ended; a zone is cut off.
    pub fn large_fleet(seed: u64, scale: u32) -> Scenario {
        let leader_ends = |at, down| {
            let nodes = vec![LEADER];
            (at, Fault::Crash { nodes, down })
        };
        // Leases last 14 s, and reports are answered for 26 s without a read.
        let outage = Fault::StateOutage { time: 50 * SECOND };
        let cut = Fault::CutZone {
            zone: 1,
            time: 30 * SECOND,
        };
        Scenario {
            faults: vec![
                leader_ends(70 * SECOND, SECOND / 5),
                leader_ends(90 * SECOND, 3 * SECOND),
                (100 * SECOND, outage),
                leader_ends(120 * SECOND, SECOND),
                leader_ends(160 * SECOND, SECOND),
                (170 * SECOND, cut),
                leader_ends(180 * SECOND, SECOND),
            ],
            jobs: 70,
            scale,
            large_site: true,
            ..Scenario::quiet(seed)
        }
    }

    /// A day without troubles, to start from.
    pub fn quiet(seed: u64) -> Scenario {
        let busy = 200 * SECOND;
        Scenario {
            seed,
            form: Form::Native,
            faults: Vec::new(),
            jobs: 14,
            large: None,
            nodes: 3,
            scale: 1,
            large_site: false,
            allocated: None,
            pipelines: 0,
            pipelines_from: SECOND,
            ends_at_call: None,
            small: false,
            varied: false,
            tight: false,
            stream: None,
            herd: None,
            upgrade: None,
            limits_fall: None,
            busy,
            end: busy + 500 * SECOND,
        }
    }
}
