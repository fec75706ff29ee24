//! Runs one case: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod host;
mod json;
mod link;
mod platform;
mod record;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record::line(&format!("case {case}, trouble {trouble}"));
    // A script may run for 120 s.
    let end = path.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(100));
        record::line("the case took too long");
        record::write(&end);
        std::process::exit(2);
    });
    let held = match case.as_str() {
        "stop-while-read" => cases::stop_while_read(trouble),
        "stop-while-sending" => cases::stop_while_sending(trouble),
        "deadly-request" => cases::deadly_request(trouble),
        "cut-while-uploading" => cases::cut_while_uploading(trouble),
        "slow-worker-stop" => cases::slow_worker_stop(trouble),
        _ => None,
    };
    let (code, text) = match held {
        Some(true) => (0, "the rule held"),
        Some(false) => (1, "the rule was broken"),
        None => (2, "the case could not run"),
    };
    record::line(text);
    record::write(path);
    ExitCode::from(code)
}
