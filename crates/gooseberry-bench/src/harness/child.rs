//! One process of an experiment; it ends with its value.

use std::path::Path;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use tokio::process::{Child as Process, Command};

use super::BenchError;

/// A process that this bench started.
#[derive(Debug)]
pub(crate) struct Child {
    program: String,
    process: Process,
}

impl Child {
    /// Starts `program` of `folder` with settings from `file`; its log goes to a file beside it.
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

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
    }

    /// Freezes the process.
    pub(crate) fn freeze(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn thaw(&mut self) {
        self.signal(Signal::CONT);
    }

    /// The id of the process; 0 once it has been waited for.
    pub(crate) fn id(&self) -> u32 {
        self.process.id().unwrap_or(0)
    }

    /// Asks the process to stop in order.
    pub(crate) fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to read its settings again.
    pub(crate) fn reload(&mut self) {
        self.signal(Signal::HUP);
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        // An error means that the process is no longer there to be waited for.
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits for the process to end and returns whether it ended with success.
    pub(crate) async fn wait(&mut self) -> bool {
        let status = self.process.wait().await;
        status.is_ok_and(|s| s.success())
    }

    fn signal(&mut self, signal: Signal) {
        let id = self.process.id().and_then(|id| i32::try_from(id).ok());
        // Without an id the process has ended and been waited for.
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return;
        };
        if let Err(e) = kill_process(pid, signal) {
            eprintln!("{}: signal not sent: {e}", self.program);
        }
    }
}

/// Writes settings as JSON into `file`.
pub(crate) fn write_settings<T: Serialize>(file: &Path, settings: &T) -> Result<(), BenchError> {
    let text = serde_json::to_string_pretty(settings).unwrap_or_default();
    std::fs::write(file, text).map_err(|cause| BenchError::File {
        file: file.to_owned(),
        cause,
    })
}
