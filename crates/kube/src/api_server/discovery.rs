//! Discovery, and the namespaces: what is known without looking anything up.

use super::{Ctx, Request};
use crate::status_error::StatusError;
use crate::target::{About, Scope};
use k8s_openapi::api::core::v1::{Namespace, NamespaceStatus};
use k8s_openapi::apimachinery::pkg::apis::meta::v1::{
    APIGroup, APIGroupList, APIResource, APIResourceList, APIVersions, GroupVersionForDiscovery,
    ObjectMeta, ServerAddressByClientCIDR,
};
use serde_json::{Value, json};

fn resource(name: &str, kind: &str, short: &str, namespaced: bool, verbs: &[&str]) -> APIResource {
    APIResource {
        name: name.into(),
        singular_name: kind.to_lowercase(),
        kind: kind.into(),
        namespaced,
        verbs: verbs.iter().map(|v| v.to_string()).collect(),
        short_names: Some(vec![short.to_string()]).filter(|_| !short.is_empty()),
        ..APIResource::default()
    }
}

fn batch() -> APIGroup {
    let version = GroupVersionForDiscovery {
        group_version: "batch/v1".into(),
        version: "v1".into(),
    };
    APIGroup {
        name: "batch".into(),
        preferred_version: Some(version.clone()),
        versions: vec![version],
        ..APIGroup::default()
    }
}

pub(super) fn about(about: About) -> Value {
    match about {
        About::Alive => json!("ok"),
        About::Version => json!({
            "major": "1", "minor": "35",
            "gitVersion": concat!("v1.35.0+dillcleat.", env!("CARGO_PKG_VERSION")),
            "platform": std::env::consts::OS,
        }),
        About::Core => json!(APIVersions {
            versions: vec!["v1".into()],
            // Clients that come from anywhere stay where they are.
            server_address_by_client_cidrs: vec![ServerAddressByClientCIDR {
                client_cidr: "0.0.0.0/0".into(),
                server_address: String::new(),
            }],
        }),
        About::Groups => json!(APIGroupList {
            groups: vec![batch()],
        }),
        About::Batch => json!(batch()),
        About::CoreResources => json!(APIResourceList {
            group_version: "v1".into(),
            resources: vec![resource(
                "namespaces",
                "Namespace",
                "ns",
                false,
                &["get", "list"]
            )],
        }),
        About::BatchResources => json!(APIResourceList {
            group_version: "batch/v1".into(),
            resources: vec![
                resource(
                    "jobs",
                    "Job",
                    "",
                    true,
                    &[
                        "create", "delete", "get", "list", "patch", "update", "watch"
                    ],
                ),
                resource("jobs/status", "Job", "", true, &["get"]),
            ],
        }),
    }
}

fn namespace(name: &str) -> Value {
    json!(Namespace {
        metadata: ObjectMeta {
            name: Some(name.into()),
            ..ObjectMeta::default()
        },
        status: Some(NamespaceStatus {
            phase: Some("Active".into()),
            ..NamespaceStatus::default()
        }),
        ..Namespace::default()
    })
}

/// The teams as namespaces, as far as the token sees them.
pub(super) fn namespaces(ctx: &Ctx, request: &Request) -> Result<Value, StatusError> {
    let teams = ctx.node.config().teams.iter();
    let mut seen = teams.filter(|t| request.token.sees(&t.name));
    match &request.scope {
        Scope::Namespace(name) => match seen.find(|t| t.name == *name) {
            Some(team) => Ok(namespace(&team.name)),
            None => Err(StatusError::NotFound {
                resource: "namespaces",
                name: name.clone(),
            }),
        },
        _ => Ok(json!({
            "apiVersion": "v1",
            "kind": "NamespaceList",
            "metadata": {},
            "items": seen.map(|t| namespace(&t.name)).collect::<Vec<_>>(),
        })),
    }
}
