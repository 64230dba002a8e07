//! Three controllers with a door for Kubernetes-shaped clients, over stand-ins of
//! everything around them, until it is interrupted:
//! `cargo build --release && cargo run --release -p dillcleat-simulator --example quickstart`.

use clap::Parser;
use dillcleat_kube::Key;
use dillcleat_simulator::processes::Trio;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Starts three controllers over stand-ins and says how to talk to them.
#[derive(Parser)]
struct Args {
    /// The program
    #[arg(long, default_value = "target/release/dillcleat")]
    program: PathBuf,
    /// A folder for settings, key and token; made if it is not there
    #[arg(long, default_value = "target/quickstart")]
    dir: PathBuf,
    /// For how many seconds it stays
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

fn main() -> io::Result<()> {
    let args = Args::parse();
    std::fs::create_dir_all(&args.dir)?;
    let digits: String = std::iter::repeat_with(|| fastrand::digit(16))
        .take(64)
        .collect();
    let token: String = std::iter::repeat_with(|| fastrand::digit(16))
        .take(64)
        .collect();
    let key = Key::parse(&digits).map_err(io::Error::other)?;
    let key_file = args.dir.join("kube.key");
    let token_file = args.dir.join("token");
    std::fs::write(&key_file, &digits)?;
    std::fs::write(&token_file, &token)?;
    let kube = format!(
        "key_file = {key_file:?}\n[[kube.tokens]]\nname = \"you\"\nmac = \"{}\"\nnamespaces = [\"*\"]\nverbs = [\"*\"]\n",
        key.token(&token)
    );
    let trio = Trio::start(&args.program, &args.dir, &kube)?;
    println!("Three controllers run over stand-ins on loopback. In another shell:\n");
    println!("  export DILLCLEAT_SERVER=http://{}", trio.doors[0]);
    println!("  export DILLCLEAT_TOKEN_FILE={}", token_file.display());
    println!(
        "  {} apply -f examples/merge-job.yaml --wait",
        args.program.display()
    );
    println!("  {} get jobs", args.program.display());
    println!(
        "\nThe other two: http://{} http://{}",
        trio.doors[1], trio.doors[2]
    );
    println!("\nBy the users' own protocol, one job after another:\n");
    for (job, after) in [("req-000001", ""), ("req-000002", " --after req-000001")] {
        println!(
            "  {} submit --server {} {job} --class scan --team books --image img{after}",
            args.program.display(),
            trio.clients[0]
        );
    }
    println!();
    println!("Ctrl-C ends all of it.");
    std::thread::sleep(Duration::from_secs(args.seconds));
    Ok(())
}
