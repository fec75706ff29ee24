//! Answers to lookups, composed in advance.
//!
//! Callers repeat their lookup each time an answer expires, all of them, also while everything
//! else is overloaded; at the intended size that is 880,000 lookups a second over all hosts.
//! Composing an answer takes longer than sending it, and hosts and weights change far less often
//! than callers ask. Every answer is therefore composed once and then only sent.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use bytes::Bytes;
use dunlinrock_decide::steer::hosts::{ChosenHosts, Host, HostTable, Liveness};
use dunlinrock_schema::{
    api::{Binding, HostWeight, Hosts},
    config::Config,
};
use rapidhash::v3::rapidhash_v3;

use super::Member;

/// Number of different answers for the callers of one region. Each block of callers always gets the
/// same answer, so its connections stay open. With 16, a region of five hosts spreads its callers
/// well enough over sixty possible orders, and 16 answers of about 700 bytes for each of 15
/// services and 22 regions take 4 MB.
pub const VARIANTS_PER_REGION: u64 = 16;

/// Number of leading bits of an IPv4 address that identify its block: addresses within a block
/// share a network path to the host.
const BLOCK_BITS_V4: u32 = 24;
/// Number of leading bits of an IPv6 address that identify its block.
const BLOCK_BITS_V6: u32 = 48;

/// Prepared answers to lookups, by service and region of callers.
#[derive(Debug, Default)]
pub struct LookupAnswers {
    bodies: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Vec<Bytes>>>,
}

impl LookupAnswers {
    /// Composes all answers.
    pub fn open(
        config: &Config,
        revision: u64,
        ttl_ms: u64,
        members: &BTreeMap<Arc<str>, Arc<Member>>,
    ) -> LookupAnswers {
        let table = HostTable::open(
            config,
            members.values().map(|member| candidate(member)).collect(),
        );
        let mut bodies: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Vec<Bytes>>> = BTreeMap::new();
        for region in config.regions.keys() {
            for variant in 0..VARIANTS_PER_REGION {
                let chosen_hosts = table.lookup(region, variant);
                let Some(mut answer) = compose(&table, &chosen_hosts, members) else {
                    continue;
                };
                answer.revision = revision;
                answer.ttl_ms = ttl_ms;
                answer.region = Arc::clone(region);
                for service in config.services.keys() {
                    answer.service = Arc::clone(service);
                    let body = serde_json::to_vec(&answer).unwrap_or_default();
                    let regions = bodies.entry(Arc::clone(service)).or_default();
                    regions
                        .entry(Arc::clone(region))
                        .or_default()
                        .push(body.into());
                }
            }
        }
        LookupAnswers { bodies }
    }

    /// Returns the encoded answer for a caller.
    pub fn find(&self, service: &str, region: &str, client: IpAddr) -> Option<Bytes> {
        let answers = self.bodies.get(service)?.get(region)?;
        let at = block_hash(client) % answers.len().max(1) as u64;
        answers.get(usize::try_from(at).ok()?).cloned()
    }
}

/// Returns the hash of the block that an address belongs to.
fn block_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(v4) => rapidhash_v3(&(v4.to_bits() >> (32 - BLOCK_BITS_V4)).to_be_bytes()),
        IpAddr::V6(v6) => rapidhash_v3(&(v6.to_bits() >> (128 - BLOCK_BITS_V6)).to_be_bytes()),
    }
}

fn candidate(member: &Member) -> Host {
    let state = match (member.leaving, member.suspect) {
        (true, _) => Liveness::Leaving,
        (false, true) => Liveness::Suspect,
        (false, false) => Liveness::Alive,
    };
    Host {
        name: Arc::clone(&member.name),
        region: Arc::clone(&member.region),
        state,
        load: f64::NAN,
    }
}

/// Composes an answer without service and region; returns `None` if no host is usable.
fn compose(
    table: &HostTable,
    chosen_hosts: &ChosenHosts,
    members: &BTreeMap<Arc<str>, Arc<Member>>,
) -> Option<Hosts> {
    let mut hosts = Vec::new();
    let mut chosen = Vec::new();
    for weighted in chosen_hosts.iter() {
        let Some(member) = table
            .host(weighted)
            .and_then(|host| members.get(&host.name))
        else {
            continue;
        };
        hosts.push(HostWeight {
            name: Arc::clone(&member.name),
            address: member.callers.to_string().into(),
            domain: Arc::clone(&member.domain),
            weight: u64::from(weighted.weight),
        });
        chosen.push(member);
    }
    let owner = *chosen.first()?;
    Some(Hosts {
        service: Arc::default(),
        revision: 0,
        ttl_ms: 0,
        region: Arc::default(),
        hosts,
        binding: Some(binding(owner, witness(owner, &chosen))),
    })
}

/// Returns the witness for an owner: a host of another failure domain, so that the loss of one
/// domain does not affect both; else any other host; else the owner itself, if it is the only host.
fn witness<'a>(owner: &'a Arc<Member>, chosen: &[&'a Arc<Member>]) -> &'a Arc<Member> {
    let others = || {
        chosen
            .iter()
            .copied()
            .filter(|other| other.name != owner.name)
    };
    let apart = others().find(|other| other.domain != owner.domain && other.region == owner.region);
    let apart = apart.or_else(|| others().find(|other| other.domain != owner.domain));
    apart.or_else(|| others().next()).unwrap_or(owner)
}

fn binding(owner: &Member, witness: &Member) -> Binding {
    let ids = (
        owner.incarnation,
        owner.epoch,
        witness.incarnation,
        witness.epoch,
    );
    Binding {
        prefix: format!("{}.{}.{}.{}", ids.0, ids.1, ids.2, ids.3).into(),
        owner: owner.callers.to_string().into(),
        witness: witness.callers.to_string().into(),
    }
}
