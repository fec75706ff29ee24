//! Ownership of the shares of a workspace's rate limit. The owner is one of the hosts of the
//! share's region, chosen by hash, so that all hosts with the same list agree.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::steer::hash::{hash_str, mix64};

use crate::model::{HostEntry, Revision};

/// How long a host must be listed before others ask it. Lists differ for about as long after a
/// change; asked earlier, it would answer that it is not the owner.
pub const SETTLE_DELAY: Duration = Duration::from_secs(1);

/// Maximum age of a host's replica with which it grants tokens.
pub const MAX_GRANT_AGE: Duration = Duration::from_millis(3500);

/// A store that is about to compact its history sends no changes for a second.
const COMPACTION_SILENCE: Duration = Duration::from_millis(1200);

/// How long a host must have been listed before it grants tokens. By then the previous owner has
/// listed it for [`SETTLE_DELAY`], or has stopped granting.
pub const JOIN_DELAY: Duration = SETTLE_DELAY
    .saturating_add(MAX_GRANT_AGE)
    .saturating_add(COMPACTION_SILENCE);

/// Fraction of a share's hosts that, when they join within [`JOIN_DELAY`], need not wait for it:
/// all were killed, or all leases expired with the store's, and the previous owner is one of them.
const MASS_JOIN_FRACTION: f64 = 0.75;

/// A listed host.
#[derive(Clone, Debug)]
struct Member {
    name_hash: u64,
    entry: Arc<HostEntry>,
    /// Store's revision at which its entry was created.
    created: Revision,
    /// Since when it is listed, as time since the machine's start; zero if it was listed when this
    /// host first read the list.
    listed_since: Duration,
    /// Since when its entry is the same one: later than `listed_since` if the entry expired and was
    /// created again before this host saw it removed.
    joined_at: Duration,
}

/// The listed hosts, by limit share.
#[derive(Clone, Debug, Default)]
pub struct LimitOwners {
    shares: BTreeMap<Arc<str>, Vec<Member>>,
    stable_since: Duration,
}

/// A host's entry, and the store's revision at which it was created.
pub type ListedHost = (Arc<HostEntry>, Revision);

impl LimitOwners {
    /// Computes the owners for the hosts that are listed at `now`; `before` applied until then. In
    /// a deployment with one region each failure domain is a limit share.
    pub fn next(
        before: Option<&LimitOwners>,
        hosts: &[ListedHost],
        domains: &BTreeMap<Arc<str>, Arc<str>>,
        now: Duration,
    ) -> LimitOwners {
        let old: BTreeMap<_, _> = before.into_iter().flat_map(LimitOwners::by_name).collect();
        let regions: BTreeSet<_> = domains.values().collect();
        let has_regions = regions.len() > 1;
        let names = regions.into_iter().filter(|_| has_regions);
        let names = names.chain(domains.keys().filter(|_| !has_regions));
        let mut shares: BTreeMap<Arc<str>, Vec<Member>> =
            names.map(|name| (Arc::clone(name), Vec::new())).collect();
        for (entry, created) in hosts {
            let region = domains.get(&entry.domain);
            let share = region.map(|r| if has_regions { r } else { &entry.domain });
            let Some(members) = share.and_then(|share| shares.get_mut(share)) else {
                continue;
            };
            let known = old.get(&entry.name);
            let new = if before.is_some() {
                now
            } else {
                Duration::ZERO
            };
            let same = known.filter(|known| known.created == *created);
            members.push(Member {
                name_hash: hash_str(&entry.name),
                entry: Arc::clone(entry),
                created: *created,
                listed_since: known.map_or(new, |known| known.listed_since),
                joined_at: same.map_or(new, |known| known.joined_at),
            });
        }
        let mut owners = LimitOwners {
            shares,
            stable_since: before.map_or(Duration::ZERO, |owners| owners.stable_since),
        };
        let is_same = owners.by_name().map(|(name, _)| name).eq(old.into_keys());
        if before.is_some() && !is_same {
            owners.stable_since = now + SETTLE_DELAY;
        }
        owners
    }

    /// Returns the names of the limit shares.
    pub fn shares(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.shares.keys()
    }

