//! The command line.

use crate::error::CliError;
use crate::objects;
use crate::token::Token;
use crate::{http, server};
use clap::{Args, CommandFactory, Parser, Subcommand};
use dillcleat_controller::{CallError, Config, Tuning};
use dillcleat_kube::{ApiServerConfig, Settings, SigningKey};
use dillcleat_wire::settings::{PlatformSettings, one_line};
use dillcleat_wire::user::{self, ErrorReply, JobKind, JobSpec, JobStatus, Priority};
use smol::Timer;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(
    name = "dillcleat",
    version,
    about = "A cluster scheduler: three controllers, cloud machines, one small key-value store",
    arg_required_else_help = true
)]
pub struct Cli {
    /// Run as a controller with the platform's settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' settings file (TOML); also DILLCLEAT_TUNING
    #[arg(long, value_name = "FILE", global = true)]
    tuning: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file (and --tuning) without opening a socket
    Check {
        /// The platform's settings file
        file: PathBuf,
    },
    /// Create or change Kubernetes Jobs from a file
    Apply(objects::Apply),
    /// Show Kubernetes Jobs, or the namespaces
    Get(objects::Get),
    /// Show the details of one Kubernetes Job
    Describe(objects::ObjectArgs),
    /// Delete a Kubernetes Job
    Delete(objects::ObjectArgs),
    /// Generate keys and tokens for Kubernetes clients
    #[command(subcommand)]
    Token(Token),
    /// Print the completion script of a shell
    Completions { shell: clap_complete::Shell },
    /// Submit a job
    Submit(Box<Submit>),
    /// Show the state of a job
    Status {
        #[command(flatten)]
        server: ControllerArgs,
        /// The job's id, such as req-000412
        job: String,
    },
    /// Cancel a job
    Abort {
        #[command(flatten)]
        server: ControllerArgs,
        /// The job's id, such as req-000412
        job: String,
    },
}

/// The server that a command sends its requests to.
#[derive(Args)]
struct ControllerArgs {
    /// Address of a controller or load balancer, IP:PORT
    #[arg(long, value_name = "ADDR")]
    server: String,
    /// Number of seconds after which the command gives up
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    timeout: u64,
}

#[derive(Parser)]
struct Submit {
    #[command(flatten)]
    server: ControllerArgs,
    /// The job's id, such as req-000412
    job: String,
    /// Class of the job
    #[arg(long)]
    class: String,
    /// Team whose quota applies
    #[arg(long)]
    team: String,
    /// Run replicas until the job is cancelled instead of tasks to completion
    #[arg(long)]
    service: bool,
    /// Priority: production, high, normal or best-effort
    #[arg(long, default_value = "normal", value_parser = parse_priority)]
    priority: Priority,
    /// Number of tasks
    #[arg(long, default_value_t = 1)]
    tasks: u32,
    /// CPUs of each task
    #[arg(long, default_value_t = 1.0)]
    cpus: f64,
    /// GPUs of each task
    #[arg(long, default_value_t = 0.0)]
    gpus: f64,
    /// Memory of each task, in GB
    #[arg(long, default_value_t = 1.0)]
    memory_gb: f64,
    /// Image that each task needs
    #[arg(long)]
    image: String,
    /// Size of the image, in GB
    #[arg(long, default_value_t = 0.0)]
    image_gb: f64,
    /// An allowed machine type; may be given several times
    #[arg(long = "type", value_name = "TYPE")]
    types: Vec<String>,
    /// The only allowed zone
    #[arg(long)]
    zone: Option<String>,
    /// Run all tasks in one zone
    #[arg(long)]
    one_zone: bool,
    /// Have at most half of the tasks in one zone
    #[arg(long)]
    spread: bool,
    /// Allow spot machines
    #[arg(long)]
    spot: bool,
    /// Estimated run time of a task, in seconds
    #[arg(long, default_value_t = 0.0)]
    estimate_s: f64,
    /// When the job should be complete, in seconds from now
    #[arg(long)]
    deadline_s: Option<f64>,
    /// A job that must be done before any task of this one starts; may be given several
    /// times
    #[arg(long, value_name = "REF", value_parser = parse_job_id)]
    after: Vec<String>,
}

