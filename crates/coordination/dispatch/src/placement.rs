//! Choice of a back end.

use eiderferry_types::Span;

/// Time that a request in another zone is held to cost more, for its bytes.
const OTHER_ZONE: Span = Span::from_milliseconds(250);
/// Time that each running request costs the others of its batch.
const PER_RUNNING: Span = Span::from_milliseconds(4);
/// Time that a full batch costs at least.
const FULL: Span = Span::from_milliseconds(1_000);
/// Time by which the order of preference bends the choice, so that nodes that know
/// nothing of each other place like prompts alike.
const PREFERENCE: Span = Span::from_milliseconds(40);

/// A back end that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected time to the first event there.
    pub first_event: Span,
    /// Requests there.
    pub running: u32,
    /// Requests that run there at once.
    pub slots: u32,
    /// Whether it stands in the node's zone.
    pub is_near: bool,
    /// Well-mixed number that all nodes compute alike for the prompt and back end.
    pub preference: u64,
}

impl Candidate {
    /// What choosing it costs, as a time.
    pub fn cost(&self) -> Span {
        let zone = if self.is_near { 0 } else { OTHER_ZONE.0 };
        let waiting = u64::from(self.running.saturating_sub(self.slots));
        let full = if self.running >= self.slots {
            FULL.0 + waiting * FULL.0 / u64::from(self.slots.max(1))
        } else {
            0
        };
        let preference = (self.preference as f64 / u64::MAX as f64 * PREFERENCE.0 as f64) as u64;
        let batch = u64::from(self.running) * PER_RUNNING.0;
        Span(self.first_event.0 + zone + full + batch + preference)
    }
}

/// Index of the cheapest candidate.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().enumerate();
    costs
        .min_by_key(|(_, candidate)| candidate.cost())
        .map(|(index, _)| index)
}
