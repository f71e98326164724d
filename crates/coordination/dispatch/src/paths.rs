//! Paths to back ends: directly, or through a peer while direct connections fail.

mod direct_paths;
mod peer_choice;

pub use direct_paths::{BackEndPaths, Path};
pub use peer_choice::{PeerChoice, TunnelPeer};
