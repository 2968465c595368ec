//! Compares two versions of the fleet file, and decides whether a running process can change to the new one.

use super::contents::{Contents, Membership};
use super::error::ChangeError;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Describes each change from `current` to `new` in a few words.
///
/// # Errors
///
/// If the fleet's name, the listen address or the state folder changes, or `[fleet]` is added or removed: these require
/// a new process.
pub fn find_changes(current: &Contents, new: &Contents) -> Result<Vec<String>, ChangeError> {
    let mut changes = Vec::new();
    match (&current.membership, &new.membership) {
        (None, None) => {}
        (Some(current), Some(new)) => {
            check_fixed_keys(current, new)?;
            if current.seeds != new.seeds {
                changes.push(format!("fleet.seeds from {:?} to {:?}", current.seeds, new.seeds));
            }
        }
        (None, Some(_)) => return Err(ChangeError::MembershipAdded),
        (Some(_), None) => return Err(ChangeError::MembershipRemoved),
    }
    changes.extend(find_map_changes("regions", &current.regions, &new.regions));
    if current.stale_after != new.stale_after {
        changes.push(format!("shared.stale_after_ms to {}", new.stale_after.as_millis()));
    }
    changes.extend(find_map_changes("limits.classes", &current.class_limits, &new.class_limits));
    changes.extend(find_map_changes("limits.tenants", &current.tenant_limits, &new.tenant_limits));
    Ok(changes)
}

fn check_fixed_keys(current: &Membership, new: &Membership) -> Result<(), ChangeError> {
    let state = |membership: &Membership| format!("{:?}", membership.state_folder);
    check_fixed_key("name", current.name.clone(), new.name.clone())?;
    check_fixed_key("listen", current.listen.to_string(), new.listen.to_string())?;
    check_fixed_key("state", state(current), state(new))
}

fn check_fixed_key(key: &'static str, from: String, to: String) -> Result<(), ChangeError> {
    if from == to {
        return Ok(());
    }
    Err(ChangeError::FixedKey { key, from, to })
}

fn find_map_changes<T: PartialEq + Debug>(
    section: &str,
    current: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Vec<String> {
    let changed = new.iter().filter(|(key, value)| current.get(*key) != Some(*value));
    let removed = current.keys().filter(|key| !new.contains_key(*key));
    let changed = changed.map(|(key, value)| format!("{section}.{key} to {value:?}"));
    changed.chain(removed.map(|key| format!("{section}.{key} removed"))).collect()
}
