//! Runs of the built program.

use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use dunlinrock_fakes::{Store, StoreOptions};

/// Output and exit code of a run.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Returns a command that runs the program with arguments.
pub(crate) fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinrock"));
    command.args(args).env("USER", "ana");
    command
}

/// Runs the program until it exits.
pub(crate) fn run(args: &[&str]) -> CommandOutput {
    let output = program(args).output().unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A running program, killed on drop.
pub(crate) struct Running(Child);

impl Running {
    pub(crate) fn spawn(args: &[&str]) -> Self {
        let mut command = program(args);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    /// Sends SIGTERM, as an operator's `kill` does.
    pub(crate) fn terminate(&self) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits until the program exits and returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        self.0.wait().unwrap().code()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the directory of an example.
pub(crate) fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Returns an address on which no process is listening.
pub(crate) fn unused_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Starts a fake store on a free port.
pub(crate) fn store() -> Store {
    Store::bind("127.0.0.1:0", StoreOptions::default()).unwrap()
}

/// Runs a command with `--store` set to a store's address.
pub(crate) fn run_with_store(store: &Store, args: &[&str]) -> CommandOutput {
    let at = store.addr().to_string();
    run(&[&args[..1], &["--store", &at], &args[1..]].concat())
}

/// Returns the directory of the Cursuri example as an argument.
pub(crate) fn cursuri() -> String {
    example("cursuri").display().to_string()
}

/// Copies the Cursuri example and adds a file.
pub(crate) fn cursuri_with(name: &str, text: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    for entry in fs::read_dir(example("cursuri")).unwrap() {
        let path = entry.unwrap().path();
        fs::copy(&path, dir.path().join(path.file_name().unwrap())).unwrap();
    }
    fs::write(dir.path().join(name), text).unwrap();
    dir
}

/// Copies the Cursuri example and adds a drain.
pub(crate) fn cursuri_with_drain() -> tempfile::TempDir {
    cursuri_with(
        "drains.toml",
        "[drains]\nx = { kind = \"domain\", name = \"cluj-a\" }\n",
    )
}

/// Returns a path as an argument.
pub(crate) fn path_arg(path: &Path) -> String {
    path.display().to_string()
}
