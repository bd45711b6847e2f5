//! The main program of a VM on the users' platform: settings, logs, signals.

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

/// The settings may change without a signal; they are looked at this often.
const LOOK_AT_SETTINGS: Duration = Duration::from_secs(3);

/// a VM of a fleet on the users' platform
#[derive(FromArgs)]
struct VmArguments {
    /// where the VM tells its figures, as PORT/PATH
    #[argh(option, from_str_fn(read_place))]
    figures: Option<FiguresPlace>,
}

/// A port and a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FiguresPlace {
    /// The port.
    pub port: u16,
    /// The path, with its slash.
    pub path: String,
}

/// Reads a place written as PORT/PATH.
pub fn read_place(text: &str) -> Result<FiguresPlace, String> {
    let parts = text.split_once('/').and_then(|(port, path)| Some((port.parse().ok()?, path)));
    match parts {
        Some((port, path)) if port > 0 => Ok(FiguresPlace { port, path: format!("/{path}") }),
        _ => Err(format!("'{text}' is not PORT/PATH")),
    }
}

/// Runs a VM to its end.
pub fn run_vm() -> ExitCode {
    let arguments: VmArguments = argh::from_env();
    let logs = start_logs();
    let code = run_settings(arguments);
    logs.flush();
    code
}

fn run_settings(arguments: VmArguments) -> ExitCode {
    let Some(path) = settings_path() else {
        error!(target: "node", "the environment doesn't say where the settings are");
        return ExitCode::FAILURE;
    };
    let Some(settings) = load_settings(&path) else { return ExitCode::FAILURE };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(target: "node", "no event loop: {error}");
            return ExitCode::FAILURE;
        }
    };
    let tasks = tokio::task::LocalSet::new();
    match tasks.block_on(&runtime, run_node(settings, path, arguments.figures)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(target: "node", "cannot go on: {error}");
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

/// A number that differs between lives and VMs.
fn life_seed(settings: &VmSettings) -> u64 {
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
    figures: Option<FiguresPlace>,
) -> std::io::Result<()> {
    let seed = life_seed(&settings);
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let node = VmNode::bind(settings, Box::new(PlatformAdapter), seed).await?;
    node.start()?;
    node.start_listeners()?;
    if let Some(place) = figures {
        node.start_metrics(place.port, place.path);
    }
    let mut seen = modified(&path);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => {
                seen = modified(&path);
                reload_settings(&node, &path);
            }
            () = tokio::time::sleep(LOOK_AT_SETTINGS) => {
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

/// Takes what may change while a VM runs; what it listens on stays.
fn reload_settings(node: &Rc<VmNode>, path: &Path) {
    let Some(fresh) = load_settings(path) else {
        warn!(target: "settings", "the old settings stay in force");
        return;
    };
    let mut settings = node.settings.borrow_mut();
    settings.seeds = fresh.seeds;
    settings.bounds = fresh.bounds;
    settings.list = fresh.list;
    settings.tolerated_losses = fresh.tolerated_losses;
    info!(target: "settings", "taken anew");
}