    /// Returns the owner of a limit share for a workspace, as other hosts see it.
    pub fn owner(&self, share: &str, workspace: &str, now: Duration) -> Option<&Arc<HostEntry>> {
        let members = self.shares.get(share)?;
        owner_of(members, workspace, now).map(|m| &m.entry)
    }

    /// Returns the limit share of a host.
    pub fn share_of(&self, me: &str) -> Option<&Arc<str>> {
        let is_in = |members: &[Member]| members.iter().any(|m| &*m.entry.name == me);
        let mut shares = self.shares.iter();
        shares.find(|(_, m)| is_in(m)).map(|(share, _)| share)
    }

    /// Returns the hosts of a limit share that may do a duty for it, in the order in which they take
    /// it over; the first is the one that [`LimitOwners::owner`] names.
    pub fn ranking(&self, share: &str, duty: &str, now: Duration) -> Vec<&Arc<HostEntry>> {
        let members = self.shares.get(share).map_or(&[][..], Vec::as_slice);
        let mut able: Vec<_> = able(members, now).collect();
        let duty = hash_str(duty);
        able.sort_by_key(|m| Reverse(mix64(m.name_hash ^ duty)));
        able.into_iter().map(|m| &m.entry).collect()
    }

    /// Returns the number of hosts of a limit share.
    pub fn share_size(&self, share: &str) -> usize {
        self.shares.get(share).map_or(0, Vec::len)
    }

    /// Whether a host owns a limit share for a workspace.
    pub fn is_owner(&self, me: &str, workspace: &str, now: Duration) -> bool {
        self.owned(me, workspace, now).is_some()
    }

    /// Whether a host owns a limit share and may grant tokens of it.
    pub fn may_grant(&self, me: &str, workspace: &str, now: Duration) -> bool {
        let owned = self.owned(me, workspace, now);
        owned.is_some_and(|(owner, members)| !owner.is_joining(now) || is_mass_join(members, now))
    }

    /// Returns since when the owners are the same: the last change of the list plus
    /// [`SETTLE_DELAY`].
    pub fn stable_since(&self) -> Duration {
        self.stable_since
    }

    /// Returns the store's revision at which the entry of a host was created, if it is listed.
    pub fn created(&self, name: &str) -> Option<Revision> {
        let mut all = self.shares.values().flatten();
        all.find(|m| &*m.entry.name == name).map(|m| m.created)
    }

    fn owned(&self, me: &str, workspace: &str, now: Duration) -> Option<(&Member, &[Member])> {
        let mut all = self.shares.values();
        let members = all.find(|members| members.iter().any(|m| &*m.entry.name == me))?;
        let owner = owner_of(members, workspace, now)?;
        (&*owner.entry.name == me).then_some((owner, members))
    }

    /// Returns the hosts by name, independent of their limit shares.
    fn by_name(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        let members: BTreeMap<_, _> = self
            .shares
            .values()
            .flatten()
            .map(|m| (&m.entry.name, m))
            .collect();
        members.into_iter()
    }
}

impl Member {
    /// Whether other hosts may not know it yet.
    fn is_joining(&self, now: Duration) -> bool {
        !self.joined_at.is_zero() && now < self.joined_at + JOIN_DELAY
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.listed_since.is_zero() || self.listed_since + SETTLE_DELAY <= now
    }
}

/// Returns the owner of a share for a workspace.
fn owner_of<'a>(members: &'a [Member], workspace: &str, now: Duration) -> Option<&'a Member> {
    let workspace = hash_str(workspace);
    able(members, now).max_by_key(|m| mix64(m.name_hash ^ workspace))
}

/// Returns the settled hosts with at least half of the greatest processor power: each request may
/// ask the owner.
fn able(members: &[Member], now: Duration) -> impl Iterator<Item = &Member> {
    let settled = move || members.iter().filter(move |m| m.is_settled(now));
    let max_power = settled().map(|m| m.entry.power).max().unwrap_or_default();
    settled().filter(move |m| m.entry.power.saturating_mul(2) >= max_power)
}

fn is_mass_join(members: &[Member], now: Duration) -> bool {
    let joining = members.iter().filter(|m| m.is_joining(now)).count();
    joining as f64 >= members.len() as f64 * MASS_JOIN_FRACTION
}
