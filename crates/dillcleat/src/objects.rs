//! The commands `apply`, `get`, `describe` and `delete` for Kubernetes objects.

use crate::client::{ApiServerArgs, Client, Request, status_message};
use crate::error::CliError;
use clap::{Args, ValueEnum};
use dillcleat_kube::yaml;
use serde_json::{Value, json};
use std::io::Read;
use std::path::{Path, PathBuf};

/// The `Accept` header of requests for tables.
const ACCEPT_TABLE: &str = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json";

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    Table,
    Json,
    Yaml,
    Name,
}

#[derive(Args)]
pub struct Apply {
    #[command(flatten)]
    server: ApiServerArgs,
    /// File with YAML or JSON documents, or - for standard input
    #[arg(short, long, value_name = "FILE")]
    filename: PathBuf,
    /// Namespace of objects that do not specify one
    #[arg(short, long)]
    namespace: Option<String>,
    /// Validate the objects without changing anything
    #[arg(long)]
    dry_run: bool,
    /// Wait until every Job is Complete; the exit code is 1 if one fails
    #[arg(long)]
    wait: bool,
}

#[derive(Args)]
pub struct Get {
    #[command(flatten)]
    server: ApiServerArgs,
    /// Kind of objects: jobs or namespaces
    resource: Resource,
    /// Show only the object with this name
    name: Option<String>,
    /// Show only this namespace; by default all that the token may access
    #[arg(short, long)]
    namespace: Option<String>,
    /// Label selector, such as app=merge,shop!=7
    #[arg(short = 'l', long, value_name = "SELECTOR")]
    selector: Option<String>,
    #[arg(short, long, value_enum, default_value = "table")]
    output: OutputFormat,
    /// Show changes as they happen after the list
    #[arg(short, long)]
    watch: bool,
}

