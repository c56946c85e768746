//! Quarantine of prompts and of whole requests that end the servers which begin to answer or to run them.
//!
//! When a server ends, all its requests fail, but only one of them may be the cause. A request that ends its servers by
//! itself, and comes again, is told by its hash, which is in the ends of several servers and in no answer; a prompt by the
//! parts that it shares with others, of which most are innocent. Both are judged alike, each [`Subject`] in a quarantine
//! of its own. What follows speaks of prompts; the only part of a whole request is its hash.
//!
//! The cause is a request whose answer had begun and had no output yet. A host reports the shared parts of the prompts of such requests, and the hosts exchange the
//! reports. Parts that are in the reports of several servers, and in no answer that got past its beginning, are
//! quarantined together: a request whose prompt has all of them is not sent to a server. Each host sends requests with
//! some of them one at a time, as any of them may be the cause; if a server ends under one of those, the parts that
//! this request has are quarantined by themselves.
//!
//! An answer that gets past its beginning proves each part of its prompt sound, and takes it out of reports and
//! quarantines on all hosts. What several requests share by chance is therefore told from what they fail by, and
//! a caller can bring a part under suspicion only together with one that does end servers.
//!
//! A quarantine ends by a trial: once its hold time has passed, one host sends one request, and if no such request
//! reaches that host, one of more and more hosts.

use std::cmp::Reverse;

use base::prelude::*;
use base::sorted::{Sorted, distinct};
use membership::gossip::{Announcement, CrashReport, FatalPrompt, PromptEvidence, SoundPart};
use strum::{Display, EnumString, VariantArray};

/// Number of crashes from which a part is quarantined.
const LIMIT: usize = 3;

/// [`LIMIT`] for a part that was in a sound answer shortly before the first of the crashes.
const PROVEN_LIMIT: usize = 5;

/// [`Policy::min_spread`] for a part that was in a sound answer shortly before the first of the crashes.
const PROVEN_SPREAD: Millis = Millis(2_000);

/// How long a sound answer speaks for its parts.
const PROVEN_TTL: Millis = Millis(30_000);

/// How long a crash report counts.
const CRASH_TTL: Millis = Millis(600_000);

/// Reports of one server within this time are of one crash.
const SAME_CRASH: Millis = Millis(1_000);

/// Shortest hold time after a failed trial.
const SECOND_HOLD: Millis = Millis(7_200_000);

/// How many times longer the hold time is after each further failed trial.
const HOLD_FACTOR: u64 = 8;

/// Longest hold time of a quarantine.
const MAX_HOLD: Millis = Millis(7 * 86_400_000);

/// A trial that has neither failed nor succeeded after this time is repeated.
const TRIAL_TIMEOUT: Millis = Millis(30_000);

/// [`TRIAL_TIMEOUT`] of a request that has some of the parts only.
const PARTIAL_TIMEOUT: Millis = Millis(4_000);

/// When to retry a request that waits for the result of another host's trial.
const TRIAL_RETRY: Millis = Millis(5_000);

/// Largest number of times that the number of hosts which may try doubles.
const MAX_DOUBLINGS: u64 = 16;

/// How long crashes and sound parts are included in messages to other hosts.
const ANNOUNCE_TTL: Millis = Millis(5_000);

/// Interval at which quarantines are included in messages while none has changed.
const REPEAT_INTERVAL: Millis = Millis(2_000);

/// Maximum number of parts held that were in sound answers.
const MAX_SOUND: usize = 4_096;

/// Maximum number of quarantines.
const MAX_FATAL: usize = 64;

/// Maximum number of parts in a crash report.
const MAX_PARTS: usize = 16;

/// Maximum number of parts over all entries of each list of a message, so that it fits a datagram.
const MAX_MESSAGE_PARTS: usize = 24;

/// What is quarantined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// Prompts, by the parts that they share with others.
    #[default]
    Prompts,
    /// Whole requests, by their hash.
    Requests,
}

