//! Which fields of an object are served. Whatever is not in the table is refused by
//! its name: nothing a client writes is dropped without a word.

use crate::status_error::{Cause, StatusReason};
use serde_json::Value;

/// What becomes of a field that a client writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    Served,
    /// Taken, since clients send it with everything, and without effect here.
    Meaningless,
    /// The server writes it; what a client sends of it is not looked at.
    Server,
}

/// Fields by their paths: `[]` is each of a list, `*` any key, `**` all below.
pub type Table = &'static [(&'static str, Use)];

/// Of every kind.
pub const COMMON: Table = &[
    ("apiVersion", Use::Served),
    ("kind", Use::Served),
    ("metadata.name", Use::Served),
    ("metadata.namespace", Use::Served),
    ("metadata.labels.*", Use::Served),
    ("metadata.annotations.*", Use::Served),
    ("metadata.resourceVersion", Use::Served),
    ("metadata.uid", Use::Served),
    ("metadata.creationTimestamp", Use::Server),
    ("metadata.generation", Use::Server),
    ("metadata.managedFields.**", Use::Server),
    ("metadata.selfLink", Use::Server),
    ("status.**", Use::Server),
];

/// Of the template of a job's pods, below `spec.template`.
pub const TEMPLATE: Table = &[
    ("metadata.creationTimestamp", Use::Server),
    ("metadata.labels.*", Use::Served),
    ("metadata.annotations.*", Use::Served),
    ("spec.containers[].name", Use::Served),
    ("spec.containers[].image", Use::Served),
    ("spec.containers[].imagePullPolicy", Use::Meaningless),
    ("spec.containers[].resources.requests.*", Use::Served),
    ("spec.containers[].resources.limits.*", Use::Served),
    ("spec.containers[].terminationMessagePath", Use::Meaningless),
    (
        "spec.containers[].terminationMessagePolicy",
        Use::Meaningless,
    ),
    ("spec.restartPolicy", Use::Served),
    ("spec.priorityClassName", Use::Served),
    ("spec.nodeSelector.*", Use::Served),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].key",
        Use::Served,
    ),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].operator",
        Use::Served,
    ),
    (
        "spec.affinity.nodeAffinity.requiredDuringSchedulingIgnoredDuringExecution.nodeSelectorTerms[].matchExpressions[].values[]",
        Use::Served,
    ),
    ("spec.topologySpreadConstraints[].maxSkew", Use::Served),
    ("spec.topologySpreadConstraints[].topologyKey", Use::Served),
    (
        "spec.topologySpreadConstraints[].whenUnsatisfiable",
        Use::Served,
    ),
    (
        "spec.topologySpreadConstraints[].labelSelector.matchLabels.*",
        Use::Served,
    ),
    ("spec.terminationGracePeriodSeconds", Use::Meaningless),
    ("spec.dnsPolicy", Use::Meaningless),
    ("spec.schedulerName", Use::Meaningless),
];

pub const JOB: Table = &[
    ("spec.parallelism", Use::Served),
    ("spec.completions", Use::Served),
    ("spec.completionMode", Use::Served),
    ("spec.backoffLimit", Use::Served),
    ("spec.activeDeadlineSeconds", Use::Served),
    ("spec.ttlSecondsAfterFinished", Use::Served),
    ("spec.suspend", Use::Served),
];

/// A table with the prefix of its paths.
pub type Part = (&'static str, Table);

pub const OF_JOB: &[Part] = &[("", COMMON), ("", JOB), ("spec.template.", TEMPLATE)];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// The field itself, with all below it.
    Whole(Use),
    /// It has served ones below it.
    Inner,
    No,
}

fn find(parts: &[Part], path: &str) -> Found {
    let mut inner = false;
    for (prefix, table) in parts {
        let below = prefix.starts_with(path) && prefix[path.len()..].starts_with('.');
        inner |= below;
        let Some(rest) = path.strip_prefix(prefix) else {
            continue;
        };
        for (entry, used) in *table {
            match entry.strip_prefix(rest) {
                Some("" | ".*" | ".**") => return Found::Whole(*used),
                Some(more) => inner |= more.starts_with('.') || more.starts_with("[]"),
                None => {}
            }
        }
    }
    if inner { Found::Inner } else { Found::No }
}

fn walk(parts: &[Part], value: &Value, pattern: &str, path: &str, causes: &mut Vec<Cause>) {
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
                // A key with a dot in it would read as a path.
                let found = match key.contains(['.', '[']) {
                    true => Found::No,
                    false => find(parts, &pattern),
                };
                match found {
                    Found::Whole(_) => {}
                    Found::Inner => walk(parts, value, &pattern, &path, causes),
                    Found::No => {
                        causes.push(Cause::new(
                            path,
                            StatusReason::NotSupported,
                            "not served by dillcleat",
                        ));
                    }
                }
            }
        }
        Value::Array(items) => {
            let pattern = format!("{pattern}[]");
            for (i, item) in items.iter().enumerate() {
                walk(parts, item, &pattern, &format!("{path}[{i}]"), causes);
            }
        }
        // That it is of another type is said by whoever reads it.
        _ => {}
    }
}

/// What of an object is not served.
pub fn unserved(parts: &[Part], object: &Value) -> Vec<Cause> {
    let mut causes = Vec::new();
    walk(parts, object, "", "", &mut causes);
    causes
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn what_is_not_served_is_named() {
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
        let causes = unserved(OF_JOB, &job);
        let paths: Vec<&str> = causes.iter().map(|c| c.path.as_str()).collect();
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

    /// The operators' page tells of every field.
    #[test]
    fn the_page_names_every_field() {
        let page = include_str!("../../../docs/kubernetes.md");
        for (prefix, table) in OF_JOB {
            for (path, _) in *table {
                let path = format!("`{prefix}{path}`");
                assert!(page.contains(&path), "{path} is not in docs/kubernetes.md");
            }
        }
    }
}
