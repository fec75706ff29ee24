//! Prints the load that hosts put on each other and on the store, counted in virtual time.
//!
//! ```text
//! cargo run --release -p dunlinrock-coord --example slopes
//! cargo run --release -p dunlinrock-coord --example slopes -- 24 24    # domains, hosts a domain
//! ```
//!
//! Each row runs the state machines of that many hosts for a minute: every host reports changing
//! facts, and the configuration changes every 19 s (4,500 a day). Bytes are those of the encoded
//! messages, without the headers of the transport protocol.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{fleet::Fleet, slopes};

fn main() {
    println!(
        "| domains | hosts a domain | hosts | store calls/s | sent B/s a host | sent and received B/s, busiest host | change, ms | rumor, ms | leave, ms |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    let mut kinds = Vec::new();
    let args: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let mut sizes = vec![
        (3, 1),
        (6, 2),
        (4, 12),
        (8, 6),
        (16, 3),
        (4, 48),
        (16, 12),
        (48, 4),
    ];
    if let [domains, hosts] = args[..] {
        sizes = vec![(domains, hosts)];
    }
    for (domains, hosts) in sizes {
        let row = slopes::measure(Fleet::open(domains, hosts, 1));
        println!("{row}");
        kinds.push((domains, hosts, row.kinds()));
    }
    println!("\nBytes a second and host, sent, by kind of message:\n");
    for (domains, hosts, text) in kinds {
        println!("* {domains} x {hosts}: {text}");
    }
}
