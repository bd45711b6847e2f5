//! Daemons whose log nobody reads, or whose disk has stalled.

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

use testutils::{ask, keeper, spawn_logging, Daemon, Site};

/// A hang guard: far above what any of these needs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Both ends of a pipe, the reader first.
fn pipe() -> (File, File) {
    let mut ends = [0; 2];
    // SAFETY: the array has room for two descriptors, and nobody else has them.
    unsafe {
        assert_eq!(libc::pipe2(ends.as_mut_ptr(), libc::O_CLOEXEC), 0);
        (File::from_raw_fd(ends[0]), File::from_raw_fd(ends[1]))
    }
}

fn set_flags(file: &File, flags: i32) {
    // SAFETY: the descriptor is open.
    unsafe { assert_eq!(libc::fcntl(file.as_raw_fd(), libc::F_SETFL, flags), 0) };
}

/// Writes until the pipe accepts not a byte more, and leaves it blocking.
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

/// A daemon that logs into a pipe that nobody reads, with the pipe's ends.
fn unread(program: &str, settings: &std::path::Path) -> (Daemon, File, File) {
    let (reader, writer) = pipe();
    let output = Stdio::from(writer.try_clone().unwrap());
    (spawn_logging(program, settings, output), reader, writer)
}

fn unread_router(site: &Site) -> (Daemon, File, File) {
    unread(env!("CARGO_BIN_EXE_wingshed-router"), &site.path("router-0"))
}

/// Has a change acknowledged that builds on version `base`.
fn add_workspace(site: &Site, name: &str, base: u64) {
    let entry = json!({ "key": name.replace('w', "k"), "policy": "main" });
    let put = json!({ "Put": { "section": "workspaces", "name": name, "value": entry } });
    let change = json!({ "id": format!("adds {name}"), "base": base, "operations": [put] });
    let (status, answer) = site.operate_until("POST", "/operator/changes", Some(&change));
    assert_eq!(status, 200, "{answer}");
}

// A drain logs before anything else; blocked there, the process never ends.
#[test]
fn a_router_ends_after_sigterm_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let _keeper = keeper(&site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let (mut router, _reader, mut log) = unread_router(&site);
    site.wait_serving();

    fill(&mut log);
    router.signal(libc::SIGTERM);
    let code = router.wait(PATIENCE);

    assert_eq!(code, Some(0));
}

// The control thread logs each version; blocked there, the router renews its lease no more and
// serves nobody.
#[test]
fn a_router_serves_by_new_versions_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let _keeper = keeper(&site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let (_router, _reader, mut log) = unread_router(&site);
    site.wait_serving();

    fill(&mut log);
    add_workspace(&site, "w1", 1);
    add_workspace(&site, "w2", 2);

    let until = Instant::now() + PATIENCE;
    let mut number = 0;
    loop {
        number += 1;
        let mut call = ask(&format!("new-{number}"), "chat", 4);
        (call.workspace, call.key) = ("w2".to_string(), "k2".to_string());
        let answer = send(&site.client, site.routers[0], &chat_call(&call), None);
        if answer.whole {
            break;
        }
        assert!(Instant::now() < until, "not served: {answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

// The keeper's loop logs who leads and whose session lapses; blocked there, it acknowledges
// nothing.
#[test]
fn a_keeper_acknowledges_changes_though_nobody_reads_its_log() {
    let site = Site::new(1, 1);
    let (_keeper, _reader, mut log) =
        unread(env!("CARGO_BIN_EXE_wingshed-keeper"), &site.path("keeper-0"));
    let engines = [EngineStandIn::start(EngineOptions::default())];
    site.configure(&engines);
    let mut router = testutils::router(&site.path("router-0"), None);
    site.wait_serving();

    fill(&mut log);
    router.signal(libc::SIGKILL);
    router.wait(PATIENCE);
    // Only a lapsed session leaves the roster, and the keeper logs that.
    let until = Instant::now() + PATIENCE;
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

/// A file on a disk that has stalled: each write waits until it is let go on.
struct StalledFile {
    go_on: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for StalledFile {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.go_on.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// A log file on a stalled disk blocks its writer, which must be neither a VM's event loop nor a
// router's threads.
#[test]
fn a_file_on_a_stalled_disk_blocks_nobody_who_logs() {
    let (resume, go_on) = bounded::<()>(0);
    let (written, lines) = unbounded();
    let sink = LogSink::queued(StalledFile { go_on, written }).unwrap();
    let lines_sent = MAX_QUEUED_LINES + 50;

    let accepted = (0..lines_sent).filter(|at| sink.write(format!("{at}\n").as_bytes())).count();
    sink.flush(Duration::from_millis(1));
    drop(resume);
    sink.flush(PATIENCE);

    // The line that the thread holds may have left the queue before it was full.
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
    sink.flush(PATIENCE);

    let mut text = String::new();
    std::io::Seek::rewind(&mut file).unwrap();
    file.read_to_string(&mut text).unwrap();
    assert_eq!(text, "first\nsecond\n");
}

// A collector that takes what is written through standard output sees nothing of a duplicate.
#[test]
fn lines_for_a_file_are_written_through_the_descriptor_itself() {
    let file = tempfile::tempfile().unwrap();
    let mut collected = tempfile::tempfile().unwrap();
    let sink = LogSink::to(file.as_raw_fd());

    // SAFETY: both descriptors are open.
    let replaced = unsafe { libc::dup2(collected.as_raw_fd(), file.as_raw_fd()) };
    assert_eq!(replaced, file.as_raw_fd());
    assert!(sink.write(b"first\n") && sink.write(b"second\n"));
    sink.flush(PATIENCE);

    let mut text = String::new();
    std::io::Seek::rewind(&mut collected).unwrap();
    collected.read_to_string(&mut text).unwrap();
    assert_eq!(text, "first\nsecond\n");
}

// Two processes often share the pipe of their supervisor; room that one sees the other may take.
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
