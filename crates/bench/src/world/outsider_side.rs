//! Requests of other allocators, which this one hears of by load reports only.

use {
    crate::{
        policies::BenchPolicy,
        world::{reading_state::EngineIndex, virtual_world::VirtualWorld, world_event::WorldEvent},
    },
    rand::RngExt,
    std::time::Duration,
};

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    pub(crate) fn outsider_next(&mut self) {
        let Some(load) = &self.truth.file.outsiders else {
            return;
        };
        let mean = 1.0 / load.per_second;
        let gap = self.draw(mean);
        self.after(gap, WorldEvent::OutsiderComes);
    }

    pub(crate) fn outsider_comes(&mut self) {
        let Some(load) = &self.truth.file.outsiders else {
            return;
        };
        let mean = load.lasts.as_secs_f64();
        let lasts = self.draw(mean);
        let decode = self.outsiders.random_range(0..self.truth.decodes.len());
        self.outsider_next();
        let engine = &mut self.truth.decodes[decode];
        if !engine.alive || !engine.has_place() {
            return;
        }
        engine.held += 1;
        let life = engine.life;
        self.after(lasts, WorldEvent::OutsiderGoes { decode, life });
    }

    pub(crate) fn outsider_goes(&mut self, decode: EngineIndex, life: u64) {
        let engine = &mut self.truth.decodes[decode];
        if engine.life == life {
            engine.held -= 1;
        }
    }

    /// An exponential time. The draws are a generator's of their own, so that every policy meets the same outsiders.
    fn draw(&mut self, mean_seconds: f64) -> Duration {
        let even: f64 = self.outsiders.random();
        Duration::from_secs_f64(-(1.0 - even).ln() * mean_seconds)
    }
}