/// The arguments of commands that address one object.
#[derive(Args)]
pub struct ObjectArgs {
    #[command(flatten)]
    server: ApiServerArgs,
    /// Kind of the object: jobs
    resource: Resource,
    name: String,
    #[arg(short, long)]
    namespace: String,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Resource {
    #[value(alias = "job")]
    Jobs,
    #[value(alias = "ns", alias = "namespace")]
    Namespaces,
}

/// The path of the Jobs of one namespace, or of all namespaces.
fn collection_path(namespace: Option<&str>) -> String {
    match namespace {
        Some(namespace) => format!("/apis/batch/v1/namespaces/{namespace}/jobs"),
        None => "/apis/batch/v1/jobs".into(),
    }
}

/// The error for a response with an unexpected status.
fn response_error(status: u16, response: &Value) -> CliError {
    CliError::Failed(format!("{status}: {}", status_message(response)))
}

fn text<'a>(value: &'a Value, pointer: &str) -> &'a str {
    value
        .pointer(pointer)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn read_file_or_stdin(path: &Path) -> Result<String, CliError> {
    let error = |e: std::io::Error| CliError::File(path.display().to_string(), e.to_string());
    if path != Path::new("-") {
        return std::fs::read_to_string(path).map_err(error);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(error)?;
    Ok(text)
}

/// The type and reason of the condition that ends a Job; None if it has not ended.
fn final_condition(job: &Value) -> Option<(&str, &str)> {
    let conditions = job.pointer("/status/conditions")?.as_array()?;
    let mut final_conditions = conditions.iter().filter_map(|c| {
        let kind = c["type"].as_str()?;
        Some((kind, c["reason"].as_str()?)).filter(|_| matches!(kind, "Complete" | "Failed"))
    });
    final_conditions.next()
}

impl Apply {
    pub fn run(self) -> Result<(), CliError> {
        let client = self.server.client()?;
        let file_error = |e: String| CliError::File(self.filename.display().to_string(), e);
        let objects = yaml::parse_documents(&read_file_or_stdin(&self.filename)?)
            .map_err(|e| file_error(e.to_string()))?;
        if objects.is_empty() {
            return Err(file_error("no document".into()));
        }
        let mut applied = Vec::new();
        for (i, object) in objects.iter().enumerate() {
            let (version, kind) = (text(object, "/apiVersion"), text(object, "/kind"));
            if (version, kind) != ("batch/v1", "Job") {
                let message = format!("document {}: {version} {kind} is not served", i + 1);
                return Err(file_error(message));
            }
            let namespace = match text(object, "/metadata/namespace") {
                "" => self.namespace.as_deref(),
                own => Some(own),
            };
            let Some(namespace) = namespace else {
                return Err(file_error(format!("document {}: no namespace", i + 1)));
            };
            let name = text(object, "/metadata/name");
            let outcome = self.apply_object(&client, namespace, name, object)?;
            println!("job.batch/{name} {outcome}");
            applied.push((namespace.to_string(), name.to_string()));
        }
        if self.wait && !self.dry_run {
            for (namespace, name) in applied {
                wait_until_complete(&client, &namespace, &name)?;
            }
        }
        Ok(())
    }

    /// Creates an object or patches the existing one. Returns the word for the outcome:
    /// created, configured or unchanged.
    fn apply_object(
        &self,
        client: &Client,
        namespace: &str,
        name: &str,
        object: &Value,
    ) -> Result<&'static str, CliError> {
        let query = if self.dry_run { "?dryRun=All" } else { "" };
        let path = format!("{}/{name}", collection_path(Some(namespace)));
        let (status, before) = client.call(&Request::get(&path))?;
        let body = object.to_string();
        let (method, target, media_type, outcome) = match status {
            404 => (
                "POST",
                format!("{}{query}", collection_path(Some(namespace))),
                "application/json",
                "created",
            ),
            200 => (
                "PATCH",
                format!("{path}{query}"),
                "application/merge-patch+json",
                "configured",
            ),
            _ => return Err(response_error(status, &before)),
        };
        let request = Request {
            method,
            target: &target,
            accept: "application/json",
            media_type,
            body: body.as_bytes(),
        };
        let (status, after) = client.call(&request)?;
        let version = "/metadata/resourceVersion";
        match status {
            201 => Ok(outcome),
            200 if text(&before, version) == text(&after, version) => Ok("unchanged"),
            200 => Ok(outcome),
            _ => Err(response_error(status, &after)),
        }
    }
}

/// Watches a Job until it is Complete; an error if it fails or is deleted.
fn wait_until_complete(client: &Client, namespace: &str, name: &str) -> Result<(), CliError> {
    let target = format!(
        "{}?watch=true&allowWatchBookmarks=true&fieldSelector=metadata.name%3D{name}",
        collection_path(Some(namespace))
    );
    let mut condition = None;
    while condition.is_none() {
        client.follow(&Request::get(&target), |line| {
            if line["type"] == "DELETED" {
                return Err(CliError::Failed(format!("{name} was deleted")));
            }
            condition =
                final_condition(&line["object"]).map(|(k, r)| (k.to_string(), r.to_string()));
            Ok(condition.is_some())
        })?;
    }
    match condition {
        Some((kind, reason)) if kind == "Failed" => Err(CliError::Failed(format!(
            "job.batch/{name} failed: {reason}"
        ))),
        _ => {
            println!("job.batch/{name} complete");
            Ok(())
        }
    }
}

