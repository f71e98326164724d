//! Simulated plain services.

use crate::event::Event;
use crate::requests::RequestStatus;
use crate::world::World;
use eiderferry_admission::{Observation, Outcome};
use eiderferry_node::AttemptEnd;

impl World {
    /// Starts the execution of a service call.
    pub fn execute_service_call(&mut self, request: usize, back_end: usize, attempt: u8) {
        let run = self.back_ends[back_end].run;
        let Some(call) = &self.requests[request].service else {
            return;
        };
        let delay = call.service_time;
        self.schedule(
            delay,
            Event::ServiceCompleted {
                request,
                attempt,
                back_end,
                run,
            },
        );
    }

    /// Handles the response of a service at the entry node.
    pub fn complete_service_call(
        &mut self,
        request: usize,
        attempt: u8,
        back_end: usize,
        run: u32,
    ) {
        let state = &self.requests[request];
        let Some(node) = state.node else {
            return;
        };
        let current = state.attempt.as_ref().is_some_and(|current| {
            current.number == attempt && current.back_end == back_end && !current.stalled
        });
        let alive = self.back_ends[back_end].run == run && self.back_ends[back_end].up;
        if !current
            || !alive
            || state.status != RequestStatus::Open
            || !self.is_running(node, state.node_run)
        {
            return;
        }
        if self.is_paused(node) {
            self.defer_event(
                node,
                Event::ServiceCompleted {
                    request,
                    attempt,
                    back_end,
                    run,
                },
            );
            return;
        }
        let state = &mut self.requests[request];
        let Some(current) = state.attempt.take() else {
            return;
        };
        state.first_token = Some(self.now);
        state.last_token = self.now;
        let observation = Observation {
            outcome: Outcome::Completed,
            tokens: 0,
            first_token: Some(self.now.since(current.started_at)),
            per_token: None,
        };
        self.release_share(request, back_end);
        self.end_request(request, RequestStatus::Completed);
        self.report_attempt_end(request, attempt, AttemptEnd::Completed(observation));
    }
}
