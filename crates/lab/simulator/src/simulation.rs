//! Simulation loop on top of the discrete-event simulation library `nexosim`.
//!
//! The whole fleet is a single `nexosim` model, because its parts share too much state to be
//! separate models: every message passes through the simulated network. The library keeps the
//! virtual time and the order of events; running on one thread makes that order total.

use crate::entry_logic::Policy;
use crate::event::Event;
use crate::report::Report;
use crate::scenario::{Scenario, ScenarioError};
use crate::world::World;
use eiderferry_types::{Span, Timestamp};
use nexosim::model::{Context, Model, schedulable};
use nexosim::ports::EventSource;
use nexosim::simulation::{Mailbox, SimInit};
use nexosim::time::MonotonicTime;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

quick_error! {
    /// Reason why a simulation could not be run.
    #[derive(Debug)]
    pub enum SimulationError {
        /// The scenario is invalid.
        Scenario(cause: ScenarioError) {
            from()
            display("{cause}")
        }
        /// The simulation library failed.
        Library(cause: String) {
            display("simulation library failed: {cause}")
        }
    }
}

/// The simulated world and its pending events.
struct SimulationDriver {
    world: World,
    pending_events: BTreeMap<u64, Event>,
    last_event_id: u64,
}

impl SimulationDriver {
    /// Stores the events that the world has scheduled; returns their delays and identifiers.
    fn take_scheduled(&mut self) -> Vec<(Span, u64)> {
        let mut scheduled = Vec::new();
        for (delay, event) in self.world.take_scheduled() {
            self.last_event_id += 1;
            self.pending_events.insert(self.last_event_id, event);
            scheduled.push((delay, self.last_event_id));
        }
        scheduled
    }
}

/// The only `nexosim` model of the simulation.
#[derive(Serialize, Deserialize, Default)]
struct Fleet {
    #[serde(skip)]
    driver: Arc<Mutex<Option<SimulationDriver>>>,
}

#[Model]
impl Fleet {
    /// Handles a due event; the event with identifier zero starts the world.
    #[nexosim(schedulable)]
    async fn handle_event(&mut self, event_id: u64, context: &Context<Self>) {
        let mut guard = self.driver.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(driver) = guard.as_mut() else {
            return;
        };
        let now = to_timestamp(context.time());
        match driver.pending_events.remove(&event_id) {
            Some(event) => driver.world.handle(now, event),
            None => driver.world.start(now),
        }
        for (delay, event_id) in driver.take_scheduled() {
            let delay = Duration::from_micros(delay.0.max(1));
            // Scheduling fails only for a delay of zero.
            let _ = context.schedule_event(delay, schedulable!(Self::handle_event), event_id);
        }
    }
}

fn to_timestamp(time: MonotonicTime) -> Timestamp {
    let since = time.duration_since(MonotonicTime::EPOCH);
    Timestamp(since.as_micros() as u64)
}

/// Runs a scenario to its end and reports the results.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Report, SimulationError> {
    let world = World::new(scenario.clone(), policy, seed)?;
    let driver = Arc::new(Mutex::new(Some(SimulationDriver {
        world,
        pending_events: BTreeMap::new(),
        last_event_id: 0,
    })));
    let library_error = |error: String| SimulationError::Library(error);
    let mailbox = Mailbox::new();
    let mut init = SimInit::with_num_threads(1);
    let start = EventSource::new()
        .connect(Fleet::handle_event, &mailbox)
        .register(&mut init);
    let fleet = Fleet {
        driver: driver.clone(),
    };
    let mut simulation = init
        .add_model(fleet, mailbox, "fleet")
        .init(MonotonicTime::EPOCH)
        .map_err(|error| library_error(error.to_string()))?;
    simulation
        .process_event(&start, 0)
        .map_err(|error| library_error(error.to_string()))?;
    let duration = Duration::from_secs_f64(scenario.duration_seconds);
    simulation
        .step_until(duration)
        .map_err(|error| library_error(error.to_string()))?;
    let finished = driver.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut driver) = finished else {
        return Err(library_error("simulation state is missing".into()));
    };
    Ok(driver.world.report())
}
