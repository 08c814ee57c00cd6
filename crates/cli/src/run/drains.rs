//! `drain`: taking something out of service and putting it back.

use base::Config;

use super::context::{CommandContext, text_arg};
use crate::error::CliError;

impl CommandContext<'_> {
    pub(super) async fn drain(&self) -> Result<(), CliError> {
        let (kind, name) = (text_arg(self.args, "kind"), text_arg(self.args, "name"));
        let is_undo = self.args.get_flag("undo");
        let summary = if is_undo {
            format!("undrain {kind} {name}")
        } else {
            format!("drain {kind} {name}")
        };
        let version = self
            .edit_config(&summary, |config| set_drain(config, &kind, &name, !is_undo))
            .await?;
        self.report_written(version).await
    }
}

/// Adds a drain to the configuration or removes it.
///
/// Fails if the target, domain or region does not exist, or if nothing would change. Does not check
/// the names of instances, since the configuration does not list them.
fn set_drain(config: &mut Config, kind: &str, name: &str, is_drained: bool) -> Result<(), String> {
    let is_known = match kind {
        "target" => config
            .services
            .values()
            .any(|service| service.targets.contains_key(name)),
        "domain" => config.domains.contains_key(name),
        "region" => config
            .domains
            .values()
            .any(|domain| domain.region.as_str() == name),
        _ => true,
    };
    if !is_known {
        return Err(format!("{kind} {name} does not exist"));
    }
    let drains = &mut config.drains;
    let is_changed = match (kind, is_drained) {
        ("target", true) => drains.targets.insert(name.into()),
        ("target", false) => drains.targets.remove(name),
        ("domain", true) => drains.domains.insert(name.into()),
        ("domain", false) => drains.domains.remove(name),
        ("region", true) => drains.regions.insert(name.into()),
        ("region", false) => drains.regions.remove(name),
        (_, true) => drains.instances.insert(name.into()),
        (_, false) => drains.instances.remove(name),
    };
    if is_changed {
        Ok(())
    } else {
        Err(format!("{kind} {name} is already in that state"))
    }
}
