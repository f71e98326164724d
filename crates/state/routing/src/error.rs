//! Validation errors of a routing table.

use quick_error::quick_error;

quick_error! {
    /// Why a table document is invalid. An invalid document is rejected as a whole.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TableError {
        /// A route names a pool that the document does not define.
        UnknownPool(route: String, pool: String) {
            display("routes[{route}]: found pool {pool:?}; allowed: a name listed under pools")
        }
        /// A route has no pool with a positive weight.
        NoWeightedPool(route: String) {
            display("routes[{route}]: found no pool with a weight above 0; allowed: at least one")
        }
        /// A path prefix does not begin and end with a slash.
        InvalidPathPrefix(route: String, prefix: String) {
            display("routes[{route}].path_prefix: found {prefix:?}; allowed: text that begins and ends with a slash")
        }
        /// A route allows no attempt.
        ZeroAttempts(route: String) {
            display("routes[{route}].maximum_attempts: found 0; allowed: 1 or more")
        }
        /// A route has a timeout of zero.
        ZeroTimeout(route: String) {
            display("routes[{route}].timeout: found 0; allowed: more than 0")
        }
        /// Two tenants list the same API key.
        DuplicateKey(tenant: String, other: String) {
            display("tenants[{tenant}]: found a key that tenant {other:?} also lists; allowed: keys that no other tenant lists")
        }
    }
}
