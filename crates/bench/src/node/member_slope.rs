//! The membership core against members, edits, marks and cells.

use {
    crate::node::{
        member_fleet::MemberFleet,
        node_report::{SlopePoint, SlopeSeries},
        process_usage::ProcessUsage,
    },
    peer::{CellSummary, MemberEvent, MemberSettings},
    route::load_report::LeavingCause,
    std::time::Duration,
};

const SETTLE: Duration = Duration::from_secs(20);
/// The news of the start of each member goes round for so long.
const SETTLE_EACH: Duration = Duration::from_millis(150);
const STEP: Duration = Duration::from_secs(1);
const ZONE_SIZE: usize = 107;

/// What goes on in a fleet while it is measured, a second over the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
struct FleetLoad {
    cells_per_member: usize,
    edits: usize,
    marks: usize,
}

/// How long each point is measured, in virtual seconds.
#[derive(Clone, Copy, Debug)]
pub struct MemberSlope {
    /// The greatest number of members.
    pub most_members: usize,
    /// Virtual seconds a point.
    pub seconds: usize,
}

impl MemberSlope {
    /// All series of the membership core.
    pub fn run(&self) -> Vec<SlopeSeries> {
        vec![
            self.by_members(),
            self.by_neighbours(),
            self.by_edits(),
            self.by_marks(),
            self.by_cells(),
        ]
    }

    fn by_members(&self) -> SlopeSeries {
        let mut points = Vec::new();
        for members in [8, 54, 107, 214, 428, 749, 1_498] {
            if members > self.most_members {
                continue;
            }
            let load = FleetLoad::default();
            points.push(self.measure(members as f64, members, 8, load));
        }
        SlopeSeries::new("membership core", "members", points)
    }

    fn by_neighbours(&self) -> SlopeSeries {
        let mut points = Vec::new();
        for neighbours in [4, 8, 16, 106] {
            let load = FleetLoad::default();
            points.push(self.measure(neighbours as f64, ZONE_SIZE, neighbours, load));
        }
        SlopeSeries::new("membership core, 107 members", "neighbours", points)
    }

    fn by_edits(&self) -> SlopeSeries {
        let mut points = Vec::new();
        for edits in [0, 1, 4, 8] {
            let load = FleetLoad {
                edits,
                ..FleetLoad::default()
            };
            points.push(self.measure(edits as f64, 4 * ZONE_SIZE, 8, load));
        }
        SlopeSeries::new("membership core, 428 members", "edits a second", points)
    }

    fn by_marks(&self) -> SlopeSeries {
        let mut points = Vec::new();
        for marks in [0, 1, 4, 16] {
            let load = FleetLoad {
                marks,
                ..FleetLoad::default()
            };
            points.push(self.measure(marks as f64, 4 * ZONE_SIZE, 8, load));
        }
        SlopeSeries::new("membership core, 428 members", "marks a second", points)
    }

    fn by_cells(&self) -> SlopeSeries {
        let mut points = Vec::new();
        for cells_per_member in [0, 1, 2] {
            let load = FleetLoad {
                cells_per_member,
                ..FleetLoad::default()
            };
            points.push(self.measure(cells_per_member as f64, ZONE_SIZE, 8, load));
        }
        SlopeSeries::new("membership core, 107 members", "cells a member", points)
    }

    fn measure(&self, size: f64, members: usize, neighbours: usize, load: FleetLoad) -> SlopePoint {
        let settings = MemberSettings::builder()
            .neighbour_limit(neighbours)
            .build();
        let before = ProcessUsage::now();
        let mut fleet = MemberFleet::new(members, members.div_ceil(ZONE_SIZE), &settings);
        fleet.begin();
        fleet.run(SETTLE + SETTLE_EACH * members as u32);
        let held = ProcessUsage::now().resident.saturating_sub(before.resident);
        let counts = fleet.counts;
        let start = ProcessUsage::now();
        let mut spread = Spread::default();
        for second in 0..self.seconds {
            step(&mut fleet, second, load, &mut spread);
        }
        let processor = ProcessUsage::now().processor_since(&start);
        let node_seconds = (members * self.seconds) as f64;
        let heard = fleet.core(members - 1).heard().count();
        SlopePoint::new(
            size,
            [
                (
                    "bytes_sent_per_s",
                    (fleet.counts.bytes - counts.bytes) as f64 / node_seconds,
                ),
                ("heard", heard as f64),
                (
                    "messages_sent_per_s",
                    (fleet.counts.messages - counts.messages) as f64 / node_seconds,
                ),
                (
                    "processor_us_per_s",
                    processor.as_secs_f64() * 1e6 / node_seconds,
                ),
                ("resident_kb", held as f64 / members as f64 / 1e3),
                ("spread_edit_ms", spread.edit.as_secs_f64() * 1e3),
                ("spread_mark_ms", spread.mark.as_secs_f64() * 1e3),
            ],
        )
    }
}

/// The longest times that news took to every member.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    edit: Duration,
    mark: Duration,
}

/// One virtual second with its edits, marks and summaries evenly in it.
fn step(fleet: &mut MemberFleet, second: usize, load: FleetLoad, spread: &mut Spread) {
    let events = load
        .edits
        .max(load.marks)
        .max(2 * usize::from(load.cells_per_member > 0))
        .max(1);
    let part = STEP / events as u32;
    for event in 0..events {
        let index = (second * 131 + event * 37) % fleet.len();
        let begun = fleet.now();
        if event < load.edits {
            fleet.edit(index);
        }
        if event < load.marks {
            let upstream = format!("engine-{second:04}-{event:02}").into();
            let cause = Some(LeavingCause::Failed);
            fleet.feed(index, MemberEvent::Mark { cause, upstream });
        }
        for member in 0..fleet.len() {
            summarise(
                fleet,
                member,
                load.cells_per_member,
                second * events + event,
            );
        }
        fleet.run(part);
        if event < load.edits {
            spread.edit = spread
                .edit
                .max(fleet.in_force.saturating_duration_since(begun));
        }
        if event < load.marks {
            spread.mark = spread
                .mark
                .max(fleet.marked.saturating_duration_since(begun));
        }
    }
}

fn summarise(fleet: &mut MemberFleet, member: usize, cells: usize, serial: usize) {
    let core = fleet.core(member);
    let by = core.instance().clone();
    let zone = core.members().get(&by).map(|record| record.zone.clone());
    let Some(zone) = zone else {
        return;
    };
    for cell in 0..cells {
        let summary = CellSummary {
            by: by.clone(),
            cell: format!("{by}/{cell}").into(),
            free_places: 40,
            incarnation: 1_700_000_000_000_000,
            link_bytes: 3_000_000_000,
            queue_length: 17,
            serial: serial as u64 + 1,
            zone: zone.clone(),
        };
        fleet.feed(member, MemberEvent::Cell(summary));
    }
}
