//! Election of a zone's authority, and replication of the zone's table.
//!
//! The members of a zone's authority are daemons. A candidate asks all of them
//! for a promise under a new term. With promises of a majority it becomes the
//! holder, adopts the newest table among the promises and renews its lease with
//! a majority. Most daemons have no disk, so the protocol does not need one: a
//! member that restarts abstains for as long as any lease it may have granted
//! can last, and until it has the table again its promise does not count
//! towards a majority, unless every member of the zone takes part.
//!
//! Messages may arrive after a restart of their sender or receiver. Replies name the process that
//! sent them, and the holder names the process that it sends the table to. A member without a table
//! takes one only if its own process is named: an older table that was sent to its former process
//! would lack changes that the former process helped to settle.
//!
//! Members measure a lease from the time at which they grant it and lengthen it
//! by the drift margin; the holder measures it from before it sent the request.
//! A holder's lease therefore always expires before the members are free to
//! promise to another daemon, as long as no two clocks differ in speed by more
//! than the margin.

use std::collections::BTreeSet;
use std::collections::btree_map::{BTreeMap, Entry};
use std::time::Duration;

use hollowbarrow_schema::{AuthorityMessage, DaemonId, StartId, Term, ZoneTable};
use tokio::time::Instant;

use crate::config::AuthorityConfig;

/// Renewals per length of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Storage for the table across restarts, for members with a disk.
pub trait TableStore: Send {
    /// Reads the table that was saved last.
    fn load(&mut self) -> Option<ZoneTable>;

    /// Saves the table durably; returns false if that may have failed.
    fn save(&mut self, table: &ZoneTable) -> bool;
}

#[derive(Debug)]
struct GrantedLease {
    holder: DaemonId,
    expires: Instant,
}

#[derive(Debug)]
struct Promise {
    start: StartId,
    recovering: bool,
    table: Option<ZoneTable>,
}

#[derive(Debug, Default)]
struct Candidacy {
    promises: BTreeMap<DaemonId, Promise>,
}

/// What a member has acknowledged, and its process that did.
#[derive(Debug)]
struct MemberAck {
    start: StartId,
    round: u64,
    version: u64,
}

impl MemberAck {
    /// Takes a later acknowledgement into account; returns whether another process sent it.
    ///
    /// Rounds tell which of two processes is the later one.
    fn update(&mut self, reply: MemberAck) -> bool {
        let restarted = self.start != reply.start;
        if reply.round < self.round || (restarted && reply.round == self.round) {
            return false;
        }
        *self = reply;
        restarted
    }
}

#[derive(Debug)]
struct Tenure {
    until: Option<Instant>,
    round: u64,
    starts: BTreeMap<u64, Instant>,
    acks: BTreeMap<DaemonId, MemberAck>,
    next_renewal: Instant,
}

#[derive(Debug)]
enum MemberRole {
    Member,
    Candidate(Candidacy),
    Holder(Tenure),
}

/// Whether a daemon can act on its copy of the zone's table.
#[derive(Clone, Copy, Debug)]
pub enum TableStanding<'a> {
    /// This daemon does not hold the authority.
    NotHeld,
    /// This daemon holds the authority, and a majority has not stored its newest change yet.
    Unsettled,
    /// This daemon holds the authority, and a majority has stored the table.
    Settled(&'a ZoneTable),
}

/// State machine of one member of a zone's authority.
pub struct AuthorityMember {
    config: AuthorityConfig,
    start: StartId,
    store: Option<Box<dyn TableStore>>,
    role: MemberRole,
    promised: Term,
    table: Option<ZoneTable>,
    recovering: bool,
    lease: Option<GrantedLease>,
    abstains_until: Instant,
    next_candidacy: Instant,
    stopping: bool,
    jitter: f64,
    outgoing: Vec<(DaemonId, AuthorityMessage)>,
}

impl AuthorityMember {
    /// Creates a member in its state after the start of the process.
    ///
    /// `start` identifies the process among all of this daemon. `jitter`, from 0 to 1, spreads the
    /// members' candidacies over time.
    pub fn new(
        config: AuthorityConfig,
        start: StartId,
        mut store: Option<Box<dyn TableStore>>,
        jitter: f64,
        now: Instant,
    ) -> Self {
        let table = store.as_mut().and_then(|store| store.load());
        let abstains_until = now + config.guarded_lease();
        Self {
            promised: table.as_ref().map(|table| table.term).unwrap_or_default(),
            recovering: table.is_none(),
            table,
            store,
            role: MemberRole::Member,
            lease: None,
            abstains_until,
            next_candidacy: abstains_until + config.lease.mul_f64(jitter),
            stopping: false,
            jitter,
            config,
            start,
            outgoing: Vec::new(),
        }
    }

