//! Which prompt parts explain the crashes of back ends.
//!
//! The part at fault is among the parts of some run interrupted by each crash, and no run with it
//! is ever sound. So a part is blamed once it was seen in several crashes, and in more of them than
//! the parts seen beside it; crashes that it explains do not count against others. Parts that were
//! seen in the same crashes only can't be told apart: they are blamed together, and a request is
//! refused if it contains all of them.

use crate::part_record::{COMMON_CAUSE_WINDOW, PartCrash, PartRecord};
use crate::part_report::PartKey;
use crate::record::is_same_crash;
use eiderferry_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Weight of a crash within a moment of the start of a response.
const WEIGHT_AT_START: u32 = 2;
/// Weight of any other crash: most requests that wait at a back end when it crashes are not its cause.
const WEIGHT_BEFORE_START: u32 = 1;
/// Weight from which a part is blamed: three crashes at the start of responses.
const BLAME_WEIGHT: u32 = 3 * WEIGHT_AT_START;
/// Crashes without which no part has this weight.
pub(crate) const MIN_BLAME_CRASHES: usize = 3;
/// Weight from which parts are blamed although others explain as many crashes.
const AMBIGUOUS_BLAME_WEIGHT: u32 = 5 * WEIGHT_AT_START;

/// Parts that explain crashes: one, or several that can't be told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Blame {
    /// The parts, ordered.
    pub parts: Vec<PartKey>,
    /// Number of crashes that they explain.
    pub crash_count: usize,
    pub last_crash: Timestamp,
    /// The only caller to which the blame applies; `None` if it applies to all.
    pub caller: Option<u32>,
}

/// A crash of a back end, observed by any number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashEvent {
    pub back_end: u32,
    pub at: Timestamp,
}

/// The blamed parts, and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attribution {
    pub blames: Vec<Blame>,
    pub explained: Vec<CrashEvent>,
}

/// The distinct crashes in order, and what they show about each part.
struct CrashHistory<'a> {
    records: &'a HashMap<PartKey, PartRecord>,
    events: Vec<CrashEvent>,
    /// The parts involved in each crash, and whether it happened at the start of a response.
    involved: Vec<BTreeMap<PartKey, bool>>,
    /// Numbers of the crashes that count against each part.
    counted: BTreeMap<PartKey, BTreeSet<usize>>,
    /// Parts that are blamed, alone or together.
    blamed: Vec<Vec<PartKey>>,
}

impl<'a> CrashHistory<'a> {
    fn new(records: &'a HashMap<PartKey, PartRecord>) -> Self {
        let mut observations: Vec<(PartCrash, PartKey)> = records
            .iter()
            .flat_map(|(part, record)| record.crashes().iter().map(|crash| (*crash, *part)))
            .collect();
        observations.sort_unstable_by_key(|(crash, part)| (crash.at, crash.back_end, *part));
        let mut events: Vec<CrashEvent> = Vec::new();
        let mut involved: Vec<BTreeMap<PartKey, bool>> = Vec::new();
        let mut last_event: HashMap<u32, usize> = HashMap::new();
        for (crash, part) in observations {
            let known = last_event.get(&crash.back_end).copied().filter(|number| {
                let event: CrashEvent = events[*number];
                is_same_crash(event.back_end, event.at, crash.back_end, crash.at)
            });
            let number = known.unwrap_or_else(|| {
                events.push(CrashEvent {
                    back_end: crash.back_end,
                    at: crash.at,
                });
                involved.push(BTreeMap::new());
                last_event.insert(crash.back_end, events.len() - 1);
                events.len() - 1
            });
            *involved[number].entry(part).or_default() |= crash.is_at_start;
        }
        Self {
            records,
            events,
            involved,
            counted: BTreeMap::new(),
            blamed: Vec::new(),
        }
    }

    /// Whether parts that are already blamed explain a crash.
    fn is_explained(&self, number: usize) -> bool {
        let involved = &self.involved[number];
        let mut blamed = self.blamed.iter();
        blamed.any(|parts| parts.iter().all(|part| involved.contains_key(part)))
    }

