//! A system of real daemon processes, with their settings, and the calls of its operator.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};
use wingshed_standin::address::free_address;
use wingshed_standin::caller::ChatRequest;
use wingshed_standin::engine::EngineStandIn;
use wingshed_standin::system::POLICY;

pub const FLEET_KEY: &str = "0123456789abcdef";

/// A daemon process, which is killed when this is dropped.
pub struct Daemon(pub Child);

impl Daemon {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child was started here and has not been waited for.
        unsafe { libc::kill(self.0.id() as i32, signal) };
    }

    /// Waits for the process to terminate and returns its exit code, -1 if a signal ended it; `None` if it still
    /// runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.0.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        eprintln!("process {} still runs after {timeout:?}:\n{}", self.0.id(), self.threads());
        None
    }

    /// Returns a line for each thread with its name, its state and the kernel function in which it waits.
    fn threads(&self) -> String {
        let tasks = PathBuf::from(format!("/proc/{}/task", self.0.id()));
        let Ok(entries) = std::fs::read_dir(&tasks) else { return "it has ended".to_string() };
        let line = |entry: std::io::Result<std::fs::DirEntry>| {
            let task = entry.ok()?.path();
            let text = |name: &str| std::fs::read_to_string(task.join(name)).unwrap_or_default();
            let status = text("status");
            let state =
                status.lines().find(|line| line.starts_with("State:")).unwrap_or("State: ?");
            let (name, place, call) = (text("comm"), text("wchan"), text("syscall"));
            Some(format!("  {} {state} wchan {place} syscall {}", name.trim(), call.trim()))
        };
        entries.filter_map(line).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the path of the log of a daemon with these settings.
pub fn log_of(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn command(program: &str, settings: &Path, log: Stdio) -> Command {
    let mut command = Command::new(program);
    command.arg("--settings").arg(settings).arg("--log").arg("info").stderr(log);
    command
}

/// Starts a daemon that logs to `log`.
pub fn spawn_logging(program: &str, settings: &Path, log: Stdio) -> Daemon {
    Daemon(command(program, settings, log).spawn().unwrap())
}

/// Starts a daemon, under a resource limit if one is given as the resource and its value.
pub fn spawn(program: &str, settings: &Path, limit: Option<(u32, u64)>) -> Daemon {
    let log = std::fs::File::options().create(true).append(true).open(log_of(settings)).unwrap();
    let mut command = command(program, settings, Stdio::from(log));
    if let Some((resource, most)) = limit {
        let limit = libc::rlimit { rlim_cur: most, rlim_max: most };
        // SAFETY: the closure only calls functions that are safe after a fork.
        unsafe {
            command.pre_exec(move || {
                // Without the signal a write beyond the limit of a file's size fails, as on a full disk.
                libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
                libc::setrlimit(resource, &limit);
                Ok(())
            });
        }
    }
    Daemon(command.spawn().unwrap())
}

pub fn keeper(path: &Path) -> Daemon {
    spawn(env!("CARGO_BIN_EXE_wingshed-keeper"), path, None)
}

pub fn router(path: &Path, limit: Option<(u32, u64)>) -> Daemon {
    spawn(env!("CARGO_BIN_EXE_wingshed-router"), path, limit)
}

/// The files and addresses of a system of processes.
pub struct Site {
    folder: tempfile::TempDir,
    pub keepers: Vec<SocketAddr>,
    pub routers: Vec<SocketAddr>,
    pub client: HttpClient,
}

impl Site {
    pub fn new(keepers: usize, routers: usize) -> Site {
        let site = Site {
            folder: tempfile::tempdir().unwrap(),
            keepers: (0..keepers).map(|_| free_address()).collect(),
            routers: (0..routers).map(|_| free_address()).collect(),
            client: HttpClient::default(),
        };
        let list: Vec<Value> = site
            .keepers
            .iter()
            .enumerate()
            .map(|(at, address)| json!({ "id": at + 1, "address": address.to_string() }))
            .collect();
        for (at, address) in site.keepers.iter().enumerate() {
            let data = site.folder.path().join(format!("data-{at}"));
            site.write(
                &format!("keeper-{at}"),
                &json!({
                    "role": "keeper", "id": at + 1, "zone": "a", "address": address.to_string(),
                    "keepers": list, "data_folder": data, "fleet_key": FLEET_KEY,
                }),
            );
        }
        for (at, address) in site.routers.iter().enumerate() {
            site.write(
                &format!("router-{at}"),
                &json!({
                    "role": "router", "id": at + 1, "zone": "a", "address": address.to_string(),
                    "keepers": list, "fleet_key": FLEET_KEY,
                    "limits": { "read_timeout_ms": 1000, "drain_ms": 30000 },
                }),
            );
        }
        site
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name).with_extension("json")
    }

    pub fn write(&self, name: &str, value: &Value) {
        std::fs::write(self.path(name), value.to_string()).unwrap();
    }

    /// Sends an operator's call to the keepers in turn, until the leader answers; `None` if none does.
    pub fn operate(&self, method: &str, path: &str, body: Option<&Value>) -> Option<(u16, Value)> {
        let call = HttpCall {
            method: method.to_string(),
            target: path.to_string(),
            headers: Vec::new(),
            body: body.map(|body| body.to_string().into_bytes()).unwrap_or_default(),
        };
        let call = call.with("authorization", format!("Bearer {FLEET_KEY}"));
        self.keepers.iter().find_map(|address| {
            let times = CallTimes::of_ms(3000);
            let reply = self.client.call(*address, &call, times, 16 << 20, "operator").ok()?;
            let good = !matches!(reply.status, 421 | 503);
            good.then(|| (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default()))
        })
    }

    /// Repeats [`Site::operate`] until a keeper answers, for 20 s at most.
    pub fn operate_until(&self, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Some(answer) = self.operate(method, path, body) {
                return answer;
            }
            assert!(Instant::now() < until, "no keeper leads");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Submits the first configuration, with these engines.
    pub fn configure(&self, engines: &[EngineStandIn]) {
        let put = |section: &str, name: &str, value: Value| json!({ "Put": { "section": section, "name": name, "value": value } });
        let mut operations = vec![
            put("fleets", "engines", json!({ "kind": "engine" })),
            put("fleets", "plain", json!({ "kind": "plain" })),
            put("policies", "main", json!({ "source": POLICY })),
            put("workspaces", "w0", json!({ "key": "k0", "policy": "main" })),
        ];
        for (at, engine) in engines.iter().enumerate() {
            let entry =
                json!({ "fleet": "engines", "address": engine.address.to_string(), "zone": "a" });
            operations.push(put("upstreams", &format!("engine-{at}"), entry));
        }
        let change = json!({ "id": "first", "base": 0, "operations": operations });
        let (status, answer) = self.operate_until("POST", "/operator/changes", Some(&change));
        assert_eq!(status, 200, "{answer}");
    }

    /// Waits until all routers serve.
    pub fn wait_serving(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        for address in &self.routers {
            let serving = || {
                let call = HttpCall::get("/status");
                let times = CallTimes::of_ms(1000);
                let reply = self.client.call(*address, &call, times, 1 << 20, "status").ok()?;
                let value: Value = serde_json::from_slice(&reply.body).ok()?;
                value["serves"].as_bool()
            };
            while serving() != Some(true) {
                assert!(Instant::now() < until, "a router does not serve");
                std::thread::sleep(Duration::from_millis(30));
            }
        }
        std::thread::sleep(Duration::from_millis(600));
    }
}

/// Returns the first request of a new chat, in the workspace that [`Site::configure`] creates.
pub fn chat_request(id: &str, service: &str, max_tokens: u32) -> ChatRequest {
    ChatRequest {
        workspace: "w0".to_string(),
        key: "k0".to_string(),
        request_id: id.to_string(),
        chat: format!("chat-{id}"),
        service: service.to_string(),
        prompt_tokens: 20,
        max_tokens,
        stream: true,
        run_once: false,
        returning: false,
    }
}
