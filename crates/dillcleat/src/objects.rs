//! Commands on Kubernetes-shaped objects: apply, get, delete.

use crate::client::{Client, Request, Server, message};
use crate::error::CliError;
use clap::{Args, ValueEnum};
use dillcleat_kube::yaml;
use serde_json::{Value, json};
use std::io::Read;
use std::path::{Path, PathBuf};

const TABLE: &str = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json";

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Form {
    Table,
    Json,
    Yaml,
    Name,
}

#[derive(Args)]
pub struct Apply {
    #[command(flatten)]
    server: Server,
    /// A file of YAML or JSON documents; - for standard input
    #[arg(short, long, value_name = "FILE")]
    filename: PathBuf,
    /// The namespace of objects that name none
    #[arg(short, long)]
    namespace: Option<String>,
    /// Check everything and change nothing
    #[arg(long)]
    dry_run: bool,
    /// Wait until each Job is Complete; exit code 1 if one fails
    #[arg(long)]
    wait: bool,
}

#[derive(Args)]
pub struct Get {
    #[command(flatten)]
    server: Server,
    /// jobs or namespaces
    resource: Resource,
    /// Only this one
    name: Option<String>,
    /// Only of this namespace; of all that the token sees without it
    #[arg(short, long)]
    namespace: Option<String>,
    /// Labels that are wanted, such as app=merge,shop!=7
    #[arg(short = 'l', long, value_name = "SELECTOR")]
    selector: Option<String>,
    #[arg(short, long, value_enum, default_value = "table")]
    output: Form,
    /// Show what changes from now on, too
    #[arg(short, long)]
    watch: bool,
}

/// One object by its name.
#[derive(Args)]
pub struct One {
    #[command(flatten)]
    server: Server,
    /// jobs
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

fn jobs(namespace: Option<&str>) -> String {
    match namespace {
        Some(namespace) => format!("/apis/batch/v1/namespaces/{namespace}/jobs"),
        None => "/apis/batch/v1/jobs".into(),
    }
}

fn refused(status: u16, answer: &Value) -> CliError {
    CliError::Refused(format!("{status}: {}", message(answer)))
}

fn text<'a>(value: &'a Value, pointer: &str) -> &'a str {
    value
        .pointer(pointer)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn read(path: &Path) -> Result<String, CliError> {
    let bad = |e: std::io::Error| CliError::Settings(path.display().to_string(), e.to_string());
    if path != Path::new("-") {
        return std::fs::read_to_string(path).map_err(bad);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(bad)?;
    Ok(text)
}

/// How a Job is over, if it is.
fn end(job: &Value) -> Option<(&str, &str)> {
    let conditions = job.pointer("/status/conditions")?.as_array()?;
    let mut over = conditions.iter().filter_map(|c| {
        let kind = c["type"].as_str()?;
        Some((kind, c["reason"].as_str()?)).filter(|_| matches!(kind, "Complete" | "Failed"))
    });
    over.next()
}

impl Apply {
    pub fn run(self) -> Result<(), CliError> {
        let client = self.server.client()?;
        let bad = |e: String| CliError::Settings(self.filename.display().to_string(), e);
        let objects =
            yaml::parse_documents(&read(&self.filename)?).map_err(|e| bad(e.to_string()))?;
        if objects.is_empty() {
            return Err(bad("no document".into()));
        }
        let mut wait = Vec::new();
        for (i, object) in objects.iter().enumerate() {
            let (version, kind) = (text(object, "/apiVersion"), text(object, "/kind"));
            if (version, kind) != ("batch/v1", "Job") {
                let what = format!("document {}: {version} {kind} is not served", i + 1);
                return Err(bad(what));
            }
            let namespace = match text(object, "/metadata/namespace") {
                "" => self.namespace.as_deref(),
                own => Some(own),
            };
            let Some(namespace) = namespace else {
                return Err(bad(format!("document {}: no namespace", i + 1)));
            };
            let name = text(object, "/metadata/name");
            let what = self.one(&client, namespace, name, object)?;
            println!("job.batch/{name} {what}");
            wait.push((namespace.to_string(), name.to_string()));
        }
        if self.wait && !self.dry_run {
            for (namespace, name) in wait {
                finish(&client, &namespace, &name)?;
            }
        }
        Ok(())
    }

    /// Creates an object, or changes the one that is there; tells which.
    fn one(
        &self,
        client: &Client,
        namespace: &str,
        name: &str,
        object: &Value,
    ) -> Result<&'static str, CliError> {
        let dry = if self.dry_run { "?dryRun=All" } else { "" };
        let own = format!("{}/{name}", jobs(Some(namespace)));
        let (status, before) = client.call(&Request::get(&own))?;
        let body = object.to_string();
        let (method, target, media, done) = match status {
            404 => (
                "POST",
                format!("{}{dry}", jobs(Some(namespace))),
                "application/json",
                "created",
            ),
            200 => (
                "PATCH",
                format!("{own}{dry}"),
                "application/merge-patch+json",
                "configured",
            ),
            _ => return Err(refused(status, &before)),
        };
        let request = Request {
            method,
            target: &target,
            accept: "application/json",
            media,
            body: body.as_bytes(),
        };
        let (status, after) = client.call(&request)?;
        let version = "/metadata/resourceVersion";
        match status {
            201 => Ok(done),
            200 if text(&before, version) == text(&after, version) => Ok("unchanged"),
            200 => Ok(done),
            _ => Err(refused(status, &after)),
        }
    }
}

