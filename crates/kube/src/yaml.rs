//! Documents as people write them.

use serde_json::Value;

/// The most documents of one file.
const DOCUMENTS: usize = 1_000;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum YamlError {
    #[error("not YAML: {0}")]
    Form(String),
    #[error("one document is taken, there are {0}")]
    Several(usize),
    #[error("more than {DOCUMENTS} documents")]
    TooMany,
}

/// All documents of a text; JSON is one as well. Empty ones are left out. The library
/// bounds depth, nodes and what aliases may repeat.
pub fn all(text: &str) -> Result<Vec<Value>, YamlError> {
    let read: Vec<Value> = serde_saphyr::from_multiple(text).map_err(|e| {
        let message = e.to_string();
        YamlError::Form(message.lines().next().unwrap_or_default().to_string())
    })?;
    if read.len() > DOCUMENTS {
        return Err(YamlError::TooMany);
    }
    Ok(read.into_iter().filter(|v| !v.is_null()).collect())
}

/// Writes a document.
pub fn write(value: &Value) -> String {
    // Values of JSON have nothing that YAML has not.
    serde_saphyr::to_string(value).unwrap_or_default()
}

pub fn one(text: &str) -> Result<Value, YamlError> {
    let mut all = all(text)?;
    match all.pop() {
        Some(value) if all.is_empty() => Ok(value),
        rest => Err(YamlError::Several(all.len() + usize::from(rest.is_some()))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn documents() {
        let text = "a: 1\n---\n# nothing\n---\nb: [x, 'y']\n";
        assert_eq!(
            all(text),
            Ok(vec![json!({"a": 1}), json!({"b": ["x", "y"]})])
        );
        assert_eq!(one("{\"a\": {\"b\": null}}"), Ok(json!({"a": {"b": null}})));
        assert_eq!(one(text), Err(YamlError::Several(2)));
        assert_eq!(one(""), Err(YamlError::Several(0)));
        assert!(matches!(one("a: [1"), Err(YamlError::Form(_))));
    }

    /// Nine aliases of nine aliases of nine ... are a document of a few lines.
    #[test]
    fn aliases_do_not_grow_without_bound() {
        let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n".to_string();
        for i in 1..12 {
            let more = format!("*a{}, ", i - 1).repeat(9);
            text += &format!("a{i}: &a{i} [{}]\n", more.trim_end_matches(", "));
        }
        assert!(matches!(one(&text), Err(YamlError::Form(_))));
    }
}
