//! The gRPC operator interface, declared in `proto/eiderferry/operator/v1/operator.proto`.
//!
//! [`schema`] is generated from it; [`answers`] converts the node's state into its messages.

#![forbid(unsafe_code)]

pub mod answers;
#[allow(
    missing_docs,
    clippy::all,
    reason = "generated code, documented in the .proto file"
)]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod schema;
