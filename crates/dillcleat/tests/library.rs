//! A Kubernetes client library against three controller processes, with TLS and a token.
//! Controllers are killed and restarted.

mod common;

use common::{KEY, generate_certificate, install_certificate, test_dir};
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
    let job = json!({
        "metadata": {"name": name, "labels": {"app": "merge"},
            "annotations": {"dillcleat/class": "merge", "dillcleat/estimate-seconds": "2"}},
        "spec": {"completions": 3, "parallelism": 3, "suspend": suspend, "template": {"spec": {
            "restartPolicy": "Never", "containers": [{"name": "main", "image": "i",
                "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}});
    serde_json::from_value(job).expect("a Job")
}

fn client(controllers: &ThreeProcesses, i: usize, root: &[u8]) -> Client {
    let url = format!("https://{}", controllers.kube_addrs[i])
        .parse()
        .expect("a URL");
    let mut config = Config::new(url);
    config.root_cert = Some(vec![root.to_vec()]);
    config.auth_info.token = Some(TOKEN.to_string().into());
    Client::try_from(config).expect("a client")
}

fn status_code(e: &kube::Error) -> u16 {
    match e {
        kube::Error::Api(status) => status.code,
        other => panic!("{other}"),
    }
}

/// The type of the condition that ends a Job; None if it has not ended.
fn final_condition(job: &Job) -> Option<String> {
    let conditions = job.status.as_ref()?.conditions.as_ref()?;
    let is_final = |kind: &str| matches!(kind, "Complete" | "Failed");
    let mut final_conditions = conditions.iter().filter(|c| is_final(&c.type_));
    final_conditions.next().map(|c| c.type_.clone())
}

/// Watches a Job until it ends, and returns the type of its final condition.
async fn watch_until_end(api: &Api<Job>, name: &str) -> String {
    let params = WatchParams::default().fields(&format!("metadata.name={name}"));
    let start = Instant::now();
    let mut version = "0".to_string();
    while start.elapsed() < Duration::from_secs(60) {
        let Ok(stream) = api.watch(&params, &version).await else {
            tokio::time::sleep(Duration::from_millis(500)).await;
            continue;
        };
        let mut stream = Box::pin(stream);
        while let Some(Ok(event)) = stream.next().await {
            match event {
                WatchEvent::Added(job) | WatchEvent::Modified(job) => {
                    version = job.resource_version().unwrap_or_default();
                    if let Some(condition) = final_condition(&job) {
                        return condition;
                    }
                }
                WatchEvent::Bookmark(b) => version = b.metadata.resource_version,
                WatchEvent::Deleted(_) => panic!("{name} is deleted"),
                WatchEvent::Error(_) => version = "0".into(),
            }
        }
    }
    panic!("{name} has not ended within 60 s");
}

async fn exercise_api(controllers: &mut ThreeProcesses, root: &[u8]) {
    let clients: Vec<Client> = (0..3).map(|i| client(controllers, i, root)).collect();
    let jobs: Vec<Api<Job>> = clients
        .iter()
        .map(|c| Api::namespaced(c.clone(), "books"))
        .collect();
    // Wait until the controllers have started.
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
    let listed = namespaces
        .list(&ListParams::default())
        .await
        .expect("namespaces");
    assert_eq!(listed.items[0].name_any(), "books");

    // A Job can be created only once, even at different controllers.
    let params = PostParams::default();
    let first = loop {
        match jobs[0].create(&params, &job("first", false)).await {
            Ok(job) => break job,
            // The controller has not read the machine types yet.
            Err(e) if status_code(&e) == 503 && start.elapsed() < Duration::from_secs(30) => {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            Err(e) => panic!("{e}"),
        }
    };
    let again = jobs[1]
        .create(&params, &job("first", false))
        .await
        .expect_err("it exists");
    assert_eq!(status_code(&again), 409);
    let dry_run = PostParams {
        dry_run: true,
        ..PostParams::default()
    };
    jobs[2]
        .create(&dry_run, &job("other", false))
        .await
        .expect("a dry run");
    assert_eq!(
        status_code(&jobs[0].get("other").await.expect_err("not created")),
        404
    );

    // A suspended Job is resumed by a patch at another controller.
    jobs[1]
        .create(&params, &job("second", true))
        .await
        .expect("created");
    let patch = Patch::Merge(json!({"spec": {"suspend": false}}));
    let resumed = jobs[2]
        .patch("second", &PatchParams::default(), &patch)
        .await;
    let resumed = resumed.expect("resumed");
    assert!(resumed.annotations().contains_key("dillcleat/job"));
    assert_eq!(resumed.metadata.generation, Some(2));

    // Jobs are watched at one controller while each of the others is killed.
    controllers.kill(1);
    assert_eq!(watch_until_end(&jobs[0], "first").await, "Complete");
    controllers.restart(1).expect("it starts again");
    controllers.kill(2);
    assert_eq!(watch_until_end(&jobs[0], "second").await, "Complete");
    controllers.restart(2).expect("it starts again");

    // An update with the current resource version succeeds, one with an old version fails.
    let mut current = jobs[0].get("first").await.expect("it exists");
    assert_eq!(current.uid(), first.uid());
    assert_eq!(current.status.as_ref().and_then(|s| s.succeeded), Some(3));
    let mut old = first.clone();
    current.labels_mut().insert("seen".into(), "yes".into());
    let changed = jobs[0]
        .replace("first", &params, &current)
        .await
        .expect("changed");
    old.labels_mut().insert("seen".into(), "no".into());
    let rejected = jobs[0]
        .replace("first", &params, &old)
        .await
        .expect_err("an old version");
    assert_eq!(status_code(&rejected), 409);
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

    // A deletion succeeds only if its preconditions are met.
    let wrong = DeleteParams {
        preconditions: Some(Preconditions {
            uid: Some("another".into()),
            resource_version: None,
        }),
        ..DeleteParams::default()
    };
    assert_eq!(
        status_code(&jobs[0].delete("first", &wrong).await.expect_err("another")),
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
    assert_eq!(
        status_code(&jobs[0].get("first").await.expect_err("deleted")),
        404
    );
    let reused = jobs[0]
        .create(&params, &job("first", false))
        .await
        .expect_err("the name was used");
    assert!(reused.to_string().contains("it was there as"), "{reused}");
    let elsewhere: Api<Job> = Api::namespaced(clients[0].clone(), "others");
    assert_eq!(
        status_code(&elsewhere.get("x").await.expect_err("forbidden")),
        403
    );
}

/// Also covers discovery, creation, resumption, updates, lists and deletion.
#[test]
fn client_library_watches_see_jobs_complete_while_other_controllers_are_killed() {
    let dir = test_dir("library");
    let certificate = generate_certificate();
    install_certificate(&dir, &certificate);
    let kube = format!(
        "key_file = {:?}\ntls = {{ cert = {:?}, key = {:?} }}\n[[kube.tokens]]\nname = \"library\"\nmac = \"{}\"\nnamespaces = [\"books\"]\nverbs = [\"*\"]\n",
        dir.join("kube.key"),
        dir.join("server.crt"),
        dir.join("tls.key"),
        SigningKey::parse(KEY).expect("a key").token(TOKEN),
    );
    let program = Path::new(env!("CARGO_BIN_EXE_dillcleat"));
    let mut controllers = ThreeProcesses::start(program, &dir, &kube).expect("controllers");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let limit = Duration::from_secs(150);
    runtime.expect("a runtime").block_on(async {
        let exercise = exercise_api(&mut controllers, certificate.cert.der());
        tokio::time::timeout(limit, exercise)
            .await
            .expect("not within 150 s");
    });
}
