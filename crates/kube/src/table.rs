//! Renders objects as `Table` responses, which `get` commands of Kubernetes clients request.

use crate::record::Object;
use crate::view::{self, Progress};
use dillcleat_controller::Micros;
use serde_json::{Value, json};

/// Formats a duration as Kubernetes clients do: `45s`, `5m30s`, `3h`, `2d`.
pub fn format_duration(duration: Micros) -> String {
    let s = duration / 1_000_000;
    match s {
        0..120 => format!("{s}s"),
        120..600 if !s.is_multiple_of(60) => format!("{}m{}s", s / 60, s % 60),
        120..10_800 => format!("{}m", s / 60),
        10_800..172_800 => format!("{}h", s / 3600),
        _ => format!("{}d", s / 86_400),
    }
}

fn column(name: &str, kind: &str, description: &str) -> Value {
    json!({"name": name, "type": kind, "format": if name == "Name" { "name" } else { "" },
        "description": description, "priority": 0})
}

fn columns() -> Value {
    json!([
        column("Name", "string", "Name of the job"),
        column("Status", "string", "Complete, Failed, Running or Suspended"),
        column("Completions", "string", "Tasks that are done, of how many"),
        column(
            "Duration",
            "string",
            "From its start to its end, or until now"
        ),
        column("Age", "string", "Since its creation"),
    ])
}

pub fn row(object: &Object, progress: Option<Progress>, wall_time: Micros) -> Value {
    let (record, state) = (&object.record, &object.record.state);
    let completions = view::completions(object);
    let done = match view::phase(object) {
        "Complete" => completions,
        _ => progress.map_or(0, |p| p.done),
    };
    let until = state.end.map_or(wall_time, |e| e.at);
    let duration = state
        .started
        .map(|at| format_duration(until.saturating_sub(at)));
    json!({
        "cells": [
            object.name.name,
            view::phase(object),
            format!("{done}/{completions}"),
            duration.unwrap_or_default(),
            format_duration(wall_time.saturating_sub(record.created)),
        ],
        "object": view::partial_metadata(object),
    })
}

/// A table of rows. Only the first table of a watch has column definitions.
pub fn table(rows: Vec<Value>, metadata: Value, with_columns: bool) -> Value {
    let columns = if with_columns { columns() } else { json!([]) };
    json!({
        "kind": "Table",
        "apiVersion": "meta.k8s.io/v1",
        "metadata": metadata,
        "columnDefinitions": columns,
        "rows": rows,
    })
}

#[cfg(test)]
mod tests {
    use super::format_duration;

    #[test]
    fn durations_are_formatted_like_kubernetes_clients_do() {
        for (s, text) in [
            (0, "0s"),
            (119, "119s"),
            (120, "2m"),
            (330, "5m30s"),
            (660, "11m"),
            (7_300, "121m"),
            (10_800, "3h"),
            (200_000, "2d"),
        ] {
            assert_eq!(format_duration(s * 1_000_000), text);
        }
    }
}
