//! Daemons whose log is not read, or is on a disk that has stalled.

mod testutils;

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::os::fd::{AsRawFd, FromRawFd};
use std::process::Stdio;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, unbounded, Receiver, Sender};
use serde_json::json;
use wingshed_daemons::log_sink::{LogSink, MAX_QUEUED_LINES};
use wingshed_standin::caller::{chat_call, send};
use wingshed_standin::engine::{EngineOptions, EngineStandIn};

use testutils::{chat_request, keeper, spawn_logging, Daemon, Site};

/// The time after which a test fails instead of hanging. It is far above the time that any of them needs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a pipe and returns its reading and its writing end.
fn pipe() -> (File, File) {
    let mut ends = [0; 2];
    // SAFETY: the array can hold two descriptors, and no other code owns them.
    unsafe {
        assert_eq!(libc::pipe2(ends.as_mut_ptr(), libc::O_CLOEXEC), 0);
        (File::from_raw_fd(ends[0]), File::from_raw_fd(ends[1]))
    }
}

fn set_flags(file: &File, flags: i32) {
    // SAFETY: the descriptor is open.
    unsafe { assert_eq!(libc::fcntl(file.as_raw_fd(), libc::F_SETFL, flags), 0) };
}

/// Fills a pipe until it accepts no further byte, and then sets it to blocking mode.
fn fill(pipe: &mut File) {
    set_flags(pipe, libc::O_NONBLOCK);
    for size in [4096, 1] {
        loop {
            match pipe.write(&vec![b'.'; size]) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
    }
    set_flags(pipe, 0);
}

/// Starts a daemon that logs into a pipe that is not read. Returns the daemon and both ends of the pipe.
fn spawn_with_unread_log(program: &str, settings: &std::path::Path) -> (Daemon, File, File) {
    let (reader, writer) = pipe();
    let output = Stdio::from(writer.try_clone().unwrap());
    (spawn_logging(program, settings, output), reader, writer)
}

fn router_with_unread_log(site: &Site) -> (Daemon, File, File) {
    spawn_with_unread_log(env!("CARGO_BIN_EXE_wingshed-router"), &site.path("router-0"))
}

/// Adds a workspace by a change based on version `base`, and waits until the change is acknowledged.
fn add_workspace(site: &Site, name: &str, base: u64) {
    let entry = json!({ "key": name.replace('w', "k"), "policy": "main" });
    let put = json!({ "Put": { "section": "workspaces", "name": name, "value": entry } });
    let change = json!({ "id": format!("adds {name}"), "base": base, "operations": [put] });
    let (status, answer) = site.operate_until("POST", "/operator/changes", Some(&change));
    assert_eq!(status, 200, "{answer}");
}

// A drain starts with a log line. If that line blocked, the process would never terminate.
#[test]
fn a_router_ends_after_sigterm_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let _keeper = keeper(&site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let (mut router, _reader, mut log) = router_with_unread_log(&site);
    site.wait_serving();

    fill(&mut log);
    router.signal(libc::SIGTERM);
    let code = router.wait(HANG_TIMEOUT);

    assert_eq!(code, Some(0));
}

// The control thread logs each version. If that line blocked, the router would no longer renew its lease, and
// would stop serving.
#[test]
fn a_router_serves_by_new_versions_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let _keeper = keeper(&site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let (_router, _reader, mut log) = router_with_unread_log(&site);
    site.wait_serving();

    fill(&mut log);
    add_workspace(&site, "w1", 1);
    add_workspace(&site, "w2", 2);

    let until = Instant::now() + HANG_TIMEOUT;
    let mut number = 0;
    loop {
        number += 1;
        let mut call = chat_request(&format!("new-{number}"), "chat", 4);
        (call.workspace, call.key) = ("w2".to_string(), "k2".to_string());
        let answer = send(&site.client, site.routers[0], &chat_call(&call), None);
        if answer.whole {
            break;
        }
        assert!(Instant::now() < until, "not served: {answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

// The keeper's loop logs changes of the leader and lapsed sessions. If such a line blocked, the keeper would
// acknowledge no changes.
#[test]
fn a_keeper_acknowledges_changes_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let (_keeper, _reader, mut log) =
        spawn_with_unread_log(env!("CARGO_BIN_EXE_wingshed-keeper"), &site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let mut router = testutils::router(&site.path("router-0"), None);
    site.wait_serving();

    fill(&mut log);
    router.signal(libc::SIGKILL);
    router.wait(HANG_TIMEOUT);
    // The router leaves the roster when its session lapses, which the keeper logs.
    let until = Instant::now() + HANG_TIMEOUT;
    loop {
        let gone = site.operate("GET", "/operator/status", None);
        if gone.is_some_and(|(_, status)| status["routers"] == json!([])) {
            break;
        }
        assert!(Instant::now() < until, "the keeper answers no more");
        std::thread::sleep(Duration::from_millis(50));
    }

    add_workspace(&site, "w1", 1);
}

/// A file on a disk that has stalled: each write waits until `resume` is signalled or closed.
struct StalledFile {
    resumed: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for StalledFile {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.resumed.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// A write to a log file on a stalled disk blocks, so it must happen neither on a VM's event loop nor on a
// router's threads.
#[test]
fn a_file_on_a_stalled_disk_blocks_nobody_who_logs() {
    let (resume, resumed) = bounded::<()>(0);
    let (written, lines) = unbounded();
    let sink = LogSink::queued(StalledFile { resumed, written }).unwrap();
    let lines_sent = MAX_QUEUED_LINES + 50;

    let accepted = (0..lines_sent).filter(|at| sink.write(format!("{at}\n").as_bytes())).count();
    sink.flush(Duration::from_millis(1));
    drop(resume);
    sink.flush(HANG_TIMEOUT);

    // The thread may have taken one line from the queue before the queue was full.
    assert!((MAX_QUEUED_LINES..=MAX_QUEUED_LINES + 1).contains(&accepted), "{accepted}");
    let written: Vec<Vec<u8>> = lines.try_iter().collect();
    let expected: Vec<Vec<u8>> = (0..accepted).map(|at| format!("{at}\n").into_bytes()).collect();
    assert_eq!(written, expected);
}

#[test]
fn lines_for_a_file_are_in_it_after_a_flush() {
    let mut file = tempfile::tempfile().unwrap();
    let sink = LogSink::to(file.as_raw_fd());

    assert!(sink.write(b"first\n") && sink.write(b"second\n"));
    sink.flush(HANG_TIMEOUT);

    let mut text = String::new();
    std::io::Seek::rewind(&mut file).unwrap();
    file.read_to_string(&mut text).unwrap();
    assert_eq!(text, "first\nsecond\n");
}

// A collector that intercepts what is written to standard output doesn't see writes to a duplicate of it.
#[test]
fn lines_for_a_file_are_written_through_the_descriptor_itself() {
    let file = tempfile::tempfile().unwrap();
    let mut collected = tempfile::tempfile().unwrap();
    let sink = LogSink::to(file.as_raw_fd());

    // SAFETY: both descriptors are open.
    let replaced = unsafe { libc::dup2(collected.as_raw_fd(), file.as_raw_fd()) };
    assert_eq!(replaced, file.as_raw_fd());
    assert!(sink.write(b"first\n") && sink.write(b"second\n"));
    sink.flush(HANG_TIMEOUT);

    let mut text = String::new();
    std::io::Seek::rewind(&mut collected).unwrap();
    collected.read_to_string(&mut text).unwrap();
    assert_eq!(text, "first\nsecond\n");
}

// Processes often share the pipe of their supervisor. Setting it to non-blocking mode would affect all of them,
// and space that one process sees may be taken by another.
#[test]
fn a_pipe_is_left_blocking_for_the_processes_that_share_it() {
    let (_reader, mut writer) = pipe();
    let sink = LogSink::to(writer.as_raw_fd());

    fill(&mut writer);
    let accepted = sink.write(b"no room\n");

    assert!(!accepted);
    // SAFETY: the descriptor is open.
    let flags = unsafe { libc::fcntl(writer.as_raw_fd(), libc::F_GETFL) };
    assert_eq!(flags & libc::O_NONBLOCK, 0);
}
