//! The cases.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    host::{Caller, Host, SMALL, Size, configure, reset_at_end},
    link::Link,
    platform::{Run, Store, fragile_worker, worker},
    record,
};

/// Stamp of the workers.
const STAMP: (&str, &str) = ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1");

const GRACE: Duration = Duration::from_secs(6);

/// A worker that answers `/get/big` with so many bytes, all else at once with some.
fn downloads(bytes: usize) -> Run {
    Arc::new(move |head, connection| {
        let Some(_) = connection.body(head.length()) else {
            return false;
        };
        record::line(&format!("worker runs {} {}", head.id(), head.path));
        let body = vec![
            b'x';
            if head.path.ends_with("big") {
                bytes
            } else {
                400
            }
        ];
        let is_sent = connection.answer(200, &[("Request-Id", head.id()), STAMP], &body);
        record::line(&format!("worker answered {}, whole: {is_sent}", head.id()));
        is_sent
    })
}

/// How a caller reads a large response.
#[derive(Clone, Copy)]
struct Pace {
    /// Bytes in each tenth of a second at first.
    step: usize,
    /// How long, from the head on; afterwards it reads at full speed.
    time: Duration,
}

/// Gets a small answer on a connection, and a large one on the same connection. Returns whether
/// the large one came whole.
fn download(
    host: &Host,
    name: &str,
    deadline_ms: u32,
    pace: Option<Pace>,
    begun: &AtomicU32,
) -> Option<bool> {
    let mut caller = Caller::connect_as_remote(host.callers, 8 << 10).ok()?;
    let first = caller
        .call(
            "GET",
            "/get/small",
            &format!("{name}-small"),
            deadline_ms,
            b"",
        )
        .ok()?;
    record::line(&format!("caller {name}: small answer {}", first.status));
    if first.status != 200 {
        return None;
    }
    let start = Instant::now();
    caller
        .send("GET", "/get/big", &format!("{name}-big"), deadline_ms, b"")
        .ok()?;
    let got = match caller.head() {
        Ok(got) => got,
        Err(e) => {
            record::line(&format!("caller {name}: no answer: {e}"));
            return Some(false);
        }
    };
    record::line(&format!(
        "caller {name}: head of the answer {}, {} bytes",
        got.status, got.length
    ));
    begun.fetch_add(1, Ordering::SeqCst);
    if got.status != 200 {
        return None;
    }
    let (head_at, mut read) = (Instant::now(), 0);
    while read < got.length {
        let pace = pace.filter(|pace| head_at.elapsed() < pace.time);
        let most = pace.map_or(256 << 10, |pace| pace.step);
        match caller.piece(most.min(got.length - read)) {
            Ok(n) if n > 0 => read += n,
            ended => {
                let cause =
                    ended.map_or_else(|e| e.to_string(), |_| "end of the connection".into());
                let at = start.elapsed().as_secs_f64();
                record::line(&format!(
                    "caller {name}: INCOMPLETE after {at:.1} s, {read} of {} bytes: {cause}",
                    got.length
                ));
                return Some(false);
            }
        }
        if pace.is_some() {
            thread::sleep(Duration::from_millis(100));
        }
    }
    let at = start.elapsed().as_secs_f64();
    record::line(&format!(
        "caller {name}: whole answer after {at:.1} s, {read} bytes"
    ));
    Some(true)
}

/// Runs downloads at a host side by side, and `beside` once all have begun. Returns how many came
/// whole.
fn downloads_beside(
    host: &Host,
    count: u32,
    deadline_ms: u32,
    pace: Option<Pace>,
    beside: impl FnOnce(),
) -> Option<u32> {
    let begun = AtomicU32::new(0);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..count)
            .map(|n| {
                let begun = &begun;
                scope.spawn(move || download(host, &format!("c{n}"), deadline_ms, pace, begun))
            })
            .collect();
        let end = Instant::now() + Duration::from_secs(15);
        while begun.load(Ordering::SeqCst) < count && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        beside();
        let whole: Option<Vec<bool>> = callers
            .into_iter()
            .map(|caller| caller.join().ok().flatten())
            .collect();
        whole.map(|whole| whole.into_iter().filter(|w| *w).count() as u32)
    })
}

