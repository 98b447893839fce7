//! Signals that reach a process while it starts.

use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use site::Caller;
use site::LoopbackHost;
use tempfile::TempDir;

/// Nobody answers there: the process serves its metrics all the same.
const NOBODY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn end(mut child: Child) {
    child.kill().expect("kill");
    child.wait().expect("wait");
}

/// Symptom: a process ended by itself right after its start (seed 5 of the
/// soak). Sequence: it starts; it is told that its settings have changed before
/// it serves. Cause: the handler was installed last, and the signal's default
/// ends a process. Now the first line says that signals are heeded.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_told_of_new_settings_while_it_starts_goes_on() {
    let host = LoopbackHost::new(250, 0);
    let folder = TempDir::new().expect("folder");
    let path = folder.path().join("settings");
    std::fs::write(&path, host.settings(NOBODY, None)).expect("settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_clovermountd"))
        .arg("--cell")
        .env("CLOVERMOUNT_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let first = lines.next().expect("a line").expect("readable");
    assert!(first.contains("\"code\":105"), "{first}");
    let id = i32::try_from(child.id()).expect("id");
    kill(Pid::from_raw(id), Signal::SIGHUP).expect("signal");

    let caller = Caller::new();
    let serving = caller.wait_status(host.metrics(), "/metrics", 200);

    let served = tokio::time::timeout(Duration::from_secs(20), serving).await;
    end(child);
    assert!(served.is_ok(), "the process has ended");
}
