//! VMs as processes: their settings, logs and signals.
//!
//! Only processes started here are signalled, by their id while they are not yet waited for. All
//! are ended when their owner is dropped, and by the system when the soak itself is killed.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use crate::platform::settings::settings;
use crate::platform::SETTINGS_VARIABLE;

/// The port of callers, behind the link.
pub const FRONT_PORT: u16 = 8001;
/// The port of the platform's own question.
pub const READY_PORT: u16 = 8002;
/// The port of operators.
pub const CONTROL_PORT: u16 = 8003;
/// The port of the directory.
pub const DIRECTORY_PORT: u16 = 8004;
/// The first port between VMs is this one and the VM's index more, see `peer_link`.
pub const PEER_PORT: u16 = 8010;
/// The last port of each VM's range.
pub const LAST_PORT: u16 = 8090;
/// The port of the near end of callers' link.
const LINK_PORT: u16 = 8101;

/// Where a VM is found and what it keeps.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// Its index.
    pub index: usize,
    /// Its address.
    pub ip: String,
    /// Whether it has a disk.
    pub disk: bool,
    /// The folder of its settings, log and disk.
    pub folder: PathBuf,
    /// The addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Where the list is.
    pub list: SocketAddr,
}

impl VmSpec {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.parse().expect("an address"), port)
    }

    /// Where callers would be without a link.
    pub fn front(&self) -> SocketAddr {
        self.at(FRONT_PORT)
    }

    /// Where callers go.
    pub fn front_link(&self) -> SocketAddr {
        self.at(LINK_PORT)
    }

    /// Where readiness is asked for.
    pub fn ready(&self) -> SocketAddr {
        self.at(READY_PORT)
    }

    /// Where operators go.
    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    /// Where other VMs find it: at the port of `of`.
    pub fn peer(&self, of: &VmSpec) -> SocketAddr {
        self.at(PEER_PORT + of.index as u16)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    /// Writes settings that differ from the last; such as can't be read when `broken`.
    pub fn write_settings(&self, first: bool, change: u64, broken: bool) -> std::io::Result<()> {
        let mut text = settings(self, first, change).to_string();
        if broken {
            text.truncate(text.len() / 2);
        }
        fs::write(self.settings_path(), text)
    }
}

/// A VM's process while it runs.
pub struct VmProcess {
    child: Child,
    ended: bool,
}

impl VmProcess {
    /// Starts the program of a VM.
    pub fn start(program: &Path, spec: &VmSpec, first: bool) -> std::io::Result<VmProcess> {
        fs::create_dir_all(spec.folder.join("data"))?;
        spec.write_settings(first, 0, false)?;
        let mut command = Command::new(program);
        command.env(SETTINGS_VARIABLE, spec.settings_path()).stdin(Stdio::null());
        command.stderr(open_for_append(&spec.folder.join("errors"))?).stdout(Stdio::piped());
        // SAFETY: only system calls that are safe after fork.
        unsafe {
            command.pre_exec(|| {
                // A write beyond the limit of a file's size is then an error, as on a full disk.
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

    /// Sends a signal, if the process has not ended.
    pub fn signal(&mut self, signal: i32) {
        if !self.has_ended() {
            // SAFETY: the child is ours and has not been waited for.
            unsafe { libc::kill(self.child.id() as i32, signal) };
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.ended |= matches!(self.child.try_wait(), Ok(Some(_)));
        self.ended
    }

    /// How it ended, once it has.
    pub fn exit_status_text(&mut self) -> String {
        self.child.try_wait().ok().flatten().map_or(String::new(), |status| status.to_string())
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }

    /// From now on no file of the process can grow beyond `max_bytes` bytes; none lifts the limit.
    pub fn limit_files(&mut self, max_bytes: Option<u64>) {
        if self.has_ended() {
            return;
        }
        let soft = max_bytes.unwrap_or(libc::RLIM_INFINITY);
        let limit = libc::rlimit { rlim_cur: soft, rlim_max: libc::RLIM_INFINITY };
        // SAFETY: the child is ours and has not been waited for; the limit outlives the call.
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

/// A pipe and a thread, since a file of its own would meet the limit of files' size too.
fn copy_log(mut output: ChildStdout, mut file: File) {
    std::thread::spawn(move || std::io::copy(&mut output, &mut file));
}
