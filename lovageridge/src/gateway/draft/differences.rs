//! Differences between a configuration and the one in force.

use crate::gateway::accounts::KeyDigest;
use crate::gateway::draft::Draft;
use crate::gateway::draft::DraftEntry;
use crate::gateway::draft::Finding;
use crate::sorted::Table;

/// Returns a fault if instances that have `in_force` would not take `draft`.
pub fn check_version(draft: &Draft, in_force: &Draft) -> Option<Finding> {
    let (new, old) = (draft.version.value, in_force.version.value);
    let is_taken = new > old;
    let text = format!("version {new} is not newer than version {old} in force");
    (!is_taken).then(|| Finding::error(&draft.version.path, text))
}

/// Returns a line for each entry that was added, removed or changed. Keys are only counted.
pub fn differences(draft: &Draft, in_force: &Draft) -> Vec<String> {
    let old = by_name(&in_force.entries);
    let new = by_name(&draft.entries);
    let mut lines = Vec::new();
    for (id, entry) in new.iter() {
        match old.get(id) {
            None => lines.push(format!("added: {} {:?}", entry.kind, entry.name)),
            Some(before) => {
                let changes = changes(entry, before, draft, in_force);
                if !changes.is_empty() {
                    let changes = changes.join(", ");
                    lines.push(format!("changed: {} {:?}: {changes}", entry.kind, entry.name));
                }
            }
        }
    }
    let removed = old.iter().filter(|(id, _)| !new.contains(*id));
    lines.extend(removed.map(|(_, entry)| format!("removed: {} {:?}", entry.kind, entry.name)));
    lines
}

fn by_name(entries: &[DraftEntry]) -> Table<(&'static str, &str), &DraftEntry> {
    entries.iter().map(|entry| ((entry.kind, entry.name.as_str()), entry)).collect()
}

fn changes(
    entry: &DraftEntry,
    before: &DraftEntry,
    draft: &Draft,
    in_force: &Draft,
) -> Vec<String> {
    let mut names: Vec<&String> = entry.fields.keys().chain(before.fields.keys()).collect();
    names.sort();
    names.dedup();
    let has_changed = |name: &&String| entry.fields.get(*name) != before.fields.get(*name);
    let mut changes: Vec<String> = names.into_iter().filter(has_changed).cloned().collect();
    if entry.kind == ACCOUNT_KIND {
        let (new, old) = (keys(draft, &entry.name), keys(in_force, &entry.name));
        let added = new.keys().filter(|key| !old.contains(*key)).count();
        let removed = old.keys().filter(|key| !new.contains(*key)).count();
        if added + removed > 0 {
            changes.push(format!("{added} keys added, {removed} removed"));
        }
    }
    changes
}

/// Kind of the entries of accounts.
pub const ACCOUNT_KIND: &str = "account";

fn keys(draft: &Draft, account: &str) -> Table<KeyDigest, ()> {
    let same = draft.accounts.iter().filter(|other| other.name.value == account);
    same.flat_map(|account| &account.keys.value).map(|key| (key.value, ())).collect()
}
