//! The operators' settings of the API server, and the authentication of its clients.

use crate::names::{SigningKey, decode_hex};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The table `[kube]` of the operators' settings file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address to listen on, IP:PORT. It must be a loopback address unless `tls` is set.
    #[serde(rename = "listen")]
    pub listen: SocketAddr,
    /// The certificate and key files, in PEM format. They are reloaded when they change.
    #[serde(rename = "tls", default)]
    pub tls: Option<Tls>,
    /// A file of at least 64 hexadecimal digits, the same at every controller. Job ids,
    /// uids and the MACs of tokens are derived from this key, so it must never change.
    #[serde(rename = "key_file")]
    pub key_file: PathBuf,
    /// The class of Jobs without the annotation `dillcleat/class`.
    #[serde(rename = "class", default)]
    pub class: Option<String>,
    /// Classes of Jobs whose name may be used again after the object was deleted.
    #[serde(rename = "repeats", default)]
    pub name_reuse_classes: Vec<String>,
    /// The resource name of accelerators in requests and limits.
    #[serde(rename = "accelerator", default = "default_accelerator")]
    pub accelerator: String,
    /// The maximum number of objects. Every controller has all of them in memory.
    #[serde(rename = "max_objects", default = "default_max_objects")]
    pub max_objects: usize,
    /// The maximum number of open watches at one controller.
    #[serde(rename = "max_watches", default = "default_max_watches")]
    pub max_watches: usize,
    #[serde(rename = "tokens", default)]
    pub tokens: Vec<TokenGrant>,
}

fn default_accelerator() -> String {
    "nvidia.com/gpu".into()
}

fn default_max_objects() -> usize {
    5_000
}

fn default_max_watches() -> usize {
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

/// The permissions of a bearer token. The token itself is not stored.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Token")]
pub struct TokenGrant {
    /// The holder's name, for the log.
    #[serde(rename = "name")]
    pub name: String,
    /// The MAC of the token under the signing key, in hexadecimal digits.
    #[serde(rename = "mac")]
    pub mac: String,
    /// The namespaces that the token may access, or `*`.
    #[serde(rename = "namespaces")]
    pub namespaces: Vec<String>,
    /// The verbs that the token allows: `get`, `list`, `watch`, `create`, `update`, `patch`
    /// and `delete`, or `*`.
    #[serde(rename = "verbs")]
    pub verbs: Vec<String>,
}

/// The verb of a request, as in Kubernetes authorization rules.
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

    /// Whether `text` is valid among the verbs of a token: a verb, or `*` for all.
    pub fn is_verb_or_wildcard(text: &str) -> bool {
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

impl TokenGrant {
    pub fn may_access(&self, namespace: &str) -> bool {
        let all = self.namespaces.iter();
        all.into_iter().any(|n| n == "*" || n == namespace)
    }

    pub fn allows(&self, verb: Verb) -> bool {
        self.verbs.iter().any(|v| v == "*" || v == verb.name())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    #[error("kube: {0}")]
    Syntax(String),
    #[error("kube.listen: {0} is not a loopback address, so kube.tls is needed")]
    TlsRequired(SocketAddr),
    #[error("kube.tokens.{0}.mac: not 64 hexadecimal digits")]
    InvalidMac(String),
    #[error("kube.tokens.{0}.verbs: no verb {1:?}")]
    UnknownVerb(String, String),
    #[error("kube.{0}: must be from {1} to {2}, is {3}")]
    OutOfRange(&'static str, usize, usize, usize),
}

impl Settings {
    pub fn read(table: toml::Value) -> Result<Settings, SettingsError> {
        let settings: Settings = table.try_into().map_err(|e: toml::de::Error| {
            SettingsError::Syntax(dillcleat_wire::settings::one_line(&e.to_string()))
        })?;
        if settings.tls.is_none() && !settings.listen.ip().is_loopback() {
            return Err(SettingsError::TlsRequired(settings.listen));
        }
        for (name, value, max) in [
            ("max_objects", settings.max_objects, 1_000_000),
            ("max_watches", settings.max_watches, 100_000),
        ] {
            if !(1..=max).contains(&value) {
                return Err(SettingsError::OutOfRange(name, 1, max, value));
            }
        }
        for token in &settings.tokens {
            if decode_hex(&token.mac).is_none_or(|m| m.len() != 32) {
                return Err(SettingsError::InvalidMac(token.name.clone()));
            }
            if let Some(verb) = token.verbs.iter().find(|v| !Verb::is_verb_or_wildcard(v)) {
                return Err(SettingsError::UnknownVerb(token.name.clone(), verb.clone()));
            }
        }
        Ok(settings)
    }
}

/// The settings together with the key that `key_file` contains.
#[derive(Debug, Clone)]
pub struct ApiServerConfig {
    pub settings: Settings,
    pub key: SigningKey,
    /// The permissions of tokens, with the decoded MACs of the tokens.
    grants: Vec<(Vec<u8>, Rc<TokenGrant>)>,
}

impl ApiServerConfig {
    pub fn new(settings: Settings, key: SigningKey) -> ApiServerConfig {
        let tokens = settings.tokens.iter();
        let decode = |t: &TokenGrant| (decode_hex(&t.mac).unwrap_or_default(), Rc::new(t.clone()));
        ApiServerConfig {
            grants: tokens.map(decode).collect(),
            settings,
            key,
        }
    }

    /// The permissions of a bearer token; None if it is unknown. Every known token is
    /// compared, so that the time taken does not reveal which one matched.
    pub fn authenticate(&self, token: &str) -> Option<Rc<TokenGrant>> {
        let mut found = None;
        for (mac, grant) in &self.grants {
            if self.key.verify_token(token, mac) {
                found = Some(grant.clone());
            }
        }
        found
    }

    /// Whether a name may be used again after its object was deleted.
    pub fn allows_name_reuse(&self, class: &str) -> bool {
        self.settings.name_reuse_classes.iter().any(|c| c == class)
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
    fn invalid_settings_are_rejected_with_the_key_in_the_error() {
        let good = "listen = \"127.0.0.1:6443\"\nkey_file = \"k\"\n";
        assert_eq!(read(good).map(|s| s.max_objects), Ok(5_000));
        let assert_rejected = |lines: &str, expected: &str| {
            let e = read(&format!("{good}{lines}"))
                .expect_err(lines)
                .to_string();
            assert!(e.contains(expected), "{lines}: {e}");
        };
        assert_rejected("max_objects = 0\n", "kube.max_objects: must be from 1");
        assert_rejected("colour = 1\n", "colour");
        let token = "[[tokens]]\nname = \"a\"\nnamespaces = [\"*\"]\n";
        assert_rejected(
            &format!("{token}mac = \"12\"\nverbs = []\n"),
            "kube.tokens.a.mac",
        );
        let mac = "00".repeat(32);
        assert_rejected(
            &format!("{token}mac = \"{mac}\"\nverbs = [\"erase\"]\n"),
            "no verb \"erase\"",
        );
        let open = "listen = \"10.0.0.1:6443\"\nkey_file = \"k\"\n";
        assert!(matches!(read(open), Err(SettingsError::TlsRequired(_))));
    }
}