/// What differs between the subjects.
#[derive(Clone, Copy, Debug)]
struct Policy {
    /// Shortest time between the first and the last of the crashes; servers that end at the same moment have a common
    /// cause.
    min_spread: Millis,
    /// Hold time of a quarantine until the first trial.
    first_hold: Millis,
    /// Maximum number of crash reports that are held.
    max_crashes: usize,
}

impl Subject {
    fn policy(self) -> Policy {
        match self {
            Self::Prompts => Policy {
                min_spread: Millis(400),
                first_hold: Millis(900_000),
                max_crashes: 64,
            },
            // A request that is in several ends by chance is soon in an answer, unless it is refused.
            Self::Requests => Policy {
                min_spread: Millis(100),
                first_hold: Millis(30_000),
                max_crashes: 256,
            },
        }
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No quarantine applies, or the request is a trial.
    Allowed,
    /// A request with some of the quarantined parts has been sent; its outcome decides.
    Wait,
    /// It is quarantined; the next trial is due after this time at the earliest.
    Refused(Millis),
}

/// A server that ended with a request which has these parts.
#[derive(Clone, Debug)]
struct Crash {
    server: u32,
    at: Millis,
    /// In ascending order, without those proven sound since.
    parts: Vec<u64>,
    /// Whether this host has seen it.
    is_own: bool,
    /// Number of messages that have included it.
    announced: u32,
}

/// Parts that together end servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fatal {
    /// The parts, in ascending order.
    pub parts: Vec<u64>,
    /// Time of the last crash.
    pub at: Millis,
    /// How long after that no request is sent.
    pub hold: Millis,
    /// Start of the trial that is running: a request with all parts once the hold time has passed, or one with some.
    trial: Option<Millis>,
    /// Whether this host is to write it to the store.
    is_unwritten: bool,
}

/// A part that was in a sound answer.
#[derive(Clone, Copy, Debug, Default)]
struct Sound {
    at: Millis,
    announcement: Announcement,
}

/// All that a host knows of prompts, or of requests, that end servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    subject: Subject,
    crashes: Vec<Crash>,
    fatal: Vec<Fatal>,
    sound: Sorted<u64, Sound>,
    /// Parts of quarantines that ended by an answer at this host.
    lifted: Vec<Vec<u64>>,
    last_repeat: Millis,
    /// Whether a quarantine is new or has changed since the last message.
    has_news: bool,
    /// Until when quarantines are therefore included in each message.
    news_until: Millis,
}

