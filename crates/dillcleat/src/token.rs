//! The command `token`, which generates keys and bearer tokens for the API server.

use crate::error::CliError;
use clap::Subcommand;
use dillcleat_kube::SigningKey;
use dillcleat_kube::names::{MIN_KEY_BYTES, encode_hex};
use dillcleat_kube::settings::Verb;
use std::io::Read;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Token {
    /// Print a new key for the file that `kube.key_file` specifies
    Key,
    /// Print a new token, and on standard error the settings entry for it
    New {
        /// File with the operators' signing key
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// Name of the token's holder, for the log
        #[arg(long)]
        name: String,
        /// Namespaces that the token may access, or *
        #[arg(long, value_delimiter = ',', required = true)]
        namespaces: Vec<String>,
        /// Verbs that the token allows: get, list, watch, create, update, patch, delete, or *
        #[arg(long, value_delimiter = ',', required = true)]
        verbs: Vec<String>,
    },
}

/// Random bytes from the operating system, in hexadecimal digits.
fn random_secret() -> Result<String, CliError> {
    let mut bytes = [0u8; MIN_KEY_BYTES];
    let source = "/dev/urandom";
    std::fs::File::open(source)
        .and_then(|mut f| f.read_exact(&mut bytes))
        .map_err(|e| CliError::File(source.into(), e.to_string()))?;
    Ok(encode_hex(&bytes))
}

fn quoted(all: &[String]) -> String {
    let each = all.iter().map(|t| format!("{t:?}"));
    each.collect::<Vec<_>>().join(", ")
}

impl Token {
    pub fn run(self) -> Result<(), CliError> {
        let (key_file, name, namespaces, verbs) = match self {
            Token::Key => {
                println!("{}", random_secret()?);
                return Ok(());
            }
            Token::New {
                key_file,
                name,
                namespaces,
                verbs,
            } => (key_file, name, namespaces, verbs),
        };
        if let Some(verb) = verbs.iter().find(|v| !Verb::is_verb_or_wildcard(v)) {
            return Err(CliError::Usage(format!("there is no verb {verb:?}")));
        }
        let file_error = |e: String| CliError::File(key_file.display().to_string(), e);
        let text = std::fs::read_to_string(&key_file).map_err(|e| file_error(e.to_string()))?;
        let key = SigningKey::parse(&text).map_err(|e| file_error(e.to_string()))?;
        let token = random_secret()?;
        println!("{token}");
        eprintln!(
            "[[kube.tokens]]\nname = {name:?}\nmac = \"{}\"\nnamespaces = [{}]\nverbs = [{}]",
            key.token(&token),
            quoted(&namespaces),
            quoted(&verbs)
        );
        Ok(())
    }
}