/// Waits for a Job's end by watching it.
fn finish(client: &Client, namespace: &str, name: &str) -> Result<(), CliError> {
    let target = format!(
        "{}?watch=true&allowWatchBookmarks=true&fieldSelector=metadata.name%3D{name}",
        jobs(Some(namespace))
    );
    let mut over = None;
    while over.is_none() {
        client.follow(&Request::get(&target), |line| {
            if line["type"] == "DELETED" {
                return Err(CliError::Refused(format!("{name} was deleted")));
            }
            over = end(&line["object"]).map(|(k, r)| (k.to_string(), r.to_string()));
            Ok(over.is_some())
        })?;
    }
    match over {
        Some((kind, reason)) if kind == "Failed" => Err(CliError::Refused(format!(
            "job.batch/{name} failed: {reason}"
        ))),
        _ => {
            println!("job.batch/{name} complete");
            Ok(())
        }
    }
}

/// Prints rows under their columns.
fn print(columns: &[String], rows: &[Vec<String>]) {
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

fn cells(table: &Value) -> Vec<Vec<String>> {
    let rows = table["rows"].as_array().into_iter().flatten();
    rows.map(|row| {
        let cells = row["cells"].as_array().into_iter().flatten();
        let namespace = text(row, "/object/metadata/namespace").to_string();
        let cells = cells.map(|c| c.as_str().map_or_else(|| c.to_string(), str::to_string));
        [namespace].into_iter().chain(cells).collect()
    })
    .collect()
}

fn columns(table: &Value) -> Vec<String> {
    let named = table["columnDefinitions"].as_array().into_iter().flatten();
    let names = named.map(|c| c["name"].as_str().unwrap_or_default().to_uppercase());
    ["NAMESPACE".to_string()].into_iter().chain(names).collect()
}

impl Get {
    fn target(&self, more: &[(&str, &str)]) -> String {
        let base = match (self.resource, &self.name) {
            (Resource::Namespaces, None) => "/api/v1/namespaces".to_string(),
            (Resource::Namespaces, Some(name)) => format!("/api/v1/namespaces/{name}"),
            (Resource::Jobs, None) => jobs(self.namespace.as_deref()),
            (Resource::Jobs, Some(name)) => {
                format!("{}/{name}", jobs(self.namespace.as_deref()))
            }
        };
        let mut query = form_urlencoded::Serializer::new(String::new());
        if let Some(selector) = &self.selector {
            query.append_pair("labelSelector", selector);
        }
        let query = query.extend_pairs(more).finish();
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
        // Namespaces have no table of their own.
        let table = self.output == Form::Table && self.resource == Resource::Jobs;
        let mut after = String::new();
        let mut pages: Vec<Value> = Vec::new();
        loop {
            let more = [("continue", after.as_str())];
            let target = self.target(if after.is_empty() { &[] } else { &more });
            let request = Request {
                accept: if table { TABLE } else { "application/json" },
                ..Request::get(&target)
            };
            let (status, page) = client.call(&request)?;
            if status != 200 {
                return Err(refused(status, &page));
            }
            after = text(&page, "/metadata/continue").to_string();
            pages.push(page);
            if after.is_empty() {
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
            Form::Table if self.resource == Resource::Jobs => {
                let rows: Vec<Vec<String>> = pages.iter().flat_map(cells).collect();
                match pages.first() {
                    Some(first) if !rows.is_empty() => print(&columns(first), &rows),
                    _ => println!("no jobs"),
                }
            }
            Form::Table | Form::Name => {
                let of = match self.resource {
                    Resource::Jobs => "job.batch/",
                    Resource::Namespaces if self.output == Form::Name => "namespace/",
                    Resource::Namespaces => "",
                };
                for item in &all {
                    println!("{of}{}", text(item, "/metadata/name"));
                }
            }
            Form::Json | Form::Yaml => {
                let shown = match all.as_slice() {
                    [one] if self.name.is_some() => one.clone(),
                    _ => json!({"apiVersion": "v1", "kind": "List", "items": all}),
                };
                if self.output == Form::Json {
                    println!("{shown:#}");
                } else {
                    print!("{}", yaml::to_text(&shown));
                }
            }
        }
    }

    /// Shows changes, watch after watch.
    fn follow(&self, client: &Client, mut version: String) -> Result<(), CliError> {
        loop {
            let more = [
                ("watch", "true"),
                ("allowWatchBookmarks", "true"),
                ("resourceVersion", &version),
            ];
            let target = self.target(&more);
            let mut latest = version.clone();
            client.follow(&Request::get(&target), |line| {
                if line["type"] == "ERROR" {
                    return Err(refused(410, &line["object"]));
                }
                let object = &line["object"];
                latest = text(object, "/metadata/resourceVersion").to_string();
                if line["type"] != "BOOKMARK" {
                    let how = end(object).map_or("open", |(kind, _)| kind);
                    println!(
                        "{:<9} {}/{} {how}",
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

/// The path of one job.
fn own(resource: Resource, namespace: &str, name: &str) -> Result<String, CliError> {
    match resource {
        Resource::Jobs => Ok(format!("{}/{name}", jobs(Some(namespace)))),
        Resource::Namespaces => Err(CliError::Usage("this is for jobs".into())),
    }
}

/// A value on one line: text as it is, maps as their entries.
fn line(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let all = fields.iter().map(|(k, v)| format!("{k}={}", line(v)));
            all.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

impl One {
    pub fn describe(self) -> Result<(), CliError> {
        let target = own(self.resource, &self.namespace, &self.name)?;
        let (status, job) = self.server.client()?.call(&Request::get(&target))?;
        if status != 200 {
            return Err(refused(status, &job));
        }
        let at = |pointer: &str| job.pointer(pointer).map_or("-".into(), line);
        for (what, pointer) in [
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
            println!("{what:<14} {}", at(pointer));
        }
        println!(
            "{:<14} {} running, {} done, {} failed attempts",
            "Tasks",
            at("/status/active"),
            at("/status/succeeded"),
            at("/status/failed")
        );
        let conditions = job.pointer("/status/conditions").and_then(Value::as_array);
        for c in conditions.into_iter().flatten() {
            let (kind, reason) = (line(&c["type"]), line(&c["reason"]));
            println!(
                "{:<14} {kind}: {reason}, {}",
                "Condition",
                line(&c["message"])
            );
        }
        Ok(())
    }

    pub fn delete(self) -> Result<(), CliError> {
        let target = own(self.resource, &self.namespace, &self.name)?;
        let request = Request {
            method: "DELETE",
            ..Request::get(&target)
        };
        let (status, answer) = self.server.client()?.call(&request)?;
        if status != 200 {
            return Err(refused(status, &answer));
        }
        println!("job.batch/{} deleted", self.name);
        Ok(())
    }
}
