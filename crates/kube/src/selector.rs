//! Label and field selectors.

use pest::Parser;
use pest::iterators::Pair;
use pest_derive::Parser;
use std::collections::BTreeMap;

#[derive(Parser)]
#[grammar = "select.pest"]
struct Grammar;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SelectorError {
    /// The column of the error, and the text of the selector.
    #[error("not a selector, at column {0}: {1:?}")]
    Syntax(usize, String),
    #[error("no selection by the field {0:?}")]
    UnknownField(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Requirement {
    Present,
    Absent,
    In(Vec<String>),
    NotIn(Vec<String>),
}

/// Requirements on the labels or fields of objects. The empty selector matches every object.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Selector(Vec<(String, Requirement)>);

fn syntax_error(text: &str, e: &pest::error::Error<Rule>) -> SelectorError {
    let column = match e.line_col {
        pest::error::LineColLocation::Pos((_, column))
        | pest::error::LineColLocation::Span((_, column), _) => column,
    };
    SelectorError::Syntax(column, text.to_string())
}

fn parse_requirement(pair: Pair<Rule>) -> Option<(String, Requirement)> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner().map(|p| p.as_str().to_string());
    let key = parts.next()?;
    let requirement = match rule {
        Rule::absent => Requirement::Absent,
        Rule::present => Requirement::Present,
        _ => {
            let negative = matches!(parts.next()?.as_str(), "!=" | "notin");
            let values = parts.collect();
            if negative {
                Requirement::NotIn(values)
            } else {
                Requirement::In(values)
            }
        }
    };
    Some((key, requirement))
}

fn parse(rule: Rule, text: &str) -> Result<Selector, SelectorError> {
    let pairs = Grammar::parse(rule, text).map_err(|e| syntax_error(text, &e))?;
    let inner = pairs.flat_map(Pair::into_inner);
    let terms = inner.filter(|p| p.as_rule() != Rule::EOI);
    Ok(Selector(terms.filter_map(parse_requirement).collect()))
}

impl Selector {
    pub fn labels(text: &str) -> Result<Selector, SelectorError> {
        parse(Rule::labels, text)
    }

    /// Parses a field selector, which may only use the fields in `known`.
    pub fn fields(text: &str, known: &[&str]) -> Result<Selector, SelectorError> {
        let selector = parse(Rule::fields, text)?;
        match selector
            .0
            .iter()
            .find(|(k, _)| !known.contains(&k.as_str()))
        {
            Some((key, _)) => Err(SelectorError::UnknownField(key.clone())),
            None => Ok(selector),
        }
    }

    /// Whether all requirements are met by the values that `lookup` returns for their keys.
    fn matches(&self, lookup: impl Fn(&str) -> Option<String>) -> bool {
        self.0.iter().all(|(key, requirement)| {
            let value = lookup(key);
            match requirement {
                Requirement::Present => value.is_some(),
                Requirement::Absent => value.is_none(),
                Requirement::In(set) => value.is_some_and(|v| set.contains(&v)),
                // An object without the label matches, as in Kubernetes.
                Requirement::NotIn(set) => value.is_none_or(|v| !set.contains(&v)),
            }
        })
    }

    pub fn matches_labels(&self, labels: &BTreeMap<String, String>) -> bool {
        self.matches(|key| labels.get(key).cloned())
    }

    pub fn matches_fields(&self, field: impl Fn(&str) -> String) -> bool {
        self.matches(|key| Some(field(key)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn label_selector_matches(selector: &str, labels: &[(&str, &str)]) -> bool {
        let labels = labels.iter().map(|(k, v)| (k.to_string(), v.to_string()));
        let selector = Selector::labels(selector).expect(selector);
        selector.matches_labels(&labels.collect())
    }

    #[test]
    fn a_label_selector_matches_if_all_requirements_are_met() {
        let labels = [("app", "merge"), ("shop", "a.b"), ("inside", "x")];
        for (selector, expected) in [
            ("", true),
            ("app=merge", true),
            ("app == merge , shop!=c", true),
            ("app!=merge", false),
            ("other!=merge", true),
            ("app in (merge, sort),shop", true),
            ("app notin (merge)", false),
            ("other notin (merge)", true),
            ("!other", true),
            ("!app", false),
            ("other", false),
            ("app=", false),
            ("inside=x", true),
            ("inside", true),
            ("team/app=merge", false),
        ] {
            assert_eq!(
                label_selector_matches(selector, &labels),
                expected,
                "{selector:?}"
            );
        }
    }

    #[test]
    fn selector_errors_give_the_column_or_the_field() {
        for (selector, column) in [
            ("app=merge,,x", 11),
            ("app in merge", 5),
            ("a=b c", 5),
            ("=x", 1),
        ] {
            match Selector::labels(selector) {
                Err(SelectorError::Syntax(at, _)) => assert_eq!(at, column, "{selector:?}"),
                other => panic!("{selector:?}: {other:?}"),
            }
        }
        let known = ["metadata.name"];
        assert!(Selector::fields("metadata.name=x", &known).is_ok());
        assert_eq!(
            Selector::fields("spec.x=1", &known),
            Err(SelectorError::UnknownField("spec.x".into()))
        );
    }
}
