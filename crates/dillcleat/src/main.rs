//! The program `dillcleat`: a controller of the cluster scheduler, and its command line.

mod cli;
mod client;
mod connections;
mod error;
mod http;
mod kube_server;
mod objects;
mod peer_connections;
mod server;
mod token;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
        .format(|out, r| {
            use std::io::Write;
            writeln!(out, "{} {}", r.level().as_str().to_lowercase(), r.args())
        })
        .init();
    match cli.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dillcleat: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