    /// The newest table known here; it may be older than the holder's.
    pub fn table(&self) -> Option<&ZoneTable> {
        self.table.as_ref()
    }

    /// The daemon that holds the authority, as far as this member knows.
    pub fn holder(&self, now: Instant) -> Option<&DaemonId> {
        match &self.role {
            MemberRole::Holder(_) if self.remaining(now).is_some() => Some(&self.config.id),
            _ => self.lease.as_ref().filter(|lease| lease.expires > now).map(|lease| &lease.holder),
        }
    }

    /// Returns the remaining time of this daemon's authority, none if it does not hold the authority.
    ///
    /// An order may be sent only if it is certain to complete within this time.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let MemberRole::Holder(tenure) = &self.role else { return None };
        tenure.until?.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the table if this daemon holds the authority and a majority has stored the table.
    pub fn settled_table(&self, now: Instant) -> Option<&ZoneTable> {
        self.remaining(now)?;
        let MemberRole::Holder(tenure) = &self.role else { return None };
        let table = self.table.as_ref()?;
        let stored = tenure.acks.values().filter(|ack| ack.version >= table.version);
        (stored.count() + 1 >= self.config.majority()).then_some(table)
    }

    /// Returns whether this daemon can act on its copy of the table.
    pub fn standing(&self, now: Instant) -> TableStanding<'_> {
        match self.settled_table(now) {
            Some(table) => TableStanding::Settled(table),
            None if self.remaining(now).is_some() => TableStanding::Unsettled,
            None => TableStanding::NotHeld,
        }
    }

    /// Changes the table and increments its version, if this daemon holds the authority.
    ///
    /// Returns whether the change was accepted; it is settled once
    /// [`AuthorityMember::settled_table`] returns it.
    pub fn change_table(&mut self, change: impl FnOnce(&mut ZoneTable), now: Instant) -> bool {
        if self.remaining(now).is_none() {
            return false;
        }
        let Some(mut table) = self.table.clone() else { return false };
        change(&mut table);
        table.version += 1;
        table.term = self.promised;
        if !self.store_table(table) {
            return false;
        }
        self.renew(now);
        true
    }

    /// Adopts a newer table that was received outside this protocol, if this member is recovering.
    pub fn offer_table(&mut self, table: &ZoneTable) {
        let newer = self.table.as_ref().is_none_or(|known| known.rank() < table.rank());
        if self.recovering && newer && table.zone == self.config.zone {
            self.table = Some(table.clone());
        }
    }

    /// Gives up the authority and starts no further candidacy, because the daemon is about to stop.
    pub fn hand_over(&mut self) {
        self.stopping = true;
        self.role = MemberRole::Member;
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<(DaemonId, AuthorityMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns when [`AuthorityMember::tick`] is next due.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            MemberRole::Holder(tenure) => tenure.next_renewal,
            _ => self.next_candidacy,
        }
    }

    /// Handles timeouts: renews or loses the lease, or starts a candidacy.
    pub fn tick(&mut self, now: Instant) {
        if now < self.next_deadline() {
            return;
        }
        match &self.role {
            MemberRole::Holder(tenure) => {
                let oldest = tenure.starts.values().next();
                let lapsed = match tenure.until {
                    Some(until) => until <= now,
                    None => oldest.is_some_and(|start| *start + self.config.lease <= now),
                };
                if lapsed {
                    self.role = MemberRole::Member;
                    self.next_candidacy = now + self.config.lease.mul_f64(self.jitter);
                } else {
                    self.renew(now);
                }
            }
            _ => self.start_candidacy(now),
        }
    }

    fn start_candidacy(&mut self, now: Instant) {
        self.next_candidacy = now + self.config.lease.mul_f64(0.25 + self.jitter / 2.0);
        let leased = self.lease.as_ref().is_some_and(|lease| lease.expires > now);
        if leased || self.stopping || !self.config.members.contains(&self.config.id) {
            return;
        }
        let floor = self.table.as_ref().map(|table| table.term).unwrap_or_default();
        self.promised = self.config.term_after(self.promised.max(floor));
        let local =
            Promise { start: self.start, recovering: self.recovering, table: self.table.clone() };
        let promises = BTreeMap::from([(self.config.id.clone(), local)]);
        self.role = MemberRole::Candidate(Candidacy { promises });
        let term = self.promised;
        self.send_others(&AuthorityMessage::Prepare { term });
        self.count_promises(now);
    }

    fn send_others(&mut self, message: &AuthorityMessage) {
        for member in self.config.members.iter().filter(|member| **member != self.config.id) {
            self.outgoing.push((member.clone(), message.clone()));
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, from: &DaemonId, message: AuthorityMessage, now: Instant) {
        if !self.config.members.contains(from) {
            return;
        }
        match message {
            AuthorityMessage::Prepare { term } => self.on_prepare(from, term, now),
            AuthorityMessage::Promise { term, granted, start, recovering, table } => {
                let promise = Promise { start, recovering, table };
                self.on_promise(from, term, granted.then_some(promise), now);
            }
            AuthorityMessage::Accept { term, round, receiver, table } => {
                // A table that was sent to a former process may lack what that process acknowledged.
                let usable = !self.recovering || receiver == Some(self.start);
                self.on_accept(from, term, round, table.filter(|_| usable), now);
            }
            AuthorityMessage::Accepted { term, round, granted, start, version } => {
                let ack = MemberAck { start, round, version };
                self.on_accepted(from, term, granted.then_some(ack), now);
            }
        }
    }

    fn is_free_for(&self, other: &DaemonId, now: Instant) -> bool {
        let holds_authority =
            matches!(self.role, MemberRole::Holder(_)) && self.remaining(now).is_some();
        let leased =
            self.lease.as_ref().is_some_and(|lease| lease.holder != *other && lease.expires > now);
        !holds_authority && !leased && now >= self.abstains_until
    }

    fn on_prepare(&mut self, from: &DaemonId, term: Term, now: Instant) {
        let granted = term > self.promised && self.is_free_for(from, now);
        if granted {
            self.promised = term;
            self.role = MemberRole::Member;
            // Delays this member's candidacy so that the candidate can complete its election.
            self.next_candidacy = self.next_candidacy.max(now + self.config.lease / 2);
        }
        let reply = AuthorityMessage::Promise {
            term: if granted { term } else { self.promised },
            granted,
            start: self.start,
            recovering: self.recovering,
            table: if granted { self.table.clone() } else { None },
        };
        self.outgoing.push((from.clone(), reply));
    }

    fn on_promise(&mut self, from: &DaemonId, term: Term, granted: Option<Promise>, now: Instant) {
        let Some(promise) = granted else {
            // The next candidacy starts above every term received.
            if matches!(self.role, MemberRole::Candidate(_)) {
                self.promised = self.promised.max(term);
            }
            return;
        };
        // A restarted member does not keep its promises for longer than it abstains, which is longer
        // than a candidacy.
        if term != self.promised || now >= self.next_candidacy {
            return;
        }
        if let MemberRole::Candidate(candidacy) = &mut self.role {
            candidacy.promises.insert(from.clone(), promise);
            self.count_promises(now);
        }
    }

    fn count_promises(&mut self, now: Instant) {
        let MemberRole::Candidate(candidacy) = &self.role else { return };
        let informed = candidacy.promises.values().filter(|promise| !promise.recovering).count();
        let all_members = candidacy.promises.len() == self.config.members.len();
        if informed < self.config.majority() && !all_members {
            return;
        }
        let newest = candidacy
            .promises
            .values()
            .filter_map(|promise| promise.table.clone())
            .max_by_key(ZoneTable::rank);
        let term = self.promised;
        let mut table = newest.unwrap_or(ZoneTable {
            zone: self.config.zone.clone(),
            term,
            version: 0,
            allocations: Vec::new(),
            high_epoch: hollowbarrow_schema::Epoch(0),
        });
        if table.term > term {
            return;
        }
        table.term = term;
        table.version += 1;
        let others = candidacy.promises.iter().filter(|(member, _)| **member != self.config.id);
        let acks = others
            .map(|(member, promise)| {
                (member.clone(), MemberAck { start: promise.start, round: 0, version: 0 })
            })
            .collect();
        if !self.store_table(table) {
            return;
        }
        self.role = MemberRole::Holder(Tenure {
            until: None,
            round: 0,
            starts: BTreeMap::new(),
            acks,
            next_renewal: now,
        });
        self.renew(now);
    }

    /// Stores a table locally; returns false if saving it to disk failed.
    fn store_table(&mut self, table: ZoneTable) -> bool {
        if let Some(store) = &mut self.store
            && !store.save(&table)
        {
            return false;
        }
        self.table = Some(table);
        self.recovering = false;
        true
    }

    fn renew(&mut self, now: Instant) {
        let MemberRole::Holder(tenure) = &mut self.role else { return };
        tenure.round += 1;
        tenure.starts.insert(tenure.round, now);
        tenure.next_renewal = now + self.config.lease / RENEWALS_PER_LEASE;
        let (term, round) = (self.promised, tenure.round);
        let version = self.table.as_ref().map(|table| table.version).unwrap_or_default();
        for member in self.config.members.iter().filter(|member| **member != self.config.id) {
            let ack = tenure.acks.get(member);
            let has_table = ack.is_some_and(|ack| ack.version >= version);
            let table = if has_table { None } else { self.table.clone() };
            let receiver = ack.map(|ack| ack.start);
            let message = AuthorityMessage::Accept { term, round, receiver, table };
            self.outgoing.push((member.clone(), message));
        }
        self.extend_lease();
    }

    fn on_accept(
        &mut self,
        from: &DaemonId,
        term: Term,
        round: u64,
        table: Option<ZoneTable>,
        now: Instant,
    ) {
        let mut granted = term >= self.promised && self.is_free_for(from, now);
        if granted {
            self.promised = term;
            self.role = MemberRole::Member;
            if let Some(table) = table {
                let newer = self.table.as_ref().is_none_or(|known| known.rank() < table.rank());
                if newer || self.recovering {
                    granted = self.store_table(table);
                }
            }
        }
        if granted {
            let expires = now + self.config.guarded_lease();
            self.lease = Some(GrantedLease { holder: from.clone(), expires });
            self.next_candidacy = expires + self.config.lease.mul_f64(self.jitter);
        }
        let current = self.table.as_ref().filter(|table| table.term == term);
        let version = current.map(|table| table.version).unwrap_or_default();
        let reply = AuthorityMessage::Accepted {
            term: if granted { term } else { self.promised },
            round,
            granted,
            start: self.start,
            version,
        };
        self.outgoing.push((from.clone(), reply));
    }

    fn on_accepted(
        &mut self,
        from: &DaemonId,
        term: Term,
        granted: Option<MemberAck>,
        now: Instant,
    ) {
        let MemberRole::Holder(tenure) = &mut self.role else { return };
        match granted {
            Some(ack) if term == self.promised => {
                let (round, receiver) = (ack.round, Some(ack.start));
                let version = ack.version;
                let restarted = match tenure.acks.entry(from.clone()) {
                    Entry::Occupied(mut known) => known.get_mut().update(ack),
                    Entry::Vacant(unknown) => {
                        unknown.insert(ack);
                        true
                    }
                };
                let table = self.table.clone().filter(|table| restarted && version < table.version);
                if table.is_some() {
                    // The table that this round sent did not name the process.
                    let message = AuthorityMessage::Accept { term, round, receiver, table };
                    self.outgoing.push((from.clone(), message));
                }
                self.extend_lease();
            }
            Some(_) => {}
            None if term > self.promised && self.remaining(now).is_none() => {
                self.role = MemberRole::Member;
                self.promised = term;
                self.next_candidacy = now + self.config.lease.mul_f64(self.jitter);
            }
            None => {}
        }
    }

    /// Extends the holder's lease to the time that a majority has granted.
    fn extend_lease(&mut self) {
        let majority = self.config.majority();
        let lease = self.config.lease;
        let MemberRole::Holder(tenure) = &mut self.role else { return };
        let mut rounds: Vec<u64> = tenure.acks.values().map(|ack| ack.round).collect();
        rounds.push(tenure.round);
        rounds.sort_by(|a, b| b.cmp(a));
        let Some(round) = rounds.get(majority - 1).copied() else { return };
        if let Some(start) = tenure.starts.get(&round) {
            tenure.until = tenure.until.max(Some(*start + lease));
        }
        tenure.starts = tenure.starts.split_off(&round);
    }

    /// Members of the zone.
    pub fn members(&self) -> BTreeSet<&DaemonId> {
        self.config.members.iter().collect()
    }
}
