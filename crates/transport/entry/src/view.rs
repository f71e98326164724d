//! Control state that the traffic threads can read.

use eiderferry_config::Configuration;
use std::sync::Arc;

/// Snapshot of the control state, published by the control thread; reading it does not block.
#[derive(Clone, Debug, Default)]
pub struct TrafficView {
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// Whether the node is draining.
    pub draining: bool,
}
