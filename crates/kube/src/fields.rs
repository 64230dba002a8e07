//! The fields of objects that requests may contain. A request with any other field is
//! rejected, and the error lists the paths of the unsupported fields.

use crate::status_error::{Cause, CauseReason};
use serde_json::Value;

/// How a field that a client sets is handled. For documentation only: validation accepts
/// all three.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldUse {
    Supported,
    /// Accepted because clients set it by default; it has no effect.
    Ignored,
    /// Written by the server; the value that a client sends is ignored.
    ServerManaged,
}

/// Fields by their paths. `[]` stands for each item of a list; `.*` and `.**` accept
/// everything below the field.
pub type FieldTable = &'static [(&'static str, FieldUse)];

/// The fields of every kind of object.
pub const COMMON_FIELDS: FieldTable = &[
    ("apiVersion", FieldUse::Supported),
    ("kind", FieldUse::Supported),
    ("metadata.name", FieldUse::Supported),
    ("metadata.namespace", FieldUse::Supported),
    ("metadata.labels.*", FieldUse::Supported),
    ("metadata.annotations.*", FieldUse::Supported),
    ("metadata.resourceVersion", FieldUse::Supported),
    ("metadata.uid", FieldUse::Supported),
    ("metadata.creationTimestamp", FieldUse::ServerManaged),
    ("metadata.generation", FieldUse::ServerManaged),
    ("metadata.managedFields.**", FieldUse::ServerManaged),
    ("metadata.selfLink", FieldUse::ServerManaged),
    ("status.**", FieldUse::ServerManaged),
];

/// The fields of a Job's pod template, below `spec.template`.
pub const POD_TEMPLATE_FIELDS: FieldTable = &[
    ("metadata.creationTimestamp", FieldUse::ServerManaged),
    ("metadata.labels.*", FieldUse::Supported),
    ("metadata.annotations.*", FieldUse::Supported),
    ("spec.containers[].name", FieldUse::Supported),
    ("spec.containers[].image", FieldUse::Supported),
    ("spec.containers[].imagePullPolicy", FieldUse::Ignored),
    (
        "spec.containers[].resources.requests.*",
        FieldUse::Supported,
    ),
    ("spec.containers[].resources.limits.*", FieldUse::Supported),
    (
        "spec.containers[].terminationMessagePath",
        FieldUse::Ignored,
    ),
    (
        "spec.containers[].terminationMessagePolicy",
        FieldUse::Ignored,
    ),
    ("spec.restartPolicy", FieldUse::Supported),
    ("spec.priorityClassName", FieldUse::Supported),
    ("spec.nodeSelector.*", FieldUse::Supported),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].key",
        FieldUse::Supported,
    ),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].operator",
        FieldUse::Supported,
    ),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].values[]",
        FieldUse::Supported,
    ),
    (
        "spec.topologySpreadConstraints[].maxSkew",
        FieldUse::Supported,
    ),
    (
        "spec.topologySpreadConstraints[].topologyKey",
        FieldUse::Supported,
    ),
    (
        "spec.topologySpreadConstraints[].whenUnsatisfiable",
        FieldUse::Supported,
    ),
    (
        "spec.topologySpreadConstraints[].labelSelector.matchLabels.*",
        FieldUse::Supported,
    ),
    ("spec.terminationGracePeriodSeconds", FieldUse::Ignored),
    ("spec.dnsPolicy", FieldUse::Ignored),
    ("spec.schedulerName", FieldUse::Ignored),
];

pub const JOB_SPEC_FIELDS: FieldTable = &[
    ("spec.parallelism", FieldUse::Supported),
    ("spec.completions", FieldUse::Supported),
    ("spec.completionMode", FieldUse::Supported),
    ("spec.backoffLimit", FieldUse::Supported),
    ("spec.activeDeadlineSeconds", FieldUse::Supported),
    ("spec.ttlSecondsAfterFinished", FieldUse::Supported),
    ("spec.suspend", FieldUse::Supported),
];

