//! The demo's callers, a few near each region.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use dunlinrock_schema::config::Config;

use super::deployment::DemoDeployment;
use crate::caller::{Caller, CallerOptions};

/// Number of callers near each region.
const CALLERS: u64 = 8;

/// Maximum attempts per request; the deadline usually ends a request earlier.
const ATTEMPTS: u32 = 10;

/// Creates the callers, alternating between regions.
pub(super) fn open(deployment: &DemoDeployment, seed: u64) -> Vec<Arc<Caller>> {
    let seeds: Vec<SocketAddr> = deployment
        .hosts
        .iter()
        .map(dunlinrock_node::Host::callers_addr)
        .collect();
    let regions = || deployment.config.regions.keys();
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        for region in regions() {
            let options = CallerOptions {
                name: format!("{region}-{n}").into(),
                seeds: seeds.clone(),
                local_addr: address(&deployment.config, region),
                attempts: ATTEMPTS,
                seed: seed.wrapping_mul(1_000_003) + u64::try_from(callers.len()).unwrap_or(0),
            };
            callers.push(Arc::new(Caller::open(options)));
        }
    }
    callers
}

/// Returns a loopback address that the configuration places near a region: the first address of the
/// region's smallest loopback block.
fn address(config: &Config, region: &str) -> Option<IpAddr> {
    let near = config.blocks.iter().filter(|(_, at)| ***at == *region);
    let blocks = near.filter_map(|(block, _)| {
        let (net, bits) = block.split_once('/')?;
        let net = net.parse::<Ipv4Addr>().ok()?;
        net.is_loopback().then_some((bits.parse::<u8>().ok()?, net))
    });
    let (_, net) = blocks.max()?;
    Some(Ipv4Addr::from(u32::from(net) | 1).into())
}
