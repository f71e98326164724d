//! Errors of a routing table.

use quick_error::quick_error;

quick_error! {
    /// A table that can't be used. Nothing of it has been applied.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TableError {
        /// A route names a pool that is not there.
        UnknownPool(route: String, pool: String) {
            display("routes[{route}]: found pool {pool:?}; allowed: a name listed under pools")
        }
        /// A route has nowhere to go.
        NoWeightedPool(route: String) {
            display("routes[{route}]: found no pool with a weight above 0; allowed: at least one")
        }
        /// A path prefix that is not enclosed in slashes.
        InvalidPathPrefix(route: String, prefix: String) {
            display("routes[{route}].path_prefix: found {prefix:?}; allowed: text that begins and ends with a slash")
        }
        /// A route that may never be sent to a back end.
        ZeroAttempts(route: String) {
            display("routes[{route}].maximum_attempts: found 0; allowed: 1 or more")
        }
        /// A time-out of nothing.
        ZeroTimeout(route: String) {
            display("routes[{route}].timeout: found 0; allowed: more than 0")
        }
        /// Two tenants hold the same key.
        DuplicateKey(tenant: String, other: String) {
            display("tenants[{tenant}]: holds a key that tenant {other:?} holds too; allowed: keys of its own")
        }
    }
}
