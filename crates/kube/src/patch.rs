//! Applies patches: JSON merge patch (RFC 7386) and Kubernetes strategic merge patch.

use serde_json::{Map, Value};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatchType {
    Merge,
    Strategic,
}

impl PatchType {
    /// The patch type of a request body's media type.
    pub fn from_media_type(media_type: &str) -> Option<PatchType> {
        match media_type {
            "application/merge-patch+json" => Some(PatchType::Merge),
            "application/strategic-merge-patch+json" => Some(PatchType::Strategic),
            _ => None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    #[error("a patch is an object")]
    NotAnObject,
    /// The path of a list, and the merge key that one of its items lacks.
    #[error("{0}: an item without {1:?}, by which items are told apart")]
    MissingKey(String, &'static str),
    /// The path of the directive, and the directive.
    #[error("{0}: no directive {1:?}")]
    UnknownDirective(String, String),
}

/// The merge key of each list whose items a strategic merge patch merges one by one.
/// Other lists are replaced as a whole.
const LIST_MERGE_KEYS: [(&str, &str); 2] = [
    ("spec.template.spec.containers", "name"),
    (
        "spec.template.spec.topologySpreadConstraints",
        "topologyKey",
    ),
];

pub fn apply(patch_type: PatchType, mut object: Value, patch: &Value) -> Result<Value, PatchError> {
    let Value::Object(fields) = patch else {
        return Err(PatchError::NotAnObject);
    };
    match patch_type {
        PatchType::Merge => json_patch::merge(&mut object, patch),
        PatchType::Strategic => strategic_merge(&mut object, fields, "")?,
    }
    Ok(object)
}

/// Merges `patch` into `object`. `path` is the path of `object`, for errors and for
/// `LIST_MERGE_KEYS`.
fn strategic_merge(
    object: &mut Value,
    patch: &Map<String, Value>,
    path: &str,
) -> Result<(), PatchError> {
    if let Some(directive) = patch.get("$patch") {
        let rest = patch.iter().filter(|(k, _)| *k != "$patch");
        *object = match directive.as_str() {
            Some("replace") => Value::Object(rest.map(|(k, v)| (k.clone(), v.clone())).collect()),
            Some("delete") => Value::Null,
            other => {
                let other = other.unwrap_or_default().to_string();
                return Err(PatchError::UnknownDirective(path.to_string(), other));
            }
        };
        return Ok(());
    }
    if !object.is_object() {
        *object = Value::Object(Map::new());
    }
    let Value::Object(fields) = object else {
        return Ok(());
    };
    for (key, change) in patch {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        if let Some(directive) = key.strip_prefix('$') {
            // Directives on element order are ignored: lists keep their order.
            if !directive.starts_with("setElementOrder/") {
                return Err(PatchError::UnknownDirective(path, key.clone()));
            }
            continue;
        }
        match change {
            Value::Null => {
                fields.remove(key);
            }
            Value::Object(change) => {
                let field = fields.entry(key.clone()).or_insert(Value::Null);
                strategic_merge(field, change, &path)?;
                if field.is_null() {
                    fields.remove(key);
                }
            }
            Value::Array(items) => {
                let merge_key = LIST_MERGE_KEYS.iter().find(|(list, _)| *list == path);
                match (merge_key, fields.get_mut(key)) {
                    (Some((_, merge_key)), Some(Value::Array(current))) => {
                        merge_items(current, items, &path, merge_key)?
                    }
                    _ => {
                        fields.insert(key.clone(), change.clone());
                    }
                }
            }
            other => {
                fields.insert(key.clone(), other.clone());
            }
        }
    }
    Ok(())
}

fn merge_items(
    current: &mut Vec<Value>,
    items: &[Value],
    path: &str,
    merge_key: &'static str,
) -> Result<(), PatchError> {
    for item in items {
        let (Some(fields), Some(id)) = (item.as_object(), item.get(merge_key)) else {
            return Err(PatchError::MissingKey(path.to_string(), merge_key));
        };
        let found = current.iter().position(|c| c.get(merge_key) == Some(id));
        let delete = fields.get("$patch").is_some_and(|d| d == "delete");
        match found {
            Some(i) if delete => {
                current.remove(i);
            }
            Some(i) => strategic_merge(&mut current[i], fields, path)?,
            None if delete => {}
            None => current.push(item.clone()),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn job() -> Value {
        json!({"metadata": {"labels": {"a": "1", "b": "2"}},
            "spec": {"suspend": true, "template": {"spec": {"containers": [
                {"name": "x", "image": "i1"}, {"name": "y", "image": "i2"}]}}}})
    }

    #[test]
    fn merge_patch_replaces_lists_and_strategic_merge_patch_merges_them_by_key() {
        let patch = json!({"metadata": {"labels": {"a": null, "c": "3"}}, "spec": {"suspend": false,
            "template": {"spec": {"containers": [{"name": "y", "image": "i3"}]}}}});
        let merged = apply(PatchType::Merge, job(), &patch).expect("merge");
        assert_eq!(merged["metadata"]["labels"], json!({"b": "2", "c": "3"}));
        let containers = "/spec/template/spec/containers";
        assert_eq!(
            merged.pointer(containers),
            Some(&json!([{"name": "y", "image": "i3"}]))
        );
        // A strategic merge patch identifies containers by their names.
        let merged = apply(PatchType::Strategic, job(), &patch).expect("merge");
        assert_eq!(merged["spec"]["suspend"], json!(false));
        assert_eq!(
            merged.pointer(containers),
            Some(&json!([{"name": "x", "image": "i1"}, {"name": "y", "image": "i3"}]))
        );
    }

    #[test]
    fn strategic_merge_applies_known_directives_and_rejects_others() {
        let patch = json!({"metadata": {"labels": {"$patch": "replace", "z": "9"}},
            "spec": {"template": {"spec": {"$setElementOrder/containers": [{"name": "y"}],
                "containers": [{"name": "x", "$patch": "delete"}]}}}});
        let merged = apply(PatchType::Strategic, job(), &patch).expect("merge");
        assert_eq!(merged["metadata"]["labels"], json!({"z": "9"}));
        assert_eq!(
            merged.pointer("/spec/template/spec/containers"),
            Some(&json!([{"name": "y", "image": "i2"}]))
        );
        let rejected =
            |patch: Value| apply(PatchType::Strategic, job(), &patch).expect_err("rejected");
        assert_eq!(rejected(json!([1])), PatchError::NotAnObject);
        let unnamed = json!({"spec": {"template": {"spec": {"containers": [{"image": "q"}]}}}});
        assert!(matches!(
            rejected(unnamed),
            PatchError::MissingKey(_, "name")
        ));
        assert!(matches!(
            rejected(json!({"spec": {"$retainKeys": ["a"]}})),
            PatchError::UnknownDirective(..)
        ));
    }
}
