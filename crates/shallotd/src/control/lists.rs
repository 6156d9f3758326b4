//! Published lists: which version of each is in force, checked and in typed form.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotfork_events::{
    Event, LIST_ACCEPTED, LIST_CONFLICT, LIST_INVALID, LIST_OUTDATED, event, slog::Logger,
};
use shallotfork_platform::{PublishedList, TargetInfo, VmInfo, parse_targets, parse_vms};
use shallotfork_revisions::{
    ConflictWinner, Cursor, OfferOutcome, OfferedVersion, Tracker, Version,
};
use shallotfork_rules::{RuleError, RuleList, ServiceIndex, ServiceRuleList};
use shallotfork_types::report::{AuditChange, AuditOutcome, ListStatus};
use shallotfork_types::{ListName, ListsDigest, Mono, Revision, ServiceName};

use crate::control::lists_source::ListSource;

/// A list in force, with its text for peers that ask.
#[derive(Debug, Clone)]
pub struct ListInForce {
    /// The list as published.
    pub published: PublishedList,
    /// When it came into force here.
    pub since: Mono,
}

/// The lists in force.
#[derive(Debug, Default)]
pub struct Lists {
    tracker: Tracker,
    /// From which revision the platform is watched.
    pub cursor: Cursor,
    in_force: BTreeMap<ListName, ListInForce>,
    /// The general rule list, sorted by service.
    pub rules: Option<Arc<ServiceIndex>>,
    /// Rules of single services.
    pub parts: BTreeMap<ServiceName, Arc<ServiceRuleList>>,
    /// Targets by service.
    pub targets: BTreeMap<ServiceName, Arc<Vec<TargetInfo>>>,
    /// The entry VMs with the revision of their list.
    pub vms: Option<(Revision, Vec<VmInfo>)>,
    start_is_complete: bool,
}

/// A list in typed form.
enum Checked {
    Rules(ServiceIndex),
    ServiceRules(ServiceName, ServiceRuleList),
    Targets(ServiceName, Vec<TargetInfo>),
    Vms(Vec<VmInfo>),
}

/// What became of one offered list.
pub struct Taken {
    /// Whether it is in force now.
    pub changed: bool,
    /// The line for the trail of changes; `None` when the list was known already.
    pub audit: Option<AuditChange>,
    /// The list that was in force under the same revision until now.
    pub outranked: Option<PublishedList>,
}

impl Taken {
    fn nothing() -> Self {
        Self { changed: false, audit: None, outranked: None }
    }
}

impl Lists {
    /// Offers a list that the platform or a peer sent.
    pub fn take(
        &mut self,
        published: PublishedList,
        source: &ListSource,
        now: Mono,
        log: &Logger,
    ) -> Taken {
        let version = Version::new(published.revision, published.content.as_bytes());
        let name = published.name.clone();
        if self.tracker.is_known(&name, &version) {
            return Taken::nothing();
        }
        let from = self.tracker.in_force(&name).map(|version| version.revision);
        let checked = check(&published);
        let offered = OfferedVersion { name, version, valid: checked.is_ok() };
        let offer = self.tracker.offer(&offered);
        if is_expected(offer, source) {
            return Taken::nothing();
        }
        let outranked = self.outranked_by(offer, &offered.name);
        let reason = checked.as_ref().err().cloned().unwrap_or_default();
        report(log, offer, &offered, source, &reason);
        if let (true, Ok(checked)) = (offer.takes_effect(), checked) {
            self.put_in_force(published, checked, now);
        }
        let audit = outcome(offer).map(|outcome| AuditChange {
            at: jiff::Timestamp::now().to_string(),
            list: offered.name,
            from_revision: from,
            to_revision: offered.version.revision,
            digest: offered.version.digest.to_string(),
            outcome,
            source: source.to_string(),
        });
        Taken { changed: offer.takes_effect(), audit, outranked }
    }

    fn outranked_by(&self, offer: OfferOutcome, name: &ListName) -> Option<PublishedList> {
        if offer != (OfferOutcome::Conflict { winner: ConflictWinner::Offered }) {
            return None;
        }
        self.in_force.get(name).map(|list| list.published.clone())
    }

    /// The platform and the peers were asked: what is in force is the highest that any has.
    pub fn complete_start(&mut self) {
        self.start_is_complete = true;
    }

    /// The rule list that callers are served by; none while the start is not complete.
    pub fn serving_rules(&self) -> Option<Arc<ServiceIndex>> {
        self.rules.clone().filter(|_| self.start_is_complete)
    }