    /// Weight of the crashes that count against a part.
    fn weight(&self, part: PartKey) -> u32 {
        let mut weight = 0;
        let mut counted: Option<(Timestamp, u32)> = None;
        for number in self.counted.get(&part).into_iter().flatten() {
            let at = self.events[*number].at;
            let own = match self.involved[*number].get(&part) {
                Some(true) => WEIGHT_AT_START,
                _ => WEIGHT_BEFORE_START,
            };
            let (first, before) = counted
                .filter(|(first, _)| at.since(*first) < COMMON_CAUSE_WINDOW)
                .unwrap_or((at, 0));
            let larger = own.max(before);
            weight += larger - before;
            counted = Some((first, larger));
        }
        weight
    }

    /// Counts a crash against the parts involved in it, and blames those that it gives enough
    /// weight.
    fn examine(&mut self, number: usize) {
        if self.is_explained(number) {
            return;
        }
        let involved: Vec<PartKey> = self.involved[number].keys().copied().collect();
        for part in &involved {
            self.counted.entry(*part).or_default().insert(number);
        }
        let weights = involved.iter().map(|part| (self.weight(*part), *part));
        let weights: Vec<(u32, PartKey)> = weights.collect();
        let top = weights.iter().map(|(weight, _)| *weight).max();
        let Some(top) = top.filter(|top| *top >= BLAME_WEIGHT) else {
            return;
        };
        // Groups of parts by the crashes in which they were seen.
        let mut groups: BTreeMap<&BTreeSet<usize>, Vec<PartKey>> = BTreeMap::new();
        for (_, part) in weights.iter().filter(|(weight, _)| *weight == top) {
            if let Some(counted) = self.counted.get(part) {
                groups.entry(counted).or_default().push(*part);
            }
        }
        if groups.len() > 1 && top < AMBIGUOUS_BLAME_WEIGHT {
            return;
        }
        let groups: Vec<Vec<PartKey>> = groups.into_values().collect();
        for parts in groups {
            self.blame(parts);
        }
    }

    fn blame(&mut self, parts: Vec<PartKey>) {
        if let [part] = parts[..] {
            // It is to blame whatever it occurred together with, and explains its crashes.
            self.blamed.retain(|blamed| !blamed.contains(&part));
            let involved = &self.involved;
            for (other, counted) in &mut self.counted {
                if *other != part {
                    counted.retain(|number| !involved[*number].contains_key(&part));
                }
            }
        }
        self.blamed.push(parts);
    }

    fn attribution(self) -> Attribution {
        let explained: Vec<usize> = (0..self.events.len())
            .filter(|number| self.is_explained(*number))
            .collect();
        let blames = self.blamed.iter().map(|parts| {
            let involves_all = |number: &&usize| {
                let involved = &self.involved[**number];
                parts.iter().all(|part| involved.contains_key(part))
            };
            let crashes = explained.iter().filter(involves_all);
            let last_crash = crashes.clone().map(|number| self.events[*number].at).max();
            Blame {
                parts: parts.clone(),
                crash_count: crashes.count(),
                last_crash: last_crash.unwrap_or_default(),
                caller: self.only_caller(parts),
            }
        });
        Attribution {
            blames: blames.collect(),
            explained: explained
                .iter()
                .map(|number| self.events[*number])
                .collect(),
        }
    }

    /// The only caller under whose requests back ends crashed; `None` if there are several.
    fn only_caller(&self, parts: &[PartKey]) -> Option<u32> {
        let records = parts.iter().filter_map(|part| self.records.get(part));
        let callers: BTreeSet<Option<u32>> = records.map(PartRecord::only_caller).collect();
        let mut callers = callers.into_iter();
        let caller = callers.next().flatten();
        caller.filter(|_| callers.next().is_none())
    }
}

/// Finds the parts that explain the crashes in these records, from the first crash to the last. The
/// result depends on the records alone, so nodes with the same records blame the same parts.
pub(crate) fn attribute_crashes(records: &HashMap<PartKey, PartRecord>) -> Attribution {
    let mut history = CrashHistory::new(records);
    for number in 0..history.events.len() {
        history.examine(number);
    }
    history.attribution()
}
