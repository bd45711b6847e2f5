//! A log whose reader doesn't read it never blocks the threads that log.

use std::fs::File;
use std::io::{Read, Write};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::net::UnixStream;

use tracing::info;
use wingshed_daemons::log_writer::{LogWriter, MAX_LINE_BYTES};

fn pipe() -> (File, File) {
    let mut ends = [0; 2];
    // SAFETY: the array can hold two descriptors, and no other code owns them.
    unsafe {
        assert_eq!(libc::pipe(ends.as_mut_ptr()), 0);
        (File::from_raw_fd(ends[0]), File::from_raw_fd(ends[1]))
    }
}

/// Runs `act`, which logs into a pipe, and returns what was written to the pipe. The pipe is read only after
/// `act` or when `act` calls its argument, so a writer that waited for the reader would block the test forever.
fn logged(act: impl FnOnce(&mut dyn FnMut())) -> String {
    let (mut reader, writer) = pipe();
    let mut read = String::new();
    let log = LogWriter::to(writer.as_raw_fd());
    let subscriber = tracing_subscriber::fmt().json().with_writer(log).finish();
    tracing::subscriber::with_default(subscriber, || {
        let mut read_pipe = || {
            let mut buffer = vec![0; 1 << 20];
            let length = reader.read(&mut buffer).unwrap();
            read.push_str(&String::from_utf8_lossy(&buffer[..length]));
        };
        act(&mut read_pipe);
    });
    drop(writer);
    reader.read_to_string(&mut read).unwrap();
    read
}

#[test]
fn a_reader_that_does_not_read_holds_nothing_up_and_what_is_lost_is_told() {
    let long = "x".repeat(MAX_LINE_BYTES / 2);

    let text = logged(|read_pipe| {
        // This is more than the 64 KiB that a pipe holds by default. It is logged from different places.
        for _ in 0..15 {
            info!("a {long}");
            info!("b {long}");
            info!("c {long}");
        }
        read_pipe();
        info!("heard again");
    });

    let lines: Vec<&str> = text.lines().collect();
    assert!(lines.len() > 10 && lines.len() < 45, "{} lines", lines.len());
    assert!(lines.iter().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()));
    assert!(lines[lines.len() - 2].contains("lines are missing"), "{}", lines[lines.len() - 2]);
    assert!(lines[lines.len() - 1].contains("heard again"));
}

#[test]
fn a_line_longer_than_a_pipe_takes_whole_is_lost_and_told() {
    let text = logged(|_| {
        info!("{}", "y".repeat(MAX_LINE_BYTES));
        info!("next");
    });

    assert!(!text.contains("yyy"));
    assert!(text.contains("\"others\":1"), "{text}");
    assert!(text.contains("next"));
}

#[test]
fn a_closed_output_ends_nothing() {
    let (reader, mut writer) = pipe();
    drop(reader);
    assert!(writer.write(b"x").is_err());
    let log = LogWriter::to(writer.as_raw_fd());
    let subscriber = tracing_subscriber::fmt().json().with_writer(log).finish();

    tracing::subscriber::with_default(subscriber, || (0..5).for_each(|at| info!(at, "said")));
}

#[test]
fn a_socket_that_nobody_reads_holds_nothing_up() {
    let (mut reader, writer) = UnixStream::pair().unwrap();
    let log = LogWriter::to(writer.as_raw_fd());
    let subscriber = tracing_subscriber::fmt().json().with_writer(log).finish();
    let long = "z".repeat(MAX_LINE_BYTES / 2);

    tracing::subscriber::with_default(subscriber, || {
        for _ in 0..20 {
            info!("a {long}");
            info!("b {long}");
            info!("c {long}");
            info!("d {long}");
            info!("e {long}");
        }
    });

    drop(writer);
    let mut read = Vec::new();
    reader.read_to_end(&mut read).unwrap();
    assert!(read.len() > MAX_LINE_BYTES && read.ends_with(b"\n"), "whole lines: {}", read.len());
}