    /// Fingerprint of the lists in force.
    pub fn digest(&self) -> ListsDigest {
        self.tracker.digest()
    }

    fn put_in_force(&mut self, published: PublishedList, checked: Checked, now: Mono) {
        match checked {
            Checked::Rules(rules) => self.rules = Some(Arc::new(rules)),
            Checked::Targets(service, targets) => {
                self.targets.insert(service, Arc::new(targets));
            }
            Checked::ServiceRules(service, part) => {
                self.parts.insert(service, Arc::new(part));
            }
            Checked::Vms(vms) => self.vms = Some((published.revision, vms)),
        }
        let name = published.name.clone();
        self.in_force.insert(name, ListInForce { published, since: now });
    }

    /// Lists in force that are newer than `after`, for a peer.
    pub fn newer_than(&self, after: Revision) -> Vec<PublishedList> {
        let lists = self.in_force.values().map(|list| &list.published);
        lists.filter(|list| list.revision > after).cloned().collect()
    }

    /// The text of a list in force.
    pub fn text(&self, name: &ListName) -> Option<String> {
        self.in_force.get(name).map(|list| list.published.content.clone())
    }

    /// What operators see of each list.
    pub fn status(&self, now: Mono) -> Vec<ListStatus> {
        let status = |(name, version): (&ListName, Option<Version>)| ListStatus {
            name: name.clone(),
            revision: version.map_or(Revision::NONE, |version| version.revision),
            digest: version.map_or(String::new(), |version| version.digest.to_string()),
            in_force_ms: self.in_force_ms(name, now),
            refused_revision: self.tracker.refused(name).map(|refused| refused.revision),
        };
        self.tracker.lists().map(status).collect()
    }

    fn in_force_ms(&self, name: &ListName, now: Mono) -> u64 {
        let since = self.in_force.get(name).map_or(now, |list| list.since);
        u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
    }
}

fn check(published: &PublishedList) -> Result<Checked, String> {
    match &published.name {
        ListName::Rules => RuleList::parse(&published.content)
            .map(|list| Checked::Rules(ServiceIndex::new(&list)))
            .map_err(joined),
        ListName::ServiceRules(service) => ServiceRuleList::parse(&published.content)
            .map(|part| Checked::ServiceRules(service.clone(), part))
            .map_err(joined),
        ListName::Targets(service) => parse_targets(service, &published.content)
            .map(|targets| Checked::Targets(service.clone(), targets))
            .map_err(|error| error.to_string()),
        ListName::Vms => {
            parse_vms(&published.content).map(Checked::Vms).map_err(|error| error.to_string())
        }
    }
}

/// Whether the offer is no news to operators: a peer that has not caught up yet has a lower
/// revision, and will read the higher one from here.
fn is_expected(offer: OfferOutcome, source: &ListSource) -> bool {
    matches!((offer, source), (OfferOutcome::Lower { .. }, ListSource::Peer(_)))
}

fn joined(errors: Vec<RuleError>) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

fn outcome(offer: OfferOutcome) -> Option<AuditOutcome> {
    match offer {
        OfferOutcome::Accepted { .. } => Some(AuditOutcome::Accepted),
        OfferOutcome::Known => None,
        OfferOutcome::Lower { .. } => Some(AuditOutcome::Lower),
        OfferOutcome::Invalid { .. } => Some(AuditOutcome::Invalid),
        OfferOutcome::Conflict { winner: ConflictWinner::Offered } => {
            Some(AuditOutcome::ConflictAccepted)
        }
        OfferOutcome::Conflict { winner: ConflictWinner::InForce } => {
            Some(AuditOutcome::ConflictRefused)
        }
    }
}

fn report(
    log: &Logger,
    offer: OfferOutcome,
    offered: &OfferedVersion,
    source: &ListSource,
    reason: &str,
) {
    let event: Event = match offer {
        OfferOutcome::Known => return,
        OfferOutcome::Accepted { .. } => LIST_ACCEPTED,
        OfferOutcome::Lower { .. } => LIST_OUTDATED,
        OfferOutcome::Invalid { .. } => LIST_INVALID,
        OfferOutcome::Conflict { .. } => LIST_CONFLICT,
    };
    event!(
        log, event,
        "list" => offered.name.to_string(),
        "revision" => offered.version.revision.value(),
        "source" => source.to_string(),
        "reason" => reason.to_owned(),
    );
}
