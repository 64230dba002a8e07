//! Parses and writes YAML documents.

use serde_json::Value;

/// The maximum number of documents in one file.
const MAX_DOCUMENTS: usize = 1_000;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum YamlError {
    #[error("not YAML: {0}")]
    Syntax(String),
    #[error("one document is taken, there are {0}")]
    NotOneDocument(usize),
    #[error("more than {MAX_DOCUMENTS} documents")]
    TooManyDocuments,
}

/// Parses all documents of a YAML or JSON text and skips empty ones. The YAML library
/// limits depth, the number of nodes and the expansion of aliases.
pub fn parse_documents(text: &str) -> Result<Vec<Value>, YamlError> {
    let parsed: Vec<Value> = serde_saphyr::from_multiple(text).map_err(|e| {
        let message = e.to_string();
        YamlError::Syntax(message.lines().next().unwrap_or_default().to_string())
    })?;
    if parsed.len() > MAX_DOCUMENTS {
        return Err(YamlError::TooManyDocuments);
    }
    Ok(parsed.into_iter().filter(|v| !v.is_null()).collect())
}

/// Writes a value as a YAML document.
pub fn to_text(value: &Value) -> String {
    // Every JSON value can be written as YAML.
    serde_saphyr::to_string(value).unwrap_or_default()
}

/// Reads a text that has exactly one document.
pub fn parse_document(text: &str) -> Result<Value, YamlError> {
    let mut documents = parse_documents(text)?;
    match documents.pop() {
        Some(value) if documents.is_empty() => Ok(value),
        rest => Err(YamlError::NotOneDocument(
            documents.len() + usize::from(rest.is_some()),
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn documents_are_parsed_in_order_and_empty_ones_are_skipped() {
        let text = "a: 1\n---\n# nothing\n---\nb: [x, 'y']\n";
        assert_eq!(
            parse_documents(text),
            Ok(vec![json!({"a": 1}), json!({"b": ["x", "y"]})])
        );
        assert_eq!(
            parse_document("{\"a\": {\"b\": null}}"),
            Ok(json!({"a": {"b": null}}))
        );
        assert_eq!(parse_document(text), Err(YamlError::NotOneDocument(2)));
        assert_eq!(parse_document(""), Err(YamlError::NotOneDocument(0)));
        assert!(matches!(parse_document("a: [1"), Err(YamlError::Syntax(_))));
    }

    /// Guards against a short document that nested aliases expand exponentially.
    #[test]
    fn a_document_of_nested_aliases_is_rejected() {
        let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n".to_string();
        for i in 1..12 {
            let more = format!("*a{}, ", i - 1).repeat(9);
            text += &format!("a{i}: &a{i} [{}]\n", more.trim_end_matches(", "));
        }
        assert!(matches!(parse_document(&text), Err(YamlError::Syntax(_))));
    }
}
