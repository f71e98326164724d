//! Validates the values of a configuration.

use crate::Problem;
use crate::published::{Class, Configuration, Pool, PoolKind, Tenant};
use std::collections::BTreeSet;
use std::fmt::Display;

/// Number of priority tiers; tier 1 is the highest.
const TIER_COUNT: u8 = 7;
/// Maximum number of slots of one back end.
const MAX_SLOTS_PER_BACK_END: u32 = 4_096;
/// Length of a SHA-256 digest in hexadecimal digits.
const SHA256_HEX_LENGTH: usize = 64;

/// Collects the problems found in a configuration.
#[derive(Default)]
struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn require(&mut self, is_valid: bool, path: String, value: impl Display, allowed: &str) {
        if is_valid {
            return;
        }
        self.problems.push(Problem {
            path,
            value: value.to_string(),
            allowed: allowed.to_owned(),
        });
    }

    fn require_unique<T: Ord + Display + Copy>(&mut self, list: &str, field: &str, values: &[T]) {
        let mut seen = BTreeSet::new();
        for (index, value) in values.iter().enumerate() {
            let path = format!("{list}[{index}].{field}");
            self.require(seen.insert(*value), path, value, "a value used only once");
        }
    }
}

/// Returns all problems of `configuration`: of the document as a whole, then of pools,
/// classes and tenants.
pub fn find_problems(configuration: &Configuration) -> Vec<Problem> {
    let mut validator = Validator::default();
    check_top_level(&mut validator, configuration);
    for (index, pool) in configuration.pools.iter().enumerate() {
        check_pool(&mut validator, index, pool);
    }
    for (index, class) in configuration.classes.iter().enumerate() {
        check_class(&mut validator, index, class);
    }
    check_shares(&mut validator, configuration);
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        check_tenant(&mut validator, configuration, index, tenant);
    }
    validator.problems
}

fn check_top_level(validator: &mut Validator, configuration: &Configuration) {
    validator.require(
        configuration.version > 0,
        "version".into(),
        configuration.version,
        "1 or more",
    );
    let zones = &configuration.zones;
    let pools = &configuration.pools;
    let classes = &configuration.classes;
    let tenants = &configuration.tenants;
    validator.require(
        !zones.is_empty(),
        "zones".into(),
        "none",
        "at least one zone",
    );
    validator.require(
        !classes.is_empty(),
        "classes".into(),
        "none",
        "at least one class",
    );
    validator.require_unique(
        "zones",
        "id",
        &zones.iter().map(|zone| zone.id).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "pools",
        "id",
        &pools.iter().map(|pool| pool.id).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "classes",
        "id",
        &classes.iter().map(|class| class.id).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "tenants",
        "id",
        &tenants.iter().map(|tenant| tenant.id).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "zones",
        "name",
        &zones.iter().map(|zone| &*zone.name).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "pools",
        "name",
        &pools.iter().map(|pool| &*pool.name).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "classes",
        "name",
        &classes.iter().map(|class| &*class.name).collect::<Vec<_>>(),
    );
    validator.require_unique(
        "tenants",
        "name",
        &tenants
            .iter()
            .map(|tenant| &*tenant.name)
            .collect::<Vec<_>>(),
    );
}

fn check_pool(validator: &mut Validator, index: usize, pool: &Pool) {
    let path = |field: &str| format!("pools[{index}].{field}");
    validator.require(
        (1..=MAX_SLOTS_PER_BACK_END).contains(&pool.slots_per_back_end),
        path("slots_per_back_end"),
        pool.slots_per_back_end,
        "1 to 4096",
    );
    validator.require(
        pool.back_ends_per_cell > 0,
        path("back_ends_per_cell"),
        pool.back_ends_per_cell,
        "1 or more",
    );
    match pool.kind {
        PoolKind::Engine => validator.require(
            pool.model.as_ref().is_some_and(|model| !model.is_empty()),
            path("model"),
            "nothing",
            "the model name that callers ask for",
        ),
        PoolKind::Service => {
            let prefix = pool.path_prefix.as_deref().unwrap_or("");
            let is_valid_prefix =
                prefix.starts_with('/') && prefix.len() > 1 && !prefix.starts_with("/v1");
            validator.require(
                is_valid_prefix,
                path("path_prefix"),
                format!("{prefix:?}"),
                "a path such as /library, not under /v1",
            );
        }
    }
}

fn check_class(validator: &mut Validator, index: usize, class: &Class) {
    let path = |field: &str| format!("classes[{index}].{field}");
    validator.require(
        (1..=TIER_COUNT).contains(&class.tier.0),
        path("tier"),
        class.tier,
        "1 (highest) to 7 (lowest)",
    );
    validator.require(
        class.time_to_first_token_ms > 0,
        path("time_to_first_token_ms"),
        class.time_to_first_token_ms,
        "1 or more",
    );
    validator.require(
        class.time_per_token_ms > 0,
        path("time_per_token_ms"),
        class.time_per_token_ms,
        "1 or more",
    );
    validator.require(
        (0.0..=1.0).contains(&class.minimum_share),
        path("minimum_share"),
        class.minimum_share,
        "0 to 1",
    );
}

fn check_shares(validator: &mut Validator, configuration: &Configuration) {
    let share_sum: f64 = configuration
        .classes
        .iter()
        .map(|class| class.minimum_share)
        .sum();
    validator.require(
        share_sum <= 1.0 + f64::EPSILON,
        "classes[].minimum_share".into(),
        format!("a sum of {share_sum}"),
        "a sum of at most 1",
    );
}

fn check_tenant(
    validator: &mut Validator,
    configuration: &Configuration,
    index: usize,
    tenant: &Tenant,
) {
    let path = |field: &str| format!("tenants[{index}].{field}");
    validator.require(
        !tenant.classes.is_empty(),
        path("classes"),
        "none",
        "at least one class; the first is the default",
    );
    for (position, name) in tenant.classes.iter().enumerate() {
        validator.require(
            configuration.class_named(name).is_some(),
            path(&format!("classes[{position}]")),
            name,
            "the name of a class in this document",
        );
    }
    for (position, name) in tenant.pools.iter().enumerate() {
        validator.require(
            configuration.pool_named(name).is_some(),
            path(&format!("pools[{position}]")),
            name,
            "the name of a pool in this document",
        );
    }
    for (position, digest) in tenant.key_digests.iter().enumerate() {
        let is_hexadecimal = digest.0.bytes().all(|byte| byte.is_ascii_hexdigit());
        validator.require(
            digest.0.len() == SHA256_HEX_LENGTH && is_hexadecimal,
            path(&format!("key_digests[{position}]")),
            "a value of another format",
            "SHA-256 of the key in 64 hexadecimal digits",
        );
    }
    for (position, limit) in tenant.limits.iter().enumerate() {
        validator.require(
            configuration.pool_named(&limit.pool).is_some(),
            path(&format!("limits[{position}].pool")),
            &limit.pool,
            "the name of a pool in this document",
        );
    }
}
