//! Paths to back ends: directly, or through a peer while direct connections fail.

mod direct_paths;
mod peer_selector;

pub use direct_paths::{BackEndPaths, ConnectionPath};
pub use peer_selector::{PeerSelector, TunnelPeer};