impl Quarantine {
    /// A quarantine without evidence.
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            ..Self::default()
        }
    }

    /// Whether there is neither a crash report nor a quarantine.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.fatal.is_empty()
    }

    /// Whether a request with these parts is a trial that is running.
    pub fn is_on_trial(&self, now: Millis, parts: &[u64]) -> bool {
        let mut fatal = self.fatal.iter().filter(|f| f.applies_to(parts));
        fatal.any(|f| f.is_tried(now, TRIAL_TIMEOUT))
    }

    /// Whether a request with these shared parts, in ascending order, may be sent now.
    ///
    /// `may_try` tells whether this host is among that many which may try these parts again.
    pub fn check(
        &mut self,
        now: Millis,
        parts: &[u64],
        may_try: impl Fn(&[u64], usize) -> bool,
    ) -> Admission {
        for fatal in self.fatal.iter().filter(|f| f.applies_to(parts)) {
            let due = fatal.at + fatal.hold;
            if now < due {
                return Admission::Refused(due.since(now));
            }
            let hosts = trying_hosts(now.since(due));
            if fatal.is_tried(now, TRIAL_TIMEOUT) || !may_try(&fatal.parts, hosts) {
                return Admission::Refused(TRIAL_RETRY);
            }
        }
        let touched = |f: &Fatal| f.parts.iter().any(|p| parts.binary_search(p).is_ok());
        let is_waiting =
            |f: &Fatal| touched(f) && !f.applies_to(parts) && f.is_tried(now, PARTIAL_TIMEOUT);
        if self.fatal.iter().any(is_waiting) {
            return Admission::Wait;
        }
        for fatal in self.fatal.iter_mut().filter(|f| touched(f)) {
            fatal.trial = Some(now);
        }
        Admission::Allowed
    }

    /// Records that `server`, given by the short hash of its id, ended as it began to answer a request of this host
    /// with these parts. Returns whether the other hosts are to be told.
    pub fn record_crash(&mut self, now: Millis, server: u32, parts: &[u64]) -> bool {
        let crash = Crash {
            server,
            at: now,
            parts: parts.iter().take(MAX_PARTS).copied().collect(),
            is_own: true,
            announced: 0,
        };
        let is_new = self.add_crash(now, crash);
        self.judge(now);
        is_new
    }

    /// Records that an answer on these parts got past its beginning. Returns whether the other hosts are to be told.
    pub fn record_sound(&mut self, now: Millis, parts: &[u64]) -> bool {
        let mut is_news = false;
        for part in parts {
            let is_cleared = self.clear(*part, now, true);
            let sound = self.sound.entry(*part, Sound::default);
            sound.at = now;
            sound.announcement.claim();
            if is_cleared {
                sound.announcement.renew(now, ANNOUNCE_TTL);
            }
            is_news |= is_cleared;
        }
        self.bound_sound(now);
        is_news
    }

    /// What to tell other hosts now; a host that passes messages on (`is_hub`) tells what it has heard as well.
    pub fn evidence(&mut self, now: Millis, is_hub: bool) -> Option<PromptEvidence> {
        self.drop_old_crashes(now);
        let crashes = self.crash_reports(now, is_hub);
        let is_due = |s: &Sound| s.announcement.is_due(now, is_hub);
        let sound = self.sound.iter().filter(|(_, s)| is_due(s));
        let sound: Vec<SoundPart> = sound
            .take(MAX_MESSAGE_PARTS)
            .map(|(part, s)| SoundPart {
                part: *part,
                age: age(now, s.at),
            })
            .collect();
        if std::mem::take(&mut self.has_news) {
            self.news_until = now + ANNOUNCE_TTL;
        }
        let is_due = now < self.news_until || now.since(self.last_repeat) >= REPEAT_INTERVAL;
        if crashes.is_empty() && sound.is_empty() && (self.fatal.is_empty() || !is_due) {
            return None;
        }
        self.last_repeat = now;
        let mut fits = room_for(MAX_MESSAGE_PARTS);
        let fatal = self
            .fatal
            .iter()
            .rev()
            .take_while(|f| fits(f.parts.len()))
            .map(|f| FatalPrompt {
                parts: f.parts.clone(),
                age: age(now, f.at),
                hold: u32::try_from(f.hold.0).unwrap_or(u32::MAX),
            })
            .collect();
        Some(PromptEvidence {
            crashes,
            fatal,
            sound,
        })
    }

    /// Recent crashes, as many as fit a message; those in the fewest messages so far come first, and the latest of these.
    fn crash_reports(&mut self, now: Millis, is_hub: bool) -> Vec<CrashReport> {
        let is_recent = |c: &&mut Crash| now.since(c.at) < ANNOUNCE_TTL && (c.is_own || is_hub);
        let mut recent: Vec<&mut Crash> = self.crashes.iter_mut().filter(is_recent).collect();
        recent.sort_by_key(|c| (c.announced, Reverse(c.at)));
        let mut fits = room_for(MAX_MESSAGE_PARTS);
        let reports = recent.into_iter().take_while(|c| fits(c.parts.len()));
        reports
            .map(|c| {
                c.announced += 1;
                CrashReport {
                    server: c.server,
                    age: age(now, c.at),
                    parts: c.parts.clone(),
                }
            })
            .collect()
    }

    /// Applies what another host told; returns whether there was news in it.
    pub fn merge(&mut self, now: Millis, evidence: &PromptEvidence) -> bool {
        let mut is_news = false;
        for one in &evidence.sound {
            let at = now - Millis(u64::from(one.age));
            // Ages are rounded, so an echo may seem to be later.
            if self
                .sound
                .get(&one.part)
                .is_some_and(|s| s.at + SAME_CRASH > at)
            {
                continue;
            }
            is_news |= self.clear(one.part, at, false);
            let sound = Sound {
                at,
                announcement: Announcement::start(now, ANNOUNCE_TTL, false),
            };
            self.sound.insert(one.part, sound);
        }
        for one in &evidence.crashes {
            let mut parts = one.parts.clone();
            parts.truncate(MAX_PARTS);
            parts.sort_unstable();
            let crash = Crash {
                server: one.server,
                at: now - Millis(u64::from(one.age)),
                parts,
                is_own: false,
                announced: 0,
            };
            is_news |= self.add_crash(now, crash);
        }
        for one in &evidence.fatal {
            let mut parts = one.parts.clone();
            parts.truncate(MAX_PARTS);
            parts.sort_unstable();
            let at = now - Millis(u64::from(one.age));
            is_news |= self.add_fatal(parts, at, Millis(u64::from(one.hold)), false);
        }
        self.bound_sound(now);
        self.judge(now);
        is_news
    }

    /// Adds a quarantine read from the store, whose last crash was at `at`.
    pub fn restore(&mut self, mut parts: Vec<u64>, at: Millis, hold: Millis) {
        parts.truncate(MAX_PARTS);
        parts.sort_unstable();
        self.add_fatal(parts, at, hold, false);
    }

    /// Quarantines that this host is to write to the store; each is returned once.
    pub fn take_unwritten(&mut self) -> Vec<Fatal> {
        let due = self.fatal.iter_mut().filter(|f| f.is_unwritten);
        due.map(|f| {
            f.is_unwritten = false;
            f.clone()
        })
        .collect()
    }

    /// Makes this host write all quarantines to the store again.
    pub fn rewrite(&mut self) {
        for fatal in &mut self.fatal {
            fatal.is_unwritten = true;
        }
    }

    /// Parts of quarantines that this host is to remove from the store; each is returned once.
    pub fn take_lifted(&mut self) -> Vec<Vec<u64>> {
        std::mem::take(&mut self.lifted)
    }

    /// The quarantines in force.
    pub fn fatal(&self) -> &[Fatal] {
        &self.fatal
    }

    /// Adds a crash, without the parts that were in a sound answer since; returns whether it is news.
    fn add_crash(&mut self, now: Millis, mut crash: Crash) -> bool {
        let sound = &mut self.sound;
        crash.parts.retain(|part| {
            let Some(sound) = sound.get_mut(part) else {
                return true;
            };
            if crash.at.since(sound.at) < PROVEN_TTL {
                // The other hosts are to judge the part as this one does.
                sound.announcement.renew(now, ANNOUNCE_TTL);
            }
            sound.at <= crash.at
        });
        if crash.parts.is_empty() {
            return false;
        }
        let mut known = self.fatal.iter_mut();
        if let Some(fatal) = known.find(|f| f.applies_to(&crash.parts)) {
            let has_failed = fatal.record_crash(crash.at);
            self.has_news |= has_failed;
            return has_failed;
        }
        // The parts that it shares with a quarantine, unless all of them were in a sound answer lately.
        let shared = self.fatal.iter_mut().find_map(|f| {
            let is_suspect = |p: &&u64| {
                let sound = self.sound.get(p);
                sound.is_none_or(|s| crash.at.since(s.at) >= PROVEN_TTL)
            };
            let common = f.parts.iter().filter(|p| crash.parts.contains(p));
            let common: Vec<u64> = common.filter(is_suspect).copied().collect();
            (!common.is_empty()).then(|| {
                f.trial = None;
                (common, f.hold)
            })
        });
        if let Some((parts, hold)) = shared {
            return self.add_fatal(parts, crash.at, hold, crash.is_own);
        }
        let is_same = |c: &Crash| c.is_same(&crash) && c.parts == crash.parts;
        if self.crashes.iter().any(is_same) {
            return false;
        }
        self.crashes.push(crash);
        if self.crashes.len() > self.subject.policy().max_crashes {
            self.crashes.remove(0);
        }
        true
    }

    /// Adds a quarantine unless a part of it has been proven sound since or a known one covers it; returns whether
    /// it is news.
    fn add_fatal(&mut self, mut parts: Vec<u64>, at: Millis, hold: Millis, is_own: bool) -> bool {
        parts.retain(|p| self.sound.get(p).is_none_or(|s| s.at <= at));
        if parts.is_empty() {
            return false;
        }
        if let Some(known) = self.fatal.iter_mut().find(|f| f.applies_to(&parts)) {
            let is_news = hold > known.hold;
            if known.parts == parts {
                known.at = known.at.max(at);
                known.hold = known.hold.max(hold);
            }
            self.has_news |= is_news;
            return is_news;
        }
        let new = Fatal {
            parts,
            at,
            hold: hold.min(MAX_HOLD),
            trial: None,
            is_unwritten: is_own,
        };
        self.crashes.retain(|c| !new.applies_to(&c.parts));
        self.fatal.push(new);
        self.has_news = true;
        if self.fatal.len() > MAX_FATAL {
            self.fatal.remove(0);
        }
        true
    }

    /// Takes a part that was in a sound answer at `at` out of earlier reports and quarantines; returns whether it was
    /// in any. If `is_own`, this host updates the store.
    fn clear(&mut self, part: u64, at: Millis, is_own: bool) -> bool {
        let mut is_known = false;
        for crash in self.crashes.iter_mut().filter(|c| c.at < at) {
            let count = crash.parts.len();
            crash.parts.retain(|p| *p != part);
            is_known |= crash.parts.len() < count;
        }
        self.crashes.retain(|c| !c.parts.is_empty());
        let suspected = |f: &&mut Fatal| f.at < at && f.parts.contains(&part);
        for fatal in self.fatal.iter_mut().filter(suspected) {
            is_known = true;
            if is_own {
                self.lifted.push(fatal.parts.clone());
                fatal.is_unwritten = true;
            }
            fatal.parts.retain(|p| *p != part);
            fatal.trial = None;
        }
        self.fatal.retain(|f| !f.parts.is_empty());
        is_known
    }

    fn drop_old_crashes(&mut self, now: Millis) {
        self.crashes.retain(|c| now.since(c.at) < CRASH_TTL);
    }

    /// Quarantines the parts that the crashes give reason for.
    fn judge(&mut self, now: Millis) {
        self.drop_old_crashes(now);
        while let Some(parts) = self.verdict() {
            let explained: Vec<&Crash> = {
                let crashes = self.crashes.iter();
                crashes.filter(|c| is_subset(&parts, &c.parts)).collect()
            };
            let at = explained.iter().map(|c| c.at).max().unwrap_or(now);
            let is_own = explained.iter().any(|c| c.is_own);
            // Removes the crashes that it explains, so that the loop ends.
            let hold = self.subject.policy().first_hold;
            if !self.add_fatal(parts, at, hold, is_own) {
                return;
            }
        }
    }

    /// The parts that the crashes with the most suspect part have in common; `None` if no part is suspect enough.
    fn verdict(&self) -> Option<Vec<u64>> {
        let suspects = distinct(self.crashes.iter().flat_map(|c| &c.parts).copied());
        let rank = |part: u64| {
            let guilt = self.guilt(part)?;
            Some((!self.is_proven(part), guilt, part))
        };
        let (_, _, part) = suspects.into_iter().filter_map(rank).max()?;
        let mut crashes = self.crashes_with(part);
        let mut common = crashes.next()?.parts.clone();
        for crash in crashes {
            common.retain(|p| crash.parts.contains(p));
        }
        if !self.is_proven(part) {
            common.retain(|p| !self.is_proven(*p));
        }
        Some(common)
    }

    fn crashes_with(&self, part: u64) -> impl Iterator<Item = &Crash> {
        let has = move |c: &&Crash| c.parts.binary_search(&part).is_ok();
        self.crashes.iter().filter(has)
    }

    /// The number of crashes with a part; `None` if they give no reason to quarantine it.
    fn guilt(&self, part: u64) -> Option<usize> {
        let crashes = self.crashes_with(part);
        let crashes: Vec<&Crash> = crashes.collect();
        if crashes.len() < LIMIT {
            return None;
        }
        // Two hosts may report the same crash.
        let is_first = |i: &usize| !crashes[..*i].iter().any(|c| c.is_same(crashes[*i]));
        let count = (0..crashes.len()).filter(is_first).count();
        let first = crashes.iter().map(|c| c.at).min()?;
        let last = crashes.iter().map(|c| c.at).max()?;
        let (limit, spread) = if self.is_proven(part) {
            (PROVEN_LIMIT, PROVEN_SPREAD)
        } else {
            (LIMIT, self.subject.policy().min_spread)
        };
        (count >= limit && last.since(first) >= spread).then_some(count)
    }

    /// Whether a part was in a sound answer shortly before the first of its crashes.
    fn is_proven(&self, part: u64) -> bool {
        let crashes = self.crashes_with(part);
        let first = crashes.map(|c| c.at).min();
        let (Some(first), Some(sound)) = (first, self.sound.get(&part)) else {
            return false;
        };
        first.since(sound.at) < PROVEN_TTL
    }

    fn bound_sound(&mut self, now: Millis) {
        if self.sound.len() > MAX_SOUND {
            self.sound.retain(|_, s| now.since(s.at) < PROVEN_TTL);
        }
        // Still too many in the time: those seen longest ago go, down to three quarters.
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Millis> = self.sound.iter().map(|(_, s)| s.at).collect();
            times.sort_unstable();
            let oldest = times[MAX_SOUND / 4];
            self.sound.retain(|_, s| s.at > oldest);
        }
    }
}

