//! Metrics in the Prometheus text format.
//!
//! The metrics are computed from the control state when they are scraped, so that they cost nothing
//! in between. Labels are classes, tiers and cells: the number of time series does not grow with
//! tenants or requests.

use eiderferry_node::Node;
use metrics::{Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::PrometheusBuilder;

const METADATA: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, None);

/// Renders the metrics of a node.
pub(crate) fn metrics_text(node: &Node) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    let gauge = |name: &'static str, labels: Vec<Label>, value: f64| {
        recorder
            .register_gauge(&Key::from_parts(name, labels), &METADATA)
            .set(value);
    };
    gauge(
        "eiderferry_ready",
        Vec::new(),
        f64::from(u8::from(node.is_ready())),
    );
    gauge(
        "eiderferry_draining",
        Vec::new(),
        f64::from(u8::from(node.is_draining())),
    );
    let version = node.configuration().map_or(0, |document| document.version);
    gauge(
        "eiderferry_configuration_version",
        Vec::new(),
        version as f64,
    );
    let version = node.directory().map_or(0, |document| document.version);
    gauge("eiderferry_directory_version", Vec::new(), version as f64);
    gauge(
        "eiderferry_open_requests",
        Vec::new(),
        node.open_requests() as f64,
    );
    record_classes(&recorder, node);
    for (cell, snapshot) in node.held_cells() {
        let cell_labels = || vec![Label::new("cell", cell.to_string())];
        let waiting: usize = snapshot.classes.iter().map(|class| class.waiting).sum();
        gauge(
            "eiderferry_cell_slots",
            cell_labels(),
            f64::from(snapshot.total_slots),
        );
        gauge(
            "eiderferry_cell_running",
            cell_labels(),
            snapshot.leases as f64,
        );
        gauge("eiderferry_cell_waiting", cell_labels(), waiting as f64);
    }
    recorder.handle().render()
}

fn record_classes(recorder: &impl Recorder, node: &Node) {
    let Some(configuration) = node.configuration() else {
        return;
    };
    for class in &configuration.classes {
        let counts = node.class_counts(class.id);
        let counters = [
            ("eiderferry_requests_total", counts.requests),
            ("eiderferry_completed_total", counts.completed),
            ("eiderferry_refused_total", counts.refused),
            ("eiderferry_attained_total", counts.attained),
            ("eiderferry_answer_tokens_total", counts.tokens),
        ];
        for (name, value) in counters {
            let labels = vec![
                Label::new("class", class.name.clone()),
                Label::new("tier", class.tier.to_string()),
            ];
            recorder
                .register_counter(&Key::from_parts(name, labels), &METADATA)
                .absolute(value);
        }
    }
}
