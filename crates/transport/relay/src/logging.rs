//! Logging to standard output, bounded and non-blocking.
//!
//! Lines go into a queue that a dedicated thread writes out. A full queue, a slow reader or an
//! exhausted budget drops lines, which are counted and reported. Lines about failures have a budget
//! of their own, so that lines about success don't displace them.

use log::LevelFilter;
use logforth::append::Append;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::{Level, Record};
use logforth::{Diagnostic, Error};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum lines waiting to be written.
const QUEUE_LINES: usize = 4_096;
/// Time between two writes, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Prefix of the log targets that are written; records of libraries are not.
const OWN_TARGET_PREFIX: &str = "eiderferry";

/// Maximum log lines per second.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Lines of level info or below, about success.
    pub info_per_second: u32,
    /// Warnings and errors, about failures.
    pub warnings_per_second: u32,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            info_per_second: 200,
            warnings_per_second: 400,
        }
    }
}

#[derive(Debug)]
struct Window {
    started: Instant,
    info_lines: u32,
    warning_lines: u32,
}

/// A bounded queue of lines with a rate budget.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    budget: LogBudget,
    window: Mutex<Window>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogQueue {
    /// A queue of at most `lines` lines, and its receiving end.
    pub fn new(lines: usize, budget: LogBudget) -> (Self, Receiver<Vec<u8>>) {
        let (sender, receiver) = sync_channel(lines);
        let queue = Self {
            lines: sender,
            budget,
            window: Mutex::new(Window {
                started: Instant::now(),
                info_lines: 0,
                warning_lines: 0,
            }),
            dropped_lines: Arc::default(),
        };
        (queue, receiver)
    }

    /// Returns the number of lines dropped since the last call.
    pub fn drain_dropped_count(&self) -> u64 {
        self.dropped_lines.swap(0, Ordering::Relaxed)
    }

    /// Uses the budget for one line. Returns false, and counts the line as dropped, if the budget
    /// of the current second is used up.
    pub fn try_admit(&self, is_warning: bool) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if window.started.elapsed() >= Duration::from_secs(1) {
            window.started = Instant::now();
            window.info_lines = 0;
            window.warning_lines = 0;
        }
        let (used, limit) = if is_warning {
            (&mut window.warning_lines, self.budget.warnings_per_second)
        } else {
            (&mut window.info_lines, self.budget.info_per_second)
        };
        let is_admitted = *used < limit;
        *used += u32::from(is_admitted);
        if !is_admitted {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Queues a line, or drops it if the queue is full; never blocks.
    pub fn push(&self, line: Vec<u8>) {
        if self.lines.try_send(line).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
struct QueueAppend {
    queue: LogQueue,
    layout: JsonLayout,
}

impl Append for QueueAppend {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !record.target().starts_with(OWN_TARGET_PREFIX) {
            return Ok(());
        }
        let is_warning = record.level() >= Level::Warn;
        if self.queue.try_admit(is_warning) {
            let mut line = self.layout.format(record, diagnostics)?;
            line.push(b'\n');
            self.queue.push(line);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Starts logging to standard output.
pub fn start(budget: LogBudget) {
    let (queue, lines) = LogQueue::new(QUEUE_LINES, budget);
    let dropped_lines = Arc::clone(&queue.dropped_lines);
    let append = QueueAppend {
        queue,
        layout: JsonLayout::default(),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(LevelFilter::Info);
    let writer = std::thread::Builder::new().name("log".to_owned());
    // If the thread can't be started, the queue fills and lines are dropped.
    let _ = writer.spawn(move || write_lines(&lines, &dropped_lines));
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped_lines: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(mut batch) = lines.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
        }
        let count = dropped_lines.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(dropped_lines_record(count).as_bytes());
        }
        // If standard output is closed, there is nowhere to report it.
        let _ = output.write_all(&batch);
        let _ = output.flush();
    }
}

fn dropped_lines_record(count: u64) -> String {
    format!("{{\"level\":\"WARN\",\"kvs\":{{\"event\":\"lines_left_out\",\"count\":{count}}}}}\n")
}
