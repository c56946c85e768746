//! A child process of an experiment, killed when its handle is dropped.

use std::path::Path;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use tokio::process::{Child as Process, Command};

use super::BenchError;

/// A process started by the bench; dropping the handle kills it.
#[derive(Debug)]
pub(crate) struct Child {
    program: String,
    process: Process,
}

impl Child {
    /// Starts `program` from `folder` with the settings in `file`. Its output is appended to a file
    /// of the same name with the extension `log`.
    pub(crate) fn start(
        folder: &Path,
        program: &str,
        arguments: &[&str],
        file: &Path,
    ) -> Result<Self, BenchError> {
        let failed = |cause| BenchError::Start {
            program: program.to_owned(),
            cause,
        };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(file.with_extension("log"))
            .map_err(failed)?;
        let lines = log.try_clone().map_err(failed)?;
        let process = Command::new(folder.join(program))
            .args(arguments)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(lines))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Self {
            program: program.to_owned(),
            process,
        })
    }

    /// Sends SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn freeze(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub(crate) fn thaw(&mut self) {
        self.signal(Signal::CONT);
    }

    /// The process id; 0 once the exit status has been collected.
    pub(crate) fn id(&self) -> u32 {
        self.process.id().unwrap_or(0)
    }

    /// Requests a graceful stop with SIGTERM.
    pub(crate) fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings with SIGHUP.
    pub(crate) fn reload(&mut self) {
        self.signal(Signal::HUP);
    }

    /// Whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> bool {
        // An error means that there is no such child process any more.
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits for the process to exit and returns whether its exit status is 0.
    pub(crate) async fn wait(&mut self) -> bool {
        let status = self.process.wait().await;
        status.is_ok_and(|s| s.success())
    }

    fn signal(&mut self, signal: Signal) {
        let id = self.process.id().and_then(|id| i32::try_from(id).ok());
        // Without an id the exit status has been collected: no process is left to signal.
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return;
        };
        if let Err(e) = kill_process(pid, signal) {
            eprintln!("{}: cannot send {signal:?}: {e}", self.program);
        }
    }
}

/// Writes settings to `file` as JSON.
pub(crate) fn write_settings<T: Serialize>(file: &Path, settings: &T) -> Result<(), BenchError> {
    let text = serde_json::to_string_pretty(settings).unwrap_or_default();
    std::fs::write(file, text).map_err(|cause| BenchError::File {
        file: file.to_owned(),
        cause,
    })
}