fn parse_job_id(s: &str) -> Result<String, String> {
    if user::is_job_id(s) {
        Ok(s.to_string())
    } else {
        Err("ids look like req-000412".into())
    }
}

fn parse_priority(s: &str) -> Result<Priority, String> {
    match s {
        "production" => Ok(Priority::Production),
        "high" => Ok(Priority::High),
        "normal" => Ok(Priority::Normal),
        "best-effort" | "best_effort" => Ok(Priority::BestEffort),
        _ => Err("must be production, high, normal or best-effort".into()),
    }
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|e| CliError::File(path.display().to_string(), e.to_string()))
}

/// The settings of a controller.
struct ControllerSettings {
    platform: PlatformSettings,
    config: Config,
    /// The settings of the API server, if there is one.
    api_server: Option<ApiServerConfig>,
}

/// Reads the operators' settings file: the tuning, and the table `kube` of the API server.
fn operator_settings(path: &Path) -> Result<(Tuning, Option<ApiServerConfig>), CliError> {
    let file_error = |e: String| CliError::File(path.display().to_string(), e);
    let mut table: toml::Table =
        toml::from_str(&read_file(path)?).map_err(|e| file_error(one_line(&e.to_string())))?;
    let api_server = match table.remove("kube") {
        None => None,
        Some(kube) => {
            let settings = Settings::read(kube).map_err(|e| file_error(e.to_string()))?;
            let key = read_file(&settings.key_file)?;
            let key = SigningKey::parse(&key).map_err(|e| {
                CliError::File(settings.key_file.display().to_string(), e.to_string())
            })?;
            Some(ApiServerConfig::new(settings, key))
        }
    };
    let tuning = Tuning::from_table(table).map_err(|e| file_error(e.to_string()))?;
    Ok((tuning, api_server))
}

fn controller_settings(file: &Path, tuning: Option<&Path>) -> Result<ControllerSettings, CliError> {
    let platform = PlatformSettings::parse(&read_file(file)?)
        .map_err(|e| CliError::File(file.display().to_string(), e.to_string()))?;
    let from_env = std::env::var_os("DILLCLEAT_TUNING").map(PathBuf::from);
    let (tuning, api_server) = match tuning.map(Path::to_path_buf).or(from_env) {
        None => (Tuning::default(), None),
        Some(path) => operator_settings(&path)?,
    };
    let config = Config::new(&platform, tuning);
    Ok(ControllerSettings {
        platform,
        config,
        api_server,
    })
}

/// The objectives that do not affect scheduling, by kind and class.
fn objectives_without_effect(platform: &PlatformSettings) -> Vec<String> {
    let objectives = platform.cluster.objectives.iter();
    objectives
        .filter(|o| !o.affects_scheduling())
        .map(|o| match &o.class {
            Some(class) => format!("{} of {class}", o.kind),
            None => o.kind.clone(),
        })
        .collect()
}

impl Cli {
    pub fn run(self) -> Result<(), CliError> {
        let tuning = self.tuning.as_deref();
        match (self.config, self.command) {
            (Some(file), None) => {
                let settings = controller_settings(&file, tuning)?;
                for objective in objectives_without_effect(&settings.platform) {
                    log::info!("objective has no effect on scheduling objective={objective:?}");
                }
                server::run(&settings.platform, settings.config, settings.api_server)
            }
            (None, Some(Command::Check { file })) => {
                let ControllerSettings {
                    platform,
                    config,
                    api_server,
                } = controller_settings(&file, tuning)?;
                println!(
                    "{}: settings of {} are good",
                    file.display(),
                    platform.member
                );
                for objective in objectives_without_effect(&platform) {
                    println!("no decision follows from the objective {objective}");
                }
                if let Some(warning) = server::cancel_time_excess_warning(&config) {
                    println!("{warning}");
                }
                if let Some(api_server) = api_server {
                    println!(
                        "Kubernetes-shaped clients are served on {}",
                        api_server.settings.listen
                    );
                }
                Ok(())
            }
            (None, Some(Command::Apply(c))) => c.run(),
            (None, Some(Command::Get(c))) => c.run(),
            (None, Some(Command::Describe(c))) => c.describe(),
            (None, Some(Command::Delete(c))) => c.delete(),
            (None, Some(Command::Token(c))) => c.run(),
            (None, Some(Command::Completions { shell })) => {
                let mut command = Cli::command();
                clap_complete::generate(shell, &mut command, "dillcleat", &mut std::io::stdout());
                Ok(())
            }
            (None, Some(Command::Submit(s))) => s.run(),
            (None, Some(Command::Status { server, job })) => {
                let path = user::poll_path(checked_id(&job)?);
                print_status(&call(&server, "GET", &path, &[])?)
            }
            (None, Some(Command::Abort { server, job })) => {
                let path = user::cancel_path(checked_id(&job)?);
                print_status(&call(&server, "POST", &path, &[])?)
            }
            _ => Err(CliError::Usage(
                "give --config FILE to serve, or a command; see --help".into(),
            )),
        }
    }
}

