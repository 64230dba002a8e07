//! What operators set for this API server, and who may use it.

use crate::names::{SigningKey, unhex};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The table `[kube]` of the operators' settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens, IP:PORT. Without `tls` only a loopback address is taken.
    #[serde(rename = "listen")]
    pub listen: SocketAddr,
    /// Certificate and key, as PEM files. Read again when they change.
    #[serde(rename = "tls", default)]
    pub tls: Option<Tls>,
    /// A file of at least 64 hexadecimal digits, the same at every controller. Names
    /// of jobs and the kept form of tokens follow from it: it does not change.
    #[serde(rename = "key_file")]
    pub key_file: PathBuf,
    /// The class of jobs that name none.
    #[serde(rename = "class", default)]
    pub class: Option<String>,
    /// Classes in which a name may be used again after its object was deleted.
    #[serde(rename = "repeats", default)]
    pub repeats: Vec<String>,
    /// How clients call accelerators among the resources.
    #[serde(rename = "accelerator", default = "accelerator")]
    pub accelerator: String,
    /// The most objects. Every controller holds all of them.
    #[serde(rename = "max_objects", default = "max_objects")]
    pub max_objects: usize,
    /// The most clients that may watch at one controller.
    #[serde(rename = "max_watches", default = "max_watches")]
    pub max_watches: usize,
    #[serde(rename = "tokens", default)]
    pub tokens: Vec<Token>,
}

fn accelerator() -> String {
    "nvidia.com/gpu".into()
}

fn max_objects() -> usize {
    5_000
}

fn max_watches() -> usize {
    500
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    #[serde(rename = "cert")]
    pub cert: PathBuf,
    #[serde(rename = "key")]
    pub key: PathBuf,
}

/// Whom a token admits, and to what. The token itself is kept nowhere.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Whom it was given to, for the log.
    #[serde(rename = "name")]
    pub name: String,
    /// Its MAC under the operators' key, in hexadecimal digits.
    #[serde(rename = "mac")]
    pub mac: String,
    /// Namespaces, or `*`.
    #[serde(rename = "namespaces")]
    pub namespaces: Vec<String>,
    /// Of `get`, `list`, `watch`, `create`, `update`, `patch` and `delete`, or `*`.
    #[serde(rename = "verbs")]
    pub verbs: Vec<String>,
}

/// What is asked for, as a token's verbs call it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    Get,
    List,
    Watch,
    Create,
    Update,
    Patch,
    Delete,
}

impl Verb {
    pub const ALL: [Verb; 7] = [
        Verb::Get,
        Verb::List,
        Verb::Watch,
        Verb::Create,
        Verb::Update,
        Verb::Patch,
        Verb::Delete,
    ];

    /// Whether a token's entry may name this: a verb, or `*` for all.
    pub fn is_entry(text: &str) -> bool {
        text == "*" || Verb::ALL.iter().any(|verb| verb.name() == text)
    }

    pub fn name(self) -> &'static str {
        match self {
            Verb::Get => "get",
            Verb::List => "list",
            Verb::Watch => "watch",
            Verb::Create => "create",
            Verb::Update => "update",
            Verb::Patch => "patch",
            Verb::Delete => "delete",
        }
    }
}

impl Token {
    pub fn sees(&self, namespace: &str) -> bool {
        let all = self.namespaces.iter();
        all.into_iter().any(|n| n == "*" || n == namespace)
    }

    pub fn may(&self, verb: Verb) -> bool {
        self.verbs.iter().any(|v| v == "*" || v == verb.name())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    #[error("kube: {0}")]
    Form(String),
    #[error("kube.listen: {0} is not a loopback address, so kube.tls is needed")]
    Plain(SocketAddr),
    #[error("kube.tokens.{0}.mac: not 64 hexadecimal digits")]
    Mac(String),
    #[error("kube.tokens.{0}.verbs: no verb {1:?}")]
    Verb(String, String),
    #[error("kube.{0}: must be from {1} to {2}, is {3}")]
    Range(&'static str, usize, usize, usize),
}

impl Settings {
    pub fn read(table: toml::Value) -> Result<Settings, SettingsError> {
        let settings: Settings = table.try_into().map_err(|e: toml::de::Error| {
            SettingsError::Form(dillcleat_wire::settings::one_line(&e.to_string()))
        })?;
        if settings.tls.is_none() && !settings.listen.ip().is_loopback() {
            return Err(SettingsError::Plain(settings.listen));
        }
        for (name, value, most) in [
            ("max_objects", settings.max_objects, 1_000_000),
            ("max_watches", settings.max_watches, 100_000),
        ] {
            if !(1..=most).contains(&value) {
                return Err(SettingsError::Range(name, 1, most, value));
            }
        }
        for token in &settings.tokens {
            if unhex(&token.mac).is_none_or(|m| m.len() != 32) {
                return Err(SettingsError::Mac(token.name.clone()));
            }
            if let Some(verb) = token.verbs.iter().find(|v| !Verb::is_entry(v)) {
                return Err(SettingsError::Verb(token.name.clone(), verb.clone()));
            }
        }
        Ok(settings)
    }
}

/// The settings with the key that they name.
#[derive(Debug, Clone)]
pub struct Rules {
    pub settings: Settings,
    pub key: SigningKey,
    /// Tokens with their MACs.
    tokens: Vec<(Vec<u8>, Rc<Token>)>,
}

impl Rules {
    pub fn new(settings: Settings, key: SigningKey) -> Rules {
        let tokens = settings.tokens.iter();
        let read = |t: &Token| (unhex(&t.mac).unwrap_or_default(), Rc::new(t.clone()));
        Rules {
            tokens: tokens.map(read).collect(),
            settings,
            key,
        }
    }

    /// The token that this is. Looks at every one, so that the time tells nothing.
    pub fn token(&self, secret: &str) -> Option<Rc<Token>> {
        let mut found = None;
        for (mac, token) in &self.tokens {
            if self.key.is_token(secret, mac) {
                found = Some(token.clone());
            }
        }
        found
    }

    pub fn repeats(&self, class: &str) -> bool {
        self.settings.repeats.iter().any(|c| c == class)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Settings, SettingsError> {
        let table: toml::Table = toml::from_str(text).expect("toml");
        Settings::read(toml::Value::Table(table))
    }

    #[test]
    fn settings_are_checked() {
        let good = "listen = \"127.0.0.1:6443\"\nkey_file = \"k\"\n";
        assert_eq!(read(good).map(|s| s.max_objects), Ok(5_000));
        let refused = |more: &str, what: &str| {
            let e = read(&format!("{good}{more}")).expect_err(more).to_string();
            assert!(e.contains(what), "{more}: {e}");
        };
        refused("max_objects = 0\n", "kube.max_objects: must be from 1");
        refused("colour = 1\n", "colour");
        let token = "[[tokens]]\nname = \"a\"\nnamespaces = [\"*\"]\n";
        refused(
            &format!("{token}mac = \"12\"\nverbs = []\n"),
            "kube.tokens.a.mac",
        );
        let mac = "00".repeat(32);
        refused(
            &format!("{token}mac = \"{mac}\"\nverbs = [\"erase\"]\n"),
            "no verb \"erase\"",
        );
        let open = "listen = \"10.0.0.1:6443\"\nkey_file = \"k\"\n";
        assert!(matches!(read(open), Err(SettingsError::Plain(_))));
    }
}
