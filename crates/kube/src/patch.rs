//! Patches: JSON merge (RFC 7386) and Kubernetes' strategic merge.

use serde_json::{Map, Value};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    Merge,
    Strategic,
}

impl Form {
    /// By the media type of the body.
    pub fn of(media: &str) -> Option<Form> {
        match media {
            "application/merge-patch+json" => Some(Form::Merge),
            "application/strategic-merge-patch+json" => Some(Form::Strategic),
            _ => None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    #[error("a patch is an object")]
    Form,
    #[error("{0}: an item without {1:?}, by which items are told apart")]
    Key(String, &'static str),
    #[error("{0}: no directive {1:?}")]
    Directive(String, String),
}

/// By which field the items of a list are told apart; lists that are not here are
/// replaced as a whole.
const KEYS: [(&str, &str); 2] = [
    ("spec.template.spec.containers", "name"),
    (
        "spec.template.spec.topologySpreadConstraints",
        "topologyKey",
    ),
];

pub fn apply(form: Form, mut object: Value, patch: &Value) -> Result<Value, PatchError> {
    let Value::Object(fields) = patch else {
        return Err(PatchError::Form);
    };
    match form {
        Form::Merge => json_patch::merge(&mut object, patch),
        Form::Strategic => merge(&mut object, fields, "")?,
    }
    Ok(object)
}

fn merge(object: &mut Value, patch: &Map<String, Value>, path: &str) -> Result<(), PatchError> {
    if let Some(directive) = patch.get("$patch") {
        let rest = patch.iter().filter(|(k, _)| *k != "$patch");
        *object = match directive.as_str() {
            Some("replace") => Value::Object(rest.map(|(k, v)| (k.clone(), v.clone())).collect()),
            Some("delete") => Value::Null,
            other => {
                let other = other.unwrap_or_default().to_string();
                return Err(PatchError::Directive(path.to_string(), other));
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
            // Those of element order say nothing here: lists keep theirs.
            if !directive.starts_with("setElementOrder/") {
                return Err(PatchError::Directive(path, key.clone()));
            }
            continue;
        }
        match change {
            Value::Null => {
                fields.remove(key);
            }
            Value::Object(change) => {
                let field = fields.entry(key.clone()).or_insert(Value::Null);
                merge(field, change, &path)?;
                if field.is_null() {
                    fields.remove(key);
                }
            }
            Value::Array(items) => {
                let by = KEYS.iter().find(|(list, _)| *list == path);
                match (by, fields.get_mut(key)) {
                    (Some((_, by)), Some(Value::Array(kept))) => {
                        merge_items(kept, items, &path, by)?
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
    kept: &mut Vec<Value>,
    items: &[Value],
    path: &str,
    by: &'static str,
) -> Result<(), PatchError> {
    for item in items {
        let (Some(fields), Some(id)) = (item.as_object(), item.get(by)) else {
            return Err(PatchError::Key(path.to_string(), by));
        };
        let found = kept.iter().position(|k| k.get(by) == Some(id));
        let delete = fields.get("$patch").is_some_and(|d| d == "delete");
        match found {
            Some(i) if delete => {
                kept.remove(i);
            }
            Some(i) => merge(&mut kept[i], fields, path)?,
            None if delete => {}
            None => kept.push(item.clone()),
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
    fn merges() {
        let patch = json!({"metadata": {"labels": {"a": null, "c": "3"}}, "spec": {"suspend": false,
            "template": {"spec": {"containers": [{"name": "y", "image": "i3"}]}}}});
        let merged = apply(Form::Merge, job(), &patch).expect("merge");
        assert_eq!(merged["metadata"]["labels"], json!({"b": "2", "c": "3"}));
        let containers = "/spec/template/spec/containers";
        assert_eq!(
            merged.pointer(containers),
            Some(&json!([{"name": "y", "image": "i3"}]))
        );
        // Strategic: items of a list are told apart by their names.
        let merged = apply(Form::Strategic, job(), &patch).expect("merge");
        assert_eq!(merged["spec"]["suspend"], json!(false));
        assert_eq!(
            merged.pointer(containers),
            Some(&json!([{"name": "x", "image": "i1"}, {"name": "y", "image": "i3"}]))
        );
    }

    #[test]
    fn directives() {
        let patch = json!({"metadata": {"labels": {"$patch": "replace", "z": "9"}},
            "spec": {"template": {"spec": {"$setElementOrder/containers": [{"name": "y"}],
                "containers": [{"name": "x", "$patch": "delete"}]}}}});
        let merged = apply(Form::Strategic, job(), &patch).expect("merge");
        assert_eq!(merged["metadata"]["labels"], json!({"z": "9"}));
        assert_eq!(
            merged.pointer("/spec/template/spec/containers"),
            Some(&json!([{"name": "y", "image": "i2"}]))
        );
        let refused = |patch: Value| apply(Form::Strategic, job(), &patch).expect_err("refused");
        assert_eq!(refused(json!([1])), PatchError::Form);
        let unnamed = json!({"spec": {"template": {"spec": {"containers": [{"image": "q"}]}}}});
        assert!(matches!(refused(unnamed), PatchError::Key(_, "name")));
        assert!(matches!(
            refused(json!({"spec": {"$retainKeys": ["a"]}})),
            PatchError::Directive(..)
        ));
    }
}