/// A host gets SIGTERM while callers read answers that it holds whole. They would have read them
/// within the grace period.
pub fn stop_while_read(trouble: bool) -> Option<bool> {
    const COUNT: u32 = 3;
    let store = Store::open();
    configure(&store, &[("/get/", "download", 6_000)]);
    worker(&store, "i-1", "packs", "a", downloads(540_000));
    worker(&store, "i-2", "packs", "b", downloads(540_000));
    let host = Host::start(&store, 1, "a", SMALL)?;
    let _other = Host::start(&store, 2, "b", SMALL)?;
    // 10 KB a second for 4 s, then at full speed.
    let pace = Pace {
        step: 1_000,
        time: Duration::from_secs(4),
    };
    let start = Instant::now();
    let whole = downloads_beside(&host, COUNT, 6_000, Some(pace), || {
        if trouble {
            host.terminate();
        }
    })?;
    let time = start.elapsed();
    record::line(&format!(
        "{whole} of {COUNT} answers whole, {:.1} s",
        time.as_secs_f64()
    ));
    (time < GRACE).then_some(whole == COUNT)
}

/// Gets a large answer slowly, and sends small requests behind it meanwhile, one a second. Returns
/// whether each request that a worker may have got has its whole answer.
fn read_and_send(host: &Host, name: &str, begun: &AtomicU32) -> Option<bool> {
    let mut caller = Caller::connect(host.callers, Some(64 << 10)).ok()?;
    let start = Instant::now();
    caller
        .send("GET", "/get/big", &format!("{name}-0"), 6_000, b"")
        .ok()?;
    let got = caller.head().ok()?;
    record::line(&format!(
        "caller {name}: head of {name}-0 {}, {} bytes",
        got.status, got.length
    ));
    begun.fetch_add(1, Ordering::SeqCst);
    let (mut read, mut sent) = (0, 0);
    while read < got.length {
        if sent < 3 && start.elapsed() >= Duration::from_secs(sent + 1) {
            sent += 1;
            let id = format!("{name}-{sent}");
            let result = caller.send("GET", "/get/small", &id, 6_000, b"");
            record::line(&format!(
                "caller {name} sends {id} behind it: {:?}",
                result.err()
            ));
        }
        match caller.piece(10_000.min(got.length - read)) {
            Ok(n) if n > 0 => read += n,
            ended => {
                let cause =
                    ended.map_or_else(|e| e.to_string(), |_| "end of the connection".into());
                let at = start.elapsed().as_secs_f64();
                record::line(&format!(
                    "caller {name}: INCOMPLETE after {at:.1} s, {read} of {} bytes of {name}-0: {cause}",
                    got.length
                ));
                return Some(false);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record::line(&format!(
        "caller {name}: whole answer to {name}-0, {read} bytes"
    ));
    for n in 1..=sent {
        let answer = caller
            .head()
            .and_then(|got| caller.skip(got.length).map(|()| got));
        let Ok(got) = answer else {
            record::line(&format!("caller {name}: NO ANSWER to {name}-{n}"));
            return Some(false);
        };
        record::line(&format!(
            "caller {name}: answer to {name}-{n}: {}",
            got.status
        ));
        if got.head.to_ascii_lowercase().contains("connection: close") {
            record::line(&format!("caller {name}: the connection closes behind it"));
            break;
        }
    }
    Some(true)
}

/// A host gets SIGTERM while callers that send further requests behind the first read its answer.
pub fn stop_while_sending(trouble: bool) -> Option<bool> {
    const COUNT: u32 = 3;
    let store = Store::open();
    configure(&store, &[("/get/", "download", 6_000)]);
    worker(&store, "i-1", "packs", "a", downloads(540_000));
    worker(&store, "i-2", "packs", "b", downloads(540_000));
    let host = Host::start(&store, 1, "a", SMALL)?;
    let _other = Host::start(&store, 2, "b", SMALL)?;
    let begun = AtomicU32::new(0);
    let whole: Option<Vec<bool>> = thread::scope(|scope| {
        let callers: Vec<_> = (0..COUNT)
            .map(|n| {
                let (host, begun) = (&host, &begun);
                scope.spawn(move || read_and_send(host, &format!("c{n}"), begun))
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        if trouble {
            host.terminate();
        }
        callers
            .into_iter()
            .map(|caller| caller.join().ok().flatten())
            .collect()
    });
    let whole = whole?.into_iter().filter(|whole| *whole).count() as u32;
    record::line(&format!("{whole} of {COUNT} callers got all their answers"));
    (begun.load(Ordering::SeqCst) == COUNT).then_some(whole == COUNT)
}

/// A worker reads the body of an upload slowly while its host is stopped.
pub fn slow_worker_stop(trouble: bool) -> Option<bool> {
    const PAUSE: Duration = Duration::from_millis(1800);
    let store = Store::open();
    configure(&store, &[("/up/", "upload", 3_000)]);
    let run: Run = Arc::new(move |head, connection| {
        record::line(&format!(
            "worker begins {}, {} bytes",
            head.id(),
            head.length()
        ));
        let first = head.length().min(16 << 10);
        let Some(_) = connection.body(first) else {
            return false;
        };
        if trouble && head.length() > first {
            record::line("worker reads no more for 1.8 s");
            thread::sleep(PAUSE);
        }
        let rest = connection.body(head.length() - first);
        if !trouble && head.length() > first {
            thread::sleep(PAUSE);
        }
        if rest.is_none() {
            record::line(&format!("worker: the connection of {} broke", head.id()));
            return false;
        }
        record::line(&format!("worker has run {}", head.id()));
        connection.answer(200, &[("Request-Id", head.id()), STAMP], b"done")
    });
    worker(&store, "i-1", "packs", "a", Arc::clone(&run));
    let host = Host::start(&store, 1, "a", SMALL)?;
    let _other = Host::start(&store, 2, "b", SMALL)?;
    let mut caller = Caller::connect(host.callers, None).ok()?;
    let first = caller.call("POST", "/up/a", "first", 3_000, b"x").ok()?;
    record::line(&format!("caller: first answered {}", first.status));
    caller
        .send("POST", "/up/a", "second", 3_000, &[b'u'; 360_000])
        .ok()?;
    thread::sleep(Duration::from_millis(300));
    host.terminate();
    let got = caller.head();
    match &got {
        Ok(got) => record::line(&format!(
            "caller: second answered {}: {}",
            got.status,
            got.head.replace("\r\n", " | ")
        )),
        Err(e) => record::line(&format!("caller: second got no answer: {e}")),
    }
    Some(got.is_ok_and(|got| got.status == 200))
}

/// Machines of the grown sites.
const LEAST: Size = Size {
    memory_mb: 160,
    processor: 0.1,
    link_mbps: 10,
};

/// Sends an upload in chunks, one each tenth of a second, and leaves after a time.
fn upload_in_chunks(at: std::net::SocketAddr, id: &str, leave: Duration) {
    const CHUNK: usize = 6_000;
    const CHUNKS: u32 = 10;
    let Ok(mut caller) = Caller::connect(at, None) else {
        return;
    };
    record::line(&format!(
        "caller sends {id}, {CHUNKS} chunks of {CHUNK} bytes"
    ));
    let start = Instant::now();
    let head = format!(
        "POST /up/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
        leave.as_millis()
    );
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", "u".repeat(CHUNK));
    let mut is_sent = caller.stream.write_all(head.as_bytes()).is_ok();
    for _ in 0..CHUNKS {
        is_sent &= caller.stream.write_all(chunk.as_bytes()).is_ok();
        thread::sleep(Duration::from_millis(100));
    }
    is_sent &= caller.stream.write_all(b"0\r\n\r\n").is_ok();
    reset_at_end(&caller.stream);
    let left = leave
        .saturating_sub(start.elapsed())
        .max(Duration::from_millis(1));
    let _ = caller.stream.set_read_timeout(Some(left));
    match caller.head() {
        Ok(got) => record::line(&format!("caller: {id} answered {}", got.status)),
        Err(e) => record::line(&format!(
            "caller leaves {id} after {:.1} s, sent {is_sent}: {e}",
            start.elapsed().as_secs_f64()
        )),
    }
}

/// Sends reads, each on a new connection; returns how many were served.
fn reads(at: std::net::SocketAddr, name: &str, count: u32) -> u32 {
    let mut served = 0;
    for n in 0..count {
        let call = Caller::connect(at, None).and_then(|mut caller| {
            caller.call("GET", "/get/small", &format!("{name}-{n}"), 3_000, b"")
        });
        let status = call.map(|got| got.status);
        served += u32::from(status.as_ref().is_ok_and(|s| *s == 200));
        if n == 0 {
            record::line(&format!("read {name}-{n}: {status:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record::line(&format!("reads {name}: {served} of {count} served"));
    served
}

/// Machines are cut off for some seconds while uploads arrive in chunks; their callers leave
/// meanwhile.
pub fn cut_while_uploading(trouble: bool) -> Option<bool> {
    const CUT: Duration = Duration::from_millis(5500);
    const RECOVER: Duration = Duration::from_secs(15);
    const COUNT: u32 = 20;
    let store = Store::open();
    configure(
        &store,
        &[("/get/", "safe", 3_000), ("/up/", "upload", 3_000)],
    );
    let run: Run = Arc::new(|head, connection| {
        let Some(_) = connection.body(head.length()) else {
            return false;
        };
        record::line(&format!(
            "worker runs {} with {} bytes",
            head.id(),
            head.length()
        ));
        connection.answer(200, &[("Request-Id", head.id()), STAMP], b"done")
    });
    worker(&store, "i-1", "packs", "a", Arc::clone(&run));
    worker(&store, "i-2", "packs", "b", run);
    let hosts = [
        Host::start(&store, 1, "a", LEAST)?,
        Host::start(&store, 2, "b", LEAST)?,
    ];
    let links: Vec<Link> = hosts.iter().map(|host| Link::open(host.callers)).collect();
    let before: u32 = links
        .iter()
        .map(|link| reads(link.address, "before", COUNT))
        .sum();
    thread::scope(|scope| {
        for (n, link) in links.iter().enumerate() {
            scope.spawn(move || {
                upload_in_chunks(link.address, &format!("up-{n}"), Duration::from_secs(3));
            });
        }
        thread::sleep(Duration::from_millis(500));
        links.iter().for_each(|link| link.set_cut(trouble));
        record::line(if trouble {
            "the machines are cut off"
        } else {
            "the machines are not cut off"
        });
        thread::sleep(CUT);
        links.iter().for_each(|link| link.set_cut(false));
        record::line("the machines are back");
    });
    thread::sleep(RECOVER);
    let after: u32 = links
        .iter()
        .map(|link| reads(link.address, "after", COUNT))
        .sum();
    for host in &hosts {
        record::line(&format!(
            "{} says that it is ready: {}",
            host.name,
            host.is_ready()
        ));
        host.log("refused")
            .last()
            .into_iter()
            .for_each(|l| record::line(&format!("{}: {l}", host.name)));
    }
    let all = COUNT * links.len() as u32;
    record::line(&format!(
        "served {before} of {all} before, {after} of {all} after"
    ));
    (before * 4 >= all).then_some(after * 4 >= all)
}

/// A request that ran well begins to crash the workers that run it, and comes again and again.
pub fn deadly_request(trouble: bool) -> Option<bool> {
    const WORKERS: u32 = 14;
    const STABILITY_WINDOW: Duration = Duration::from_secs(4);
    const PAUSE: Duration = Duration::from_millis(500);
    let store = Store::open();
    configure(&store, &[("/get/", "safe", 3_000)]);
    let (crashes, is_deadly) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(AtomicBool::new(false)),
    );
    for n in 0..WORKERS {
        let (crashes, is_deadly) = (Arc::clone(&crashes), Arc::clone(&is_deadly));
        fragile_worker(
            &store,
            &format!("i-{n}"),
            Duration::from_secs(3),
            crashes,
            is_deadly,
        );
    }
    let host = Host::start(&store, 1, "a", SMALL)?;
    let count = || crashes.lock().expect("the log").len();
    let send = |id: &str| {
        let sent = Caller::connect(host.callers, None)
            .and_then(|mut caller| caller.call("GET", "/get/deadly", id, 3_000, b""));
        let status = sent.map(|got| got.status);
        record::line(&format!("caller: {id} answered {status:?}"));
        thread::sleep(PAUSE);
        status.is_ok_and(|status| status == 200)
    };
    // Without the disruption the request has not run before.
    for n in 0..if trouble { 3 } else { 0 } {
        if !send(&format!("well-{n}")) {
            return None;
        }
    }
    is_deadly.store(true, Ordering::SeqCst);
    record::line("from now on the request crashes its workers");
    let mut n = 0;
    while count() < 3 && n < 6 {
        n += 1;
        send(&format!("deadly-{n}"));
    }
    let third = crashes.lock().expect("the log").get(2).map(|(_, at)| *at);
    let third = third.unwrap_or_else(|| {
        record::line("it did not crash a third worker");
        Instant::now()
    });
    thread::sleep((STABILITY_WINDOW + PAUSE).saturating_sub(third.elapsed()));
    let before = count();
    for n in 0..20 {
        send(&format!("again-{n}"));
    }
    let more = count() - before;
    record::line(&format!(
        "{before} crashes, then {more} more by retries sent later than {STABILITY_WINDOW:?} after the third"
    ));
    Some(more <= 3)
}
