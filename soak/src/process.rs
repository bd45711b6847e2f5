//! VMs as processes: their settings, logs and signals.
//!
//! Only processes that were started here get signals, and only before they have been waited for, so that
//! their id can't belong to another process. They are killed when their owner is dropped, and by the kernel
//! when the soak itself is killed.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use crate::platform::settings::settings;
use crate::platform::SETTINGS_VARIABLE;

/// The port at which a VM accepts callers, behind their link.
pub const FRONT_PORT: u16 = 8001;
/// The port at which the platform checks readiness.
pub const READY_PORT: u16 = 8002;
/// The port at which a VM accepts operators.
pub const CONTROL_PORT: u16 = 8003;
/// The port at which a VM serves the directory.
pub const DIRECTORY_PORT: u16 = 8004;
/// The first port of a VM's range is this one plus the index of the VM, see `peer_link`.
pub const PEER_PORT: u16 = 8010;
/// The last port of each VM's range.
pub const LAST_PORT: u16 = 8090;
/// The port at which the link of callers listens.
const LINK_PORT: u16 = 8101;

/// The addresses, the folder and the settings of a VM.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// The index of the VM.
    pub index: usize,
    /// The IP address of the VM.
    pub ip: String,
    /// Whether the VM has a disk.
    pub disk: bool,
    /// The folder of the settings, the log and the disk of the VM.
    pub folder: PathBuf,
    /// The control addresses of the VMs that new VMs contact first.
    pub seeds: Vec<SocketAddr>,
    /// The address of the list of upstreams.
    pub list: SocketAddr,
}

impl VmSpec {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.parse().expect("a valid IP address"), port)
    }

    /// The address at which the VM accepts callers, behind their link.
    pub fn front(&self) -> SocketAddr {
        self.at(FRONT_PORT)
    }

    /// The address to which callers connect.
    pub fn front_link(&self) -> SocketAddr {
        self.at(LINK_PORT)
    }

    /// The address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        self.at(READY_PORT)
    }

    /// The address to which operators connect.
    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    /// The address at which the VM `of` reaches this one: the port number is that of `of`.
    pub fn peer(&self, of: &VmSpec) -> SocketAddr {
        self.at(PEER_PORT + of.index as u16)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    /// Writes the settings file; `change` makes the settings differ from earlier ones, and `broken` cuts the
    /// file in half, so that it can't be parsed.
    pub fn write_settings(&self, first: bool, change: u64, broken: bool) -> std::io::Result<()> {
        let mut text = settings(self, first, change).to_string();
        if broken {
            text.truncate(text.len() / 2);
        }
        fs::write(self.settings_path(), text)
    }
}

/// The process of a VM.
pub struct VmProcess {
    child: Child,
    ended: bool,
}

impl VmProcess {
    /// Writes the settings and starts the program; `first` marks the first start of a VM in a run.
    pub fn start(program: &Path, spec: &VmSpec, first: bool) -> std::io::Result<VmProcess> {
        fs::create_dir_all(spec.folder.join("data"))?;
        spec.write_settings(first, 0, false)?;
        let mut command = Command::new(program);
        command.env(SETTINGS_VARIABLE, spec.settings_path()).stdin(Stdio::null());
        command.stderr(open_for_append(&spec.folder.join("errors"))?).stdout(Stdio::piped());
        // SAFETY: the closure only makes system calls that are safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // A write beyond the file size limit then fails with an error, as on a full disk, and does
                // not kill the process.
                libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let mut child = command.spawn()?;
        if let Some(output) = child.stdout.take() {
            copy_log(output, open_for_append(&spec.folder.join("log"))?);
        }
        Ok(VmProcess { child, ended: false })
    }

    /// Sends a signal unless the process has ended.
    pub fn signal(&mut self, signal: i32) {
        if !self.has_ended() {
            // SAFETY: the child was started here and has not been waited for, so its id is still its own.
            unsafe { libc::kill(self.child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.ended |= matches!(self.child.try_wait(), Ok(Some(_)));
        self.ended
    }

    /// Describes how the process ended; empty while it runs.
    pub fn exit_status_text(&mut self) -> String {
        self.child.try_wait().ok().flatten().map_or(String::new(), |status| status.to_string())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }

    /// Limits the size of the files that the process writes to `max_bytes`; none lifts the limit.
    pub fn limit_files(&mut self, max_bytes: Option<u64>) {
        if self.has_ended() {
            return;
        }
        let soft = max_bytes.unwrap_or(libc::RLIM_INFINITY);
        let limit = libc::rlimit { rlim_cur: soft, rlim_max: libc::RLIM_INFINITY };
        // SAFETY: the child was started here and has not been waited for, and the limit outlives the call.
        unsafe {
            let resource = libc::RLIMIT_FSIZE;
            libc::prlimit(self.child.id() as i32, resource, &limit, std::ptr::null_mut());
        }
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_for_append(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}

/// Copies the output of a process to its log, in a thread of the soak. If the process wrote the file itself,
/// the file size limit of a disturbance would apply to the log too.
fn copy_log(mut output: ChildStdout, mut file: File) {
    std::thread::spawn(move || std::io::copy(&mut output, &mut file));
}
