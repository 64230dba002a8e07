//! Label and field selectors.

use pest::Parser;
use pest::iterators::Pair;
use pest_derive::Parser;
use std::collections::BTreeMap;

#[derive(Parser)]
#[grammar = "select.pest"]
struct Grammar;

/// Why a selector is none: it names the column.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SelectorError {
    #[error("not a selector, at column {0}: {1:?}")]
    Syntax(usize, String),
    #[error("no selection by the field {0:?}")]
    Field(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Test {
    Present,
    Absent,
    In(Vec<String>),
    NotIn(Vec<String>),
}

/// What an object must be like, by labels or by fields. The empty one takes any.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Selector(Vec<(String, Test)>);

fn syntax(text: &str, e: &pest::error::Error<Rule>) -> SelectorError {
    let column = match e.line_col {
        pest::error::LineColLocation::Pos((_, column))
        | pest::error::LineColLocation::Span((_, column), _) => column,
    };
    SelectorError::Syntax(column, text.to_string())
}

fn requirement(pair: Pair<Rule>) -> Option<(String, Test)> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner().map(|p| p.as_str().to_string());
    let key = parts.next()?;
    let test = match rule {
        Rule::absent => Test::Absent,
        Rule::present => Test::Present,
        _ => {
            let negative = matches!(parts.next()?.as_str(), "!=" | "notin");
            let values = parts.collect();
            if negative {
                Test::NotIn(values)
            } else {
                Test::In(values)
            }
        }
    };
    Some((key, test))
}

fn parse(rule: Rule, text: &str) -> Result<Selector, SelectorError> {
    let pairs = Grammar::parse(rule, text).map_err(|e| syntax(text, &e))?;
    let all = pairs.flat_map(Pair::into_inner);
    let terms = all.filter(|p| p.as_rule() != Rule::EOI);
    Ok(Selector(terms.filter_map(requirement).collect()))
}

impl Selector {
    pub fn labels(text: &str) -> Result<Selector, SelectorError> {
        parse(Rule::labels, text)
    }

    /// By fields, of which only those in `known` may be named.
    pub fn fields(text: &str, known: &[&str]) -> Result<Selector, SelectorError> {
        let selector = parse(Rule::fields, text)?;
        match selector
            .0
            .iter()
            .find(|(k, _)| !known.contains(&k.as_str()))
        {
            Some((key, _)) => Err(SelectorError::Field(key.clone())),
            None => Ok(selector),
        }
    }

    fn holds(&self, value: impl Fn(&str) -> Option<String>) -> bool {
        self.0.iter().all(|(key, test)| {
            let value = value(key);
            match test {
                Test::Present => value.is_some(),
                Test::Absent => value.is_none(),
                Test::In(all) => value.is_some_and(|v| all.contains(&v)),
                // What has no such label is not in any set either.
                Test::NotIn(all) => value.is_none_or(|v| !all.contains(&v)),
            }
        })
    }

    pub fn takes_labels(&self, labels: &BTreeMap<String, String>) -> bool {
        self.holds(|key| labels.get(key).cloned())
    }

    pub fn takes_fields(&self, field: impl Fn(&str) -> String) -> bool {
        self.holds(|key| Some(field(key)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn takes(selector: &str, labels: &[(&str, &str)]) -> bool {
        let labels = labels.iter().map(|(k, v)| (k.to_string(), v.to_string()));
        let selector = Selector::labels(selector).expect(selector);
        selector.takes_labels(&labels.collect())
    }

    #[test]
    fn labels_are_selected() {
        let of = [("app", "merge"), ("shop", "a.b"), ("inside", "x")];
        for (selector, wanted) in [
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
            assert_eq!(takes(selector, &of), wanted, "{selector:?}");
        }
    }

    #[test]
    fn what_is_wrong_is_pointed_at() {
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
            Err(SelectorError::Field("spec.x".into()))
        );
    }
}
