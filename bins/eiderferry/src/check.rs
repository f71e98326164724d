//! `eiderferry check`: validates settings and configuration files.

use crate::error::CommandError;
use clap::ArgMatches;
use eiderferry_config::{Configuration, ConfigurationError, Settings};
use eiderferry_platform_adapter as platform;
use std::path::{Path, PathBuf};

/// Checks the documents in order and stops at the first invalid one.
pub fn run(arguments: &ArgMatches) -> Result<(), CommandError> {
    for path in arguments.get_many::<PathBuf>("files").into_iter().flatten() {
        println!("{}: {}", path.display(), check_file(path)?);
    }
    Ok(())
}

fn check_file(path: &Path) -> Result<String, CommandError> {
    let document = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| ConfigurationError::Read(document.clone(), cause))?;
    if platform::looks_like_settings(&text) || looks_like_json(&text) {
        return Ok(platform::check(&document, &text)?);
    }
    if looks_like_settings(&text) {
        let settings = Settings::from_yaml(&document, &text)?;
        return Ok(format!("valid settings of node {}", settings.node));
    }
    let configuration = Configuration::from_yaml(&document, &text)?;
    Ok(format!(
        "valid configuration, version {}: {} classes, {} pools, {} tenants",
        configuration.version,
        configuration.classes.len(),
        configuration.pools.len(),
        configuration.tenants.len()
    ))
}

/// The platform's configurations are JSON; the router's own are YAML.
fn looks_like_json(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// Only settings have a `node` key at the top level; a configuration has none.
fn looks_like_settings(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("node:"))
}
