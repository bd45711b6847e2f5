//! The main function of a VM on the users' platform: settings, logs and signals.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use crate::log_writer::LogWriter;
use argh::FromArgs;
use tokio::signal::unix::{signal, SignalKind};
use tracing::{error, info, warn};
use wingshed_lib::state::vm_settings::VmSettings;
use wingshed_lib::transport::vm_node::VmNode;
use wingshed_platform::{read_settings, settings_path, PlatformAdapter};

/// The interval at which the settings file is checked for changes, since a change may come without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(3);

/// a VM of a fleet on the users' platform
#[derive(FromArgs)]
struct VmArguments {
    /// where to serve the VM's metrics, as PORT/PATH
    #[argh(option, from_str_fn(read_endpoint))]
    figures: Option<MetricsEndpoint>,
}

/// The port and path at which a VM serves its metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The TCP port.
    pub port: u16,
    /// The path, including its leading slash.
    pub path: String,
}

/// Reads an endpoint that is written as PORT/PATH. The port must not be 0.
pub fn read_endpoint(text: &str) -> Result<MetricsEndpoint, String> {
    let parts = text.split_once('/').and_then(|(port, path)| Some((port.parse().ok()?, path)));
    match parts {
        Some((port, path)) if port > 0 => Ok(MetricsEndpoint { port, path: format!("/{path}") }),
        _ => Err(format!("'{text}' is not PORT/PATH")),
    }
}

/// Runs a VM until it is stopped by SIGTERM or fails, and returns its exit code.
pub fn run_vm() -> ExitCode {
    let arguments: VmArguments = argh::from_env();
    let logs = start_logs();
    let code = run_configured(arguments);
    logs.flush();
    code
}

fn run_configured(arguments: VmArguments) -> ExitCode {
    let Some(path) = settings_path() else {
        error!(target: "node", "the environment contains no path of a settings file");
        return ExitCode::FAILURE;
    };
    let Some(settings) = load_settings(&path) else { return ExitCode::FAILURE };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(target: "node", "cannot create the event loop: {error}");
            return ExitCode::FAILURE;
        }
    };
    let tasks = tokio::task::LocalSet::new();
    match tasks.block_on(&runtime, run_node(settings, path, arguments.figures)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(target: "node", "the VM failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_logs() -> LogWriter {
    let writer = LogWriter::stdout();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer.clone())
        .init();
    LogWriter::log_panics();
    writer
}

fn load_settings(path: &Path) -> Option<VmSettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            error!(target: "settings", "{}: {error}", path.display());
            return None;
        }
    };
    match read_settings(&text) {
        Ok(settings) => Some(settings),
        Err(findings) => {
            let text: Vec<String> = findings.iter().map(ToString::to_string).collect();
            error!(target: "settings", "{}: {}", path.display(), text.join("; "));
            None
        }
    }
}

/// Returns a random seed that differs between VMs and between incarnations of a VM.
fn random_seed(settings: &VmSettings) -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(u32::from(settings.ip));
    if let Ok(since) = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH) {
        hasher.write_u128(since.as_nanos());
    }
    hasher.finish()
}

async fn run_node(
    settings: VmSettings,
    path: PathBuf,
    figures: Option<MetricsEndpoint>,
) -> std::io::Result<()> {
    let seed = random_seed(&settings);
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let node = VmNode::bind(settings, Box::new(PlatformAdapter), seed).await?;
    node.start()?;
    node.start_listeners()?;
    if let Some(endpoint) = figures {
        node.start_metrics(endpoint.port, endpoint.path);
    }
    let mut seen = modified(&path);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => {
                seen = modified(&path);
                reload_settings(&node, &path);
            }
            () = tokio::time::sleep(SETTINGS_POLL) => {
                let now = modified(&path);
                if now != seen {
                    seen = now;
                    reload_settings(&node, &path);
                }
            }
        }
    }
    node.stop().await;
    Ok(())
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|about| about.modified()).ok()
}

/// Applies those settings that may change while a VM runs. The others, such as the addresses that it listens on,
/// stay until it is restarted.
fn reload_settings(node: &Rc<VmNode>, path: &Path) {
    let Some(fresh) = load_settings(path) else {
        warn!(target: "settings", "the settings cannot be read; the previous ones stay in force");
        return;
    };
    let mut settings = node.settings.borrow_mut();
    settings.seeds = fresh.seeds;
    settings.bounds = fresh.bounds;
    settings.list = fresh.list;
    settings.tolerated_losses = fresh.tolerated_losses;
    info!(target: "settings", "the settings were reloaded");
}
