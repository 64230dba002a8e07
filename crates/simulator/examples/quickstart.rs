//! Runs three controllers that serve the Kubernetes API, with simulated services around
//! them, until it is interrupted:
//! `cargo build --release && cargo run --release -p dillcleat-simulator --example quickstart`.

use clap::Parser;
use dillcleat_kube::SigningKey;
use dillcleat_simulator::processes::ThreeProcesses;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Starts three controllers with simulated services and prints how to use them.
#[derive(Parser)]
struct Args {
    /// Path of the dillcleat executable
    #[arg(long, default_value = "target/release/dillcleat")]
    program: PathBuf,
    /// Directory for settings, key and token; created if it does not exist
    #[arg(long, default_value = "target/quickstart")]
    dir: PathBuf,
    /// Run time in seconds
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

fn main() -> io::Result<()> {
    let args = Args::parse();
    std::fs::create_dir_all(&args.dir)?;
    let key_hex: String = std::iter::repeat_with(|| fastrand::digit(16))
        .take(64)
        .collect();
    let token: String = std::iter::repeat_with(|| fastrand::digit(16))
        .take(64)
        .collect();
    let key = SigningKey::parse(&key_hex).map_err(io::Error::other)?;
    let key_file = args.dir.join("kube.key");
    let token_file = args.dir.join("token");
    std::fs::write(&key_file, &key_hex)?;
    std::fs::write(&token_file, &token)?;
    let kube = format!(
        "key_file = {key_file:?}\n[[kube.tokens]]\nname = \"you\"\nmac = \"{}\"\nnamespaces = [\"*\"]\nverbs = [\"*\"]\n",
        key.token(&token)
    );
    let controllers = ThreeProcesses::start(&args.program, &args.dir, &kube)?;
    println!("Three controllers run with simulated services on loopback. In another shell:\n");
    println!(
        "  export DILLCLEAT_SERVER=http://{}",
        controllers.kube_addrs[0]
    );
    println!("  export DILLCLEAT_TOKEN_FILE={}", token_file.display());
    println!(
        "  {} apply -f examples/merge-job.yaml --wait",
        args.program.display()
    );
    println!("  {} get jobs", args.program.display());
    println!(
        "\nThe other two: http://{} http://{}",
        controllers.kube_addrs[1], controllers.kube_addrs[2]
    );
    println!("\nBy the native protocol, one job after another:\n");
    for (job, after) in [("req-000001", ""), ("req-000002", " --after req-000001")] {
        println!(
            "  {} submit --server {} {job} --class scan --team books --image img{after}",
            args.program.display(),
            controllers.clients[0]
        );
    }
    println!();
    println!("Ctrl-C ends all of it.");
    std::thread::sleep(Duration::from_secs(args.seconds));
    Ok(())
}
