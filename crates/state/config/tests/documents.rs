//! Parsing, validation, deltas and look-ups of configuration and settings.

use eiderferry_config::{Configuration, Settings, Versioned};
use rstest::rstest;

const QUETZAL: &str = include_str!("../../../../examples/quetzal.yaml");
const CONSORTIUM: &str = include_str!("../../../../examples/consortium.yaml");
const SETTINGS: &str = include_str!("../../../../examples/settings.yaml");

fn quetzal() -> Configuration {
    Configuration::from_yaml("quetzal", QUETZAL).expect("valid")
}

#[test]
fn the_example_documents_are_valid() {
    assert_eq!(quetzal().tenants.len(), 10);
    assert!(Configuration::from_yaml("consortium", CONSORTIUM).is_ok());
    assert!(Settings::from_yaml("settings", SETTINGS).is_ok());
}

#[rstest]
#[case::tier(
    "tier: 1\n",
    "tier: 9\n",
    "classes[0].tier: found 9; allowed: 1 (highest) to 7 (lowest)"
)]
#[case::unknown_field("version: 1\n", "version: 1\ncolour: red\n", "colour")]
#[case::wrong_type("version: 1\n", "version: one\n", "invalid u64")]
#[case::share("minimum_share: 0.1\n", "minimum_share: 0.9\n", "a sum of at most 1")]
#[case::pool_name(
    "name: playback-service",
    "name: digest-engines",
    "a value used only once"
)]
fn errors_state_the_path_the_value_and_what_is_allowed(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    let text = QUETZAL.replace(original, replacement);
    assert_ne!(text, QUETZAL, "the case changes nothing");
    let error = Configuration::from_yaml("file.yaml", &text)
        .expect_err("invalid")
        .to_string();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains("file.yaml"), "{error}");
}

#[test]
fn a_delta_applies_only_to_its_base_version() {
    let old = quetzal();
    let mut new = old.clone();
    new.version = 2;
    new.tenants.remove(3);
    new.classes[0].time_to_first_token_ms = 900;
    let delta = old.delta_to(&new);
    assert_eq!(old.apply(&delta), Some(new.clone()));
    assert_eq!(new.apply(&delta), None);
}

#[test]
fn a_tenant_is_found_by_the_digest_of_its_key() {
    let configuration = quetzal();
    let tenant = configuration
        .tenant_for_key("demo-key-onda-maya")
        .expect("known");
    assert_eq!(tenant.name, "onda-maya");
    assert!(configuration.tenant_for_key("demo-key-nobody").is_none());
    assert!(!QUETZAL.contains("demo-key-onda-maya"));
}

#[test]
fn the_longest_path_prefix_wins() {
    let mut configuration = quetzal();
    let mut nested_pool = configuration.pools[1].clone();
    nested_pool.path_prefix = Some("/playback/library".into());
    nested_pool.name = "library".into();
    configuration.pools.push(nested_pool);
    let pool_name = |path: &str| {
        configuration
            .pool_for_path(path)
            .map(|pool| pool.name.clone())
    };
    assert_eq!(
        pool_name("/playback/resume").as_deref(),
        Some("playback-service")
    );
    assert_eq!(pool_name("/playback/library/1").as_deref(), Some("library"));
    assert_eq!(pool_name("/playbackx"), None);
}