/// A prefix and a table of the paths that follow it.
pub type PrefixedTable = (&'static str, FieldTable);

/// All fields of a Job.
pub const JOB_FIELDS: &[PrefixedTable] = &[
    ("", COMMON_FIELDS),
    ("", JOB_SPEC_FIELDS),
    ("spec.template.", POD_TEMPLATE_FIELDS),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lookup {
    /// The field is in a table; nothing below it is checked.
    Found(FieldUse),
    /// The table has fields below this one.
    Parent,
    NotFound,
}

fn find(tables: &[PrefixedTable], path: &str) -> Lookup {
    let mut parent = false;
    for (prefix, table) in tables {
        parent |= prefix.starts_with(path) && prefix[path.len()..].starts_with('.');
        let Some(rest) = path.strip_prefix(prefix) else {
            continue;
        };
        for (entry, field_use) in *table {
            match entry.strip_prefix(rest) {
                Some("" | ".*" | ".**") => return Lookup::Found(*field_use),
                Some(more) => parent |= more.starts_with('.') || more.starts_with("[]"),
                None => {}
            }
        }
    }
    match parent {
        true => Lookup::Parent,
        false => Lookup::NotFound,
    }
}

/// Adds a cause for each unsupported field of `value`. `path` is the path of `value` in
/// the object; `pattern` is the same path in the form that tables have.
fn collect_unsupported(
    tables: &[PrefixedTable],
    value: &Value,
    pattern: &str,
    path: &str,
    causes: &mut Vec<Cause>,
) {
    let join = |base: &str, key: &str| {
        if base.is_empty() {
            key.to_string()
        } else {
            format!("{base}.{key}")
        }
    };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields.iter().filter(|(_, v)| !v.is_null()) {
                let (pattern, path) = (join(pattern, key), join(path, key));
                // A key with a dot or bracket could be mistaken for a path.
                let lookup = match key.contains(['.', '[']) {
                    true => Lookup::NotFound,
                    false => find(tables, &pattern),
                };
                match lookup {
                    Lookup::Found(_) => {}
                    Lookup::Parent => collect_unsupported(tables, value, &pattern, &path, causes),
                    Lookup::NotFound => {
                        causes.push(Cause::new(
                            path,
                            CauseReason::NotSupported,
                            "not served by dillcleat",
                        ));
                    }
                }
            }
        }
        Value::Array(items) => {
            let pattern = format!("{pattern}[]");
            for (i, item) in items.iter().enumerate() {
                collect_unsupported(tables, item, &pattern, &format!("{path}[{i}]"), causes);
            }
        }
        // A value of a wrong type is reported when the object is deserialized.
        _ => {}
    }
}

/// Reports the unsupported fields of an object.
pub fn unsupported_fields(tables: &[PrefixedTable], object: &Value) -> Vec<Cause> {
    let mut causes = Vec::new();
    collect_unsupported(tables, object, "", "", &mut causes);
    causes
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn unsupported_fields_are_reported_by_path() {
        let job = json!({
            "apiVersion": "batch/v1", "kind": "Job",
            "metadata": {"name": "a", "labels": {"x.y/z": "1"}, "finalizers": ["f"], "deletionTimestamp": null,
                "managedFields": [{"manager": "m"}]},
            "metadata.name": "b",
            "spec": {"completions": 2, "podFailurePolicy": {"rules": []},
                "template": {"metadata": {"labels": {"a": "b"}}, "spec": {
                    "volumes": [],
                    "containers": [{"name": "c", "image": "i", "command": ["x"],
                        "resources": {"requests": {"cpu": "1"}, "claims": []}}]}}},
            "status": {"active": 1},
        });
        let causes = unsupported_fields(JOB_FIELDS, &job);
        let paths: Vec<&str> = causes.iter().map(|c| c.field.as_str()).collect();
        assert_eq!(
            paths,
            [
                "metadata.finalizers",
                "metadata.name",
                "spec.podFailurePolicy",
                "spec.template.spec.containers[0].command",
                "spec.template.spec.containers[0].resources.claims",
                "spec.template.spec.volumes",
            ]
        );
    }

    #[test]
    fn documentation_lists_every_field() {
        let documentation = include_str!("../../../docs/kubernetes.md");
        for (prefix, table) in JOB_FIELDS {
            for (path, _) in *table {
                let path = format!("`{prefix}{path}`");
                assert!(
                    documentation.contains(&path),
                    "{path} is not in docs/kubernetes.md"
                );
            }
        }
    }
}
