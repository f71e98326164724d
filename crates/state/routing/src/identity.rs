//! Textual identifiers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Hash of the identifier's text (XXH3, 64 bits).
            pub fn digest(&self) -> u64 {
                xxh3_64(self.0.as_bytes())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_identifier!(
    /// Name of a pool of interchangeable back ends.
    PoolName
);
text_identifier!(
    /// Name of a back end. A restarted back end may keep its name: see
    /// `BackEnd::is_different_run`.
    InstanceId
);
text_identifier!(
    /// Version of the software that a back end runs: opaque text, compared byte by byte. Not the
    /// version of a model's weights.
    SoftwareVersion
);
text_identifier!(
    /// Name of an entry node.
    NodeName
);
text_identifier!(
    /// Name of an availability zone.
    ZoneName
);
text_identifier!(
    /// Name of a region, which consists of one or more zones.
    RegionName
);

/// Identifier of one part of a prompt, assigned by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);