impl Fatal {
    fn applies_to(&self, parts: &[u64]) -> bool {
        is_subset(&self.parts, parts)
    }

    /// Whether a trial was started within `timeout`.
    fn is_tried(&self, now: Millis, timeout: Millis) -> bool {
        self.trial
            .is_some_and(|started| now.since(started) < timeout)
    }

    /// Records one more crash; returns whether it was that of a trial.
    fn record_crash(&mut self, at: Millis) -> bool {
        let has_failed = self.trial.take().is_some() && at.since(self.at) >= self.hold;
        if has_failed {
            self.hold = Millis(self.hold.0 * HOLD_FACTOR).clamp(SECOND_HOLD, MAX_HOLD);
            self.is_unwritten = true;
        }
        self.at = self.at.max(at);
        has_failed
    }
}

impl Crash {
    /// Whether two reports are of the same end of one server.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.server == other.server && apart < SAME_CRASH
    }
}

/// Number of hosts that may try a quarantined request which has been due for this time. It doubles with each
/// [`TRIAL_RETRY`], as a rare request may never reach the first one.
fn trying_hosts(overdue: Millis) -> usize {
    let doublings = (overdue.0 / TRIAL_RETRY.0).min(MAX_DOUBLINGS);
    1 << doublings
}

/// Whether all of `some` are in `all`; both are in ascending order.
fn is_subset(some: &[u64], all: &[u64]) -> bool {
    some.iter().all(|p| all.binary_search(p).is_ok())
}

/// Returns whether that many parts fit as well, `room` in all.
fn room_for(mut room: usize) -> impl FnMut(usize) -> bool {
    move |parts| {
        let fits = parts <= room;
        room = room.saturating_sub(parts);
        fits
    }
}

/// Time since `at` for a message, in milliseconds.
fn age(now: Millis, at: Millis) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}