/// Prints a table, with the columns padded to equal width.
fn print_table(columns: &[String], rows: &[Vec<String>]) {
    let width = |i: usize| {
        let cells = rows.iter().map(|r| r.get(i).map_or(0, String::len));
        cells.chain([columns[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        println!("{}", padded.collect::<Vec<_>>().join("   ").trim_end());
    };
    line(columns);
    rows.iter().for_each(|r| line(r));
}

/// The rows of a table, each with the object's namespace as the first cell.
fn table_rows(table: &Value) -> Vec<Vec<String>> {
    let rows = table["rows"].as_array().into_iter().flatten();
    rows.map(|row| {
        let cells = row["cells"].as_array().into_iter().flatten();
        let namespace = text(row, "/object/metadata/namespace").to_string();
        let cells = cells.map(|c| c.as_str().map_or_else(|| c.to_string(), str::to_string));
        [namespace].into_iter().chain(cells).collect()
    })
    .collect()
}

fn table_columns(table: &Value) -> Vec<String> {
    let named = table["columnDefinitions"].as_array().into_iter().flatten();
    let names = named.map(|c| c["name"].as_str().unwrap_or_default().to_uppercase());
    ["NAMESPACE".to_string()].into_iter().chain(names).collect()
}

impl Get {
    /// The request target, with query parameters in addition to the label selector.
    fn target(&self, parameters: &[(&str, &str)]) -> String {
        let base = match (self.resource, &self.name) {
            (Resource::Namespaces, None) => "/api/v1/namespaces".to_string(),
            (Resource::Namespaces, Some(name)) => format!("/api/v1/namespaces/{name}"),
            (Resource::Jobs, None) => collection_path(self.namespace.as_deref()),
            (Resource::Jobs, Some(name)) => {
                format!("{}/{name}", collection_path(self.namespace.as_deref()))
            }
        };
        let mut query = form_urlencoded::Serializer::new(String::new());
        if let Some(selector) = &self.selector {
            query.append_pair("labelSelector", selector);
        }
        let query = query.extend_pairs(parameters).finish();
        if query.is_empty() {
            return base;
        }
        format!("{base}?{query}")
    }

    pub fn run(self) -> Result<(), CliError> {
        if self.name.is_some() && self.namespace.is_none() && self.resource == Resource::Jobs {
            return Err(CliError::Usage("give --namespace with a name".into()));
        }
        if self.watch && (self.name.is_some() || self.resource == Resource::Namespaces) {
            return Err(CliError::Usage("--watch is for lists of jobs".into()));
        }
        let client = self.server.client()?;
        // The server does not render namespaces as tables.
        let table = self.output == OutputFormat::Table && self.resource == Resource::Jobs;
        let mut continue_token = String::new();
        let mut pages: Vec<Value> = Vec::new();
        loop {
            let parameters = [("continue", continue_token.as_str())];
            let target = self.target(match continue_token.as_str() {
                "" => &[],
                _ => &parameters,
            });
            let request = Request {
                accept: if table {
                    ACCEPT_TABLE
                } else {
                    "application/json"
                },
                ..Request::get(&target)
            };
            let (status, page) = client.call(&request)?;
            if status != 200 {
                return Err(response_error(status, &page));
            }
            continue_token = text(&page, "/metadata/continue").to_string();
            pages.push(page);
            if continue_token.is_empty() {
                break;
            }
        }
        self.show(&pages);
        let version = pages
            .first()
            .map(|p| text(p, "/metadata/resourceVersion").to_string());
        match version {
            Some(version) if self.watch => self.follow(&client, version),
            _ => Ok(()),
        }
    }

    fn show(&self, pages: &[Value]) {
        let items = |page: &Value| match page["items"].as_array() {
            Some(items) => items.clone(),
            None => vec![page.clone()],
        };
        let all: Vec<Value> = pages.iter().flat_map(items).collect();
        match self.output {
            OutputFormat::Table if self.resource == Resource::Jobs => {
                let rows: Vec<Vec<String>> = pages.iter().flat_map(table_rows).collect();
                match pages.first() {
                    Some(first) if !rows.is_empty() => print_table(&table_columns(first), &rows),
                    _ => println!("no jobs"),
                }
            }
            OutputFormat::Table | OutputFormat::Name => {
                let prefix = match self.resource {
                    Resource::Jobs => "job.batch/",
                    Resource::Namespaces if self.output == OutputFormat::Name => "namespace/",
                    Resource::Namespaces => "",
                };
                for item in &all {
                    println!("{prefix}{}", text(item, "/metadata/name"));
                }
            }
            OutputFormat::Json | OutputFormat::Yaml => {
                let shown = match all.as_slice() {
                    [one] if self.name.is_some() => one.clone(),
                    _ => json!({"apiVersion": "v1", "kind": "List", "items": all}),
                };
                if self.output == OutputFormat::Json {
                    println!("{shown:#}");
                } else {
                    print!("{}", yaml::to_text(&shown));
                }
            }
        }
    }

    /// Prints changes. When a watch ends, the next one continues at the last version.
    fn follow(&self, client: &Client, mut version: String) -> Result<(), CliError> {
        loop {
            let parameters = [
                ("watch", "true"),
                ("allowWatchBookmarks", "true"),
                ("resourceVersion", &version),
            ];
            let target = self.target(&parameters);
            let mut latest = version.clone();
            client.follow(&Request::get(&target), |line| {
                if line["type"] == "ERROR" {
                    return Err(response_error(410, &line["object"]));
                }
                let object = &line["object"];
                latest = text(object, "/metadata/resourceVersion").to_string();
                if line["type"] != "BOOKMARK" {
                    let state = final_condition(object).map_or("open", |(kind, _)| kind);
                    println!(
                        "{:<9} {}/{} {state}",
                        line["type"].as_str().unwrap_or_default(),
                        text(object, "/metadata/namespace"),
                        text(object, "/metadata/name"),
                    );
                }
                Ok(false)
            })?;
            version = latest;
        }
    }
}

/// The path of one Job; an error if the resource is not jobs.
fn object_path(resource: Resource, namespace: &str, name: &str) -> Result<String, CliError> {
    match resource {
        Resource::Jobs => Ok(format!("{}/{name}", collection_path(Some(namespace)))),
        Resource::Namespaces => Err(CliError::Usage("this is for jobs".into())),
    }
}

/// Formats a value on one line; an object as `key=value, ...`.
fn one_line(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let all = fields.iter().map(|(k, v)| format!("{k}={}", one_line(v)));
            all.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

impl ObjectArgs {
    pub fn describe(self) -> Result<(), CliError> {
        let target = object_path(self.resource, &self.namespace, &self.name)?;
        let (status, job) = self.server.client()?.call(&Request::get(&target))?;
        if status != 200 {
            return Err(response_error(status, &job));
        }
        let field = |pointer: &str| job.pointer(pointer).map_or("-".into(), one_line);
        for (label, pointer) in [
            ("Name", "/metadata/name"),
            ("Namespace", "/metadata/namespace"),
            ("Uid", "/metadata/uid"),
            ("Stands for", "/metadata/annotations/dillcleat~1job"),
            ("Labels", "/metadata/labels"),
            ("Image", "/spec/template/spec/containers/0/image"),
            (
                "Requests",
                "/spec/template/spec/containers/0/resources/requests",
            ),
            ("Completions", "/spec/completions"),
            ("At once", "/spec/parallelism"),
            ("Backoff limit", "/spec/backoffLimit"),
            ("Created", "/metadata/creationTimestamp"),
            ("Started", "/status/startTime"),
            ("Completed", "/status/completionTime"),
        ] {
            println!("{label:<14} {}", field(pointer));
        }
        println!(
            "{:<14} {} running, {} done, {} failed attempts",
            "Tasks",
            field("/status/active"),
            field("/status/succeeded"),
            field("/status/failed")
        );
        let conditions = job.pointer("/status/conditions").and_then(Value::as_array);
        for c in conditions.into_iter().flatten() {
            let (kind, reason) = (one_line(&c["type"]), one_line(&c["reason"]));
            println!(
                "{:<14} {kind}: {reason}, {}",
                "Condition",
                one_line(&c["message"])
            );
        }
        Ok(())
    }

    pub fn delete(self) -> Result<(), CliError> {
        let target = object_path(self.resource, &self.namespace, &self.name)?;
        let request = Request {
            method: "DELETE",
            ..Request::get(&target)
        };
        let (status, response) = self.server.client()?.call(&request)?;
        if status != 200 {
            return Err(response_error(status, &response));
        }
        println!("job.batch/{} deleted", self.name);
        Ok(())
    }
}
