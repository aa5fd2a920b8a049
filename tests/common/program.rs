//! Runs the program as a process and reads its log.
use super::TIMEOUT;
pub(crate) use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// A running process of the program.
pub(crate) struct Program {
    pub(crate) child: Child,
    pub(crate) log: Receiver<String>,
    lines: Vec<String>,
}

impl Program {
    /// Starts the program with only these environment variables.
    pub(crate) fn start(arguments: &[&str], env: &[(&str, &str)]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonvale"));
        command.args(arguments).env_clear().envs(env.iter().copied());
        Program::run(command)
    }

    /// Starts a router with an operator's TOML file.
    pub(crate) fn serve(file: &Path) -> Program {
        Program::start(&["serve", file.to_str().unwrap()], &[])
    }

    /// Starts a router with the platform's JSON configuration.
    pub(crate) fn serve_platform(config: &Path) -> Program {
        Program::start(&[], &[("BALANCER_CONFIG", config.to_str().unwrap())])
    }

    /// Runs a shell command that starts the program.
    pub(crate) fn shell(line: &str) -> Program {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]);
        Program::run(command)
    }

    /// Starts a process from this command and reads its standard error as the log.
    pub(crate) fn run(mut command: Command) -> Program {
        let mut child = command.stderr(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (line_sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).all(|l| line_sender.send(l).is_ok()));
        Program { child, log, lines: Vec::new() }
    }

    /// Waits for a log line that contains this text; returns at once if the log already has such a line.
    pub(crate) fn wait_for_log(&mut self, text: &str) -> String {
        if let Some(line) = self.lines.iter().find(|l| l.contains(text)) {
            return line.clone();
        }
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let Ok(line) = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) else {
                panic!("no line with '{text}' in the log: {:#?}", self.lines);
            };
            self.lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The log lines that have been read so far.
    pub(crate) fn log_lines(&mut self) -> &[String] {
        self.lines.extend(self.log.try_iter());
        &self.lines
    }

    /// The address that the program logs for its client listener.
    pub(crate) fn listening_address(&mut self) -> SocketAddr {
        let line = self.wait_for_log("client listener bound ");
        line.rsplit("addr=").next().unwrap().trim().parse().unwrap()
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits for a log line with this text, ignoring the lines that earlier waits have read.
    pub(crate) fn wait_for_next_log(&mut self, text: &str) -> String {
        self.lines.clear();
        self.wait_for_log(text)
    }

    /// Waits until the process ends; returns its exit code and standard output.
    pub(crate) fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let mut out = String::new();
        self.child.stdout.take().unwrap().read_to_string(&mut out).unwrap();
        (self.child.wait().unwrap().code(), out)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
