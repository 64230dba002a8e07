//! An ordinary Kubernetes client library against three real processes, with TLS and a
//! token, while one of them is killed.

mod common;

use common::{KEY, certificate, folder, install};
use dillcleat_kube::SigningKey;
use dillcleat_simulator::processes::ThreeProcesses;
use futures_lite::StreamExt;
use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::Namespace;
use kube::api::{Api, DeleteParams, ListParams, Patch, PatchParams, PostParams, WatchEvent};
use kube::api::{Preconditions, WatchParams};
use kube::{Client, Config, ResourceExt};
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const TOKEN: &str = "a-token-of-the-library";

fn job(name: &str, suspend: bool) -> Job {
    let made = json!({
        "metadata": {"name": name, "labels": {"app": "merge"},
            "annotations": {"dillcleat/class": "merge", "dillcleat/estimate-seconds": "2"}},
        "spec": {"completions": 3, "parallelism": 3, "suspend": suspend, "template": {"spec": {
            "restartPolicy": "Never", "containers": [{"name": "main", "image": "i",
                "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}});
    serde_json::from_value(made).expect("a Job")
}

fn client(trio: &ThreeProcesses, i: usize, root: &[u8]) -> Client {
    let url = format!("https://{}", trio.kube_addrs[i])
        .parse()
        .expect("a URL");
    let mut config = Config::new(url);
    config.root_cert = Some(vec![root.to_vec()]);
    config.auth_info.token = Some(TOKEN.to_string().into());
    Client::try_from(config).expect("a client")
}

fn code(e: &kube::Error) -> u16 {
    match e {
        kube::Error::Api(status) => status.code,
        other => panic!("{other}"),
    }
}

/// Whether the Job is over, and how.
fn end(job: &Job) -> Option<String> {
    let conditions = job.status.as_ref()?.conditions.as_ref()?;
    let over = |kind: &str| matches!(kind, "Complete" | "Failed");
    let mut over = conditions.iter().filter(|c| over(&c.type_));
    over.next().map(|c| c.type_.clone())
}

async fn watched_to_its_end(api: &Api<Job>, name: &str) -> String {
    let wanted = WatchParams::default().fields(&format!("metadata.name={name}"));
    let start = Instant::now();
    let mut version = "0".to_string();
    while start.elapsed() < Duration::from_secs(60) {
        let Ok(stream) = api.watch(&wanted, &version).await else {
            tokio::time::sleep(Duration::from_millis(500)).await;
            continue;
        };
        let mut stream = Box::pin(stream);
        while let Some(Ok(event)) = stream.next().await {
            match event {
                WatchEvent::Added(job) | WatchEvent::Modified(job) => {
                    version = job.resource_version().unwrap_or_default();
                    if let Some(end) = end(&job) {
                        return end;
                    }
                }
                WatchEvent::Bookmark(b) => version = b.metadata.resource_version,
                WatchEvent::Deleted(_) => panic!("{name} is deleted"),
                WatchEvent::Error(_) => version = "0".into(),
            }
        }
    }
    panic!("{name} is not over within 60 s");
}

async fn day(trio: &mut ThreeProcesses, root: &[u8]) {
    let clients: Vec<Client> = (0..3).map(|i| client(trio, i, root)).collect();
    let jobs: Vec<Api<Job>> = clients
        .iter()
        .map(|c| Api::namespaced(c.clone(), "books"))
        .collect();
    // The controllers have just started.
    let start = Instant::now();
    for c in &clients {
        while c.apiserver_version().await.is_err() && start.elapsed() < Duration::from_secs(30) {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    let version = clients[0].apiserver_version().await.expect("a version");
    assert_eq!(version.major, "1");
    let groups = clients[0].list_api_groups().await.expect("groups");
    assert!(groups.groups.iter().any(|g| g.name == "batch"));
    let namespaces: Api<Namespace> = Api::all(clients[1].clone());
    let seen = namespaces
        .list(&ListParams::default())
        .await
        .expect("namespaces");
    assert_eq!(seen.items[0].name_any(), "books");

    // Created once, at whichever controller.
    let made = PostParams::default();
    let first = loop {
        match jobs[0].create(&made, &job("first", false)).await {
            Ok(job) => break job,
            // Until they know which machines there are.
            Err(e) if code(&e) == 503 && start.elapsed() < Duration::from_secs(30) => {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            Err(e) => panic!("{e}"),
        }
    };
    let again = jobs[1]
        .create(&made, &job("first", false))
        .await
        .expect_err("it is there");
    assert_eq!(code(&again), 409);
    let dry = PostParams {
        dry_run: true,
        ..PostParams::default()
    };
    jobs[2]
        .create(&dry, &job("other", false))
        .await
        .expect("a dry run");
    assert_eq!(
        code(&jobs[0].get("other").await.expect_err("not made")),
        404
    );

    // A suspended one is resumed by a patch at another controller.
    jobs[1]
        .create(&made, &job("second", true))
        .await
        .expect("created");
    let patch = Patch::Merge(json!({"spec": {"suspend": false}}));
    let resumed = jobs[2]
        .patch("second", &PatchParams::default(), &patch)
        .await;
    let resumed = resumed.expect("resumed");
    assert!(resumed.annotations().contains_key("dillcleat/job"));
    assert_eq!(resumed.metadata.generation, Some(2));

    // Watched at one controller while each of the others is killed.
    trio.kill(1);
    assert_eq!(watched_to_its_end(&jobs[0], "first").await, "Complete");
    trio.restart(1).expect("it starts again");
    trio.kill(2);
    assert_eq!(watched_to_its_end(&jobs[0], "second").await, "Complete");
    trio.restart(2).expect("it starts again");

    // Changed by its version, and not by an old one.
    let mut now = jobs[0].get("first").await.expect("there");
    assert_eq!(now.uid(), first.uid());
    assert_eq!(now.status.as_ref().and_then(|s| s.succeeded), Some(3));
    let mut old = first.clone();
    now.labels_mut().insert("seen".into(), "yes".into());
    let changed = jobs[0]
        .replace("first", &made, &now)
        .await
        .expect("changed");
    old.labels_mut().insert("seen".into(), "no".into());
    let refused = jobs[0]
        .replace("first", &made, &old)
        .await
        .expect_err("an old version");
    assert_eq!(code(&refused), 409);
    let labelled = ListParams::default().labels("seen=yes,app in (merge,sort)");
    assert_eq!(
        jobs[0].list(&labelled).await.expect("a list").items.len(),
        1
    );
    let page = jobs[0]
        .list(&ListParams::default().limit(1))
        .await
        .expect("a page");
    assert!(page.metadata.continue_.is_some_and(|c| !c.is_empty()));

    // Deleted if it is what it is taken for.
    let wrong = DeleteParams {
        preconditions: Some(Preconditions {
            uid: Some("another".into()),
            resource_version: None,
        }),
        ..DeleteParams::default()
    };
    assert_eq!(
        code(&jobs[0].delete("first", &wrong).await.expect_err("another")),
        409
    );
    let right = DeleteParams {
        preconditions: Some(Preconditions {
            uid: changed.uid(),
            resource_version: changed.resource_version(),
        }),
        ..DeleteParams::default()
    };
    jobs[0].delete("first", &right).await.expect("deleted");
    assert_eq!(code(&jobs[0].get("first").await.expect_err("gone")), 404);
    let reused = jobs[0]
        .create(&made, &job("first", false))
        .await
        .expect_err("used once");
    assert!(reused.to_string().contains("it was there as"), "{reused}");
    let elsewhere: Api<Job> = Api::namespaced(clients[0].clone(), "others");
    assert_eq!(code(&elsewhere.get("x").await.expect_err("not seen")), 403);
}

#[test]
fn an_ordinary_client_library_while_controllers_are_killed() {
    let dir = folder("library");
    let made = certificate();
    install(&dir, &made);
    let kube = format!(
        "key_file = {:?}\ntls = {{ cert = {:?}, key = {:?} }}\n[[kube.tokens]]\nname = \"library\"\nmac = \"{}\"\nnamespaces = [\"books\"]\nverbs = [\"*\"]\n",
        dir.join("kube.key"),
        dir.join("server.crt"),
        dir.join("tls.key"),
        SigningKey::parse(KEY).expect("a key").token(TOKEN),
    );
    let program = Path::new(env!("CARGO_BIN_EXE_dillcleat"));
    let mut trio = ThreeProcesses::start(program, &dir, &kube).expect("controllers");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let limit = Duration::from_secs(150);
    runtime.expect("a runtime").block_on(async {
        let day = day(&mut trio, made.cert.der());
        tokio::time::timeout(limit, day)
            .await
            .expect("not within 150 s");
    });
}