fn checked_id(job: &str) -> Result<&str, CliError> {
    if user::is_job_id(job) {
        Ok(job)
    } else {
        Err(CliError::Usage(format!(
            "{job:?} is not a job id; ids look like req-000412"
        )))
    }
}

impl Submit {
    fn run(self) -> Result<(), CliError> {
        let spec = JobSpec {
            id: checked_id(&self.job)?.to_string(),
            class: self.class,
            team: self.team,
            kind: if self.service {
                JobKind::Service
            } else {
                JobKind::Batch
            },
            priority: self.priority,
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image,
            image_gb: self.image_gb,
            types: (!self.types.is_empty()).then_some(self.types),
            zone: self.zone,
            single_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            estimate_s: self.estimate_s,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: self.deadline_s,
            depends_on: self.after,
        };
        let body = dillcleat_wire::encode(&spec);
        print_status(&call(&self.server, "POST", user::JOBS_PATH, &body)?)
    }
}

/// Sends a request and retries it until there is a final response or the timeout has
/// passed. Returns the body of the response.
fn call(args: &ControllerArgs, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, CliError> {
    let server = args.server.as_str();
    let timeout = Duration::from_secs(args.timeout);
    if server.parse::<std::net::SocketAddr>().is_err() {
        return Err(CliError::Usage(format!(
            "--server must be IP:PORT, is {server:?}"
        )));
    }
    smol::block_on(async {
        let pool = http::ConnectionPool::new(1, 1);
        let start = Instant::now();
        let mut reported = false;
        while start.elapsed() < timeout {
            let response = pool
                .call(server, method, path, body, Duration::from_secs(5))
                .await;
            match response {
                Ok((200 | 201, body)) => return Ok(body),
                Ok((status @ (400 | 404 | 405 | 413 | 422), body)) => {
                    let cause = dillcleat_wire::decode::<ErrorReply>(&body)
                        .map_or_else(|_| format!("status {status}"), |r| r.error);
                    return Err(CliError::Failed(cause));
                }
                other => {
                    let cause = match other {
                        Ok((status, _)) => format!("answered {status}"),
                        Err(CallError::NotSent) => "no connection".to_string(),
                        Err(CallError::NoAnswer) => "no answer".to_string(),
                    };
                    if !std::mem::replace(&mut reported, true) {
                        eprintln!("{server}: {cause}; trying again for {} s", args.timeout);
                    }
                    Timer::after(Duration::from_secs(1)).await;
                }
            }
        }
        Err(CliError::NoAnswer(server.to_string(), args.timeout))
    })
}

/// Prints the state of a job.
fn print_status(body: &[u8]) -> Result<(), CliError> {
    let status: JobStatus =
        dillcleat_wire::decode(body).map_err(|e| CliError::Failed(e.to_string()))?;
    let state = match status.state {
        user::JobState::Queued => "pending",
        user::JobState::Running => "running",
        user::JobState::Done => "done",
        user::JobState::Cancelled => "aborted",
    };
    let mut line = format!("{} {state}", status.id);
    if let (Some(done), Some(running)) = (status.done, status.running) {
        line += &format!(", {done} tasks done, {running} running");
    }
    println!("{line}");
    Ok(())
}
