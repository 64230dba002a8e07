//! Discovery endpoints and namespaces, which are answered without the watch cache.

use super::{Context, Request};
use crate::status_error::StatusError;
use crate::target::{Discovery, Scope};
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

fn batch_group() -> APIGroup {
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

/// The response of a discovery or health endpoint.
pub(super) fn describe(endpoint: Discovery) -> Value {
    match endpoint {
        Discovery::Health => json!("ok"),
        Discovery::Version => json!({
            "major": "1", "minor": "35",
            "gitVersion": concat!("v1.35.0+dillcleat.", env!("CARGO_PKG_VERSION")),
            "platform": std::env::consts::OS,
        }),
        Discovery::CoreVersions => json!(APIVersions {
            versions: vec!["v1".into()],
            // An empty address makes clients keep the address that they have.
            server_address_by_client_cidrs: vec![ServerAddressByClientCIDR {
                client_cidr: "0.0.0.0/0".into(),
                server_address: String::new(),
            }],
        }),
        Discovery::Groups => json!(APIGroupList {
            groups: vec![batch_group()],
        }),
        Discovery::BatchGroup => json!(batch_group()),
        Discovery::CoreResources => json!(APIResourceList {
            group_version: "v1".into(),
            resources: vec![resource(
                "namespaces",
                "Namespace",
                "ns",
                false,
                &["get", "list"]
            )],
        }),
        Discovery::BatchResources => json!(APIResourceList {
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

/// The teams that the token may access, as namespaces.
pub(super) fn namespaces(ctx: &Context, request: &Request) -> Result<Value, StatusError> {
    let teams = ctx.node.config().teams.iter();
    let mut accessible = teams.filter(|t| request.token.may_access(&t.name));
    match &request.scope {
        Scope::Namespace(name) => match accessible.find(|t| t.name == *name) {
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
            "items": accessible.map(|t| namespace(&t.name)).collect::<Vec<_>>(),
        })),
    }
}
