//! Published lists: the parsed and validated version of each that is in force.

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

/// A list in force, with its content for peers that pull it.
#[derive(Debug, Clone)]
pub struct ListInForce {
    /// The list as published.
    pub published: PublishedList,
    /// When the list came into force in this process.
    pub in_force_at: Mono,
}

/// The lists in force.
#[derive(Debug, Default)]
pub struct Lists {
    tracker: Tracker,
    /// Revision after which each replica of the platform is read.
    pub cursor: Cursor,
    in_force: BTreeMap<ListName, ListInForce>,
    /// The general rule list, indexed by service.
    pub rules: Option<Arc<ServiceIndex>>,
    /// The rule lists of single services.
    pub service_rules: BTreeMap<ServiceName, Arc<ServiceRuleList>>,
    /// Targets by service.
    pub targets: BTreeMap<ServiceName, Arc<Vec<TargetInfo>>>,
    /// The entry VMs and the revision of their list.
    pub vms: Option<(Revision, Vec<VmInfo>)>,
    is_start_complete: bool,
}

/// A parsed list.
enum ParsedList {
    Rules(ServiceIndex),
    ServiceRules(ServiceName, ServiceRuleList),
    Targets(ServiceName, Vec<TargetInfo>),
    Vms(Vec<VmInfo>),
}

/// Result of offering one list.
pub struct OfferResult {
    /// Whether the offered list has come into force.
    pub changed: bool,
    /// Entry for the audit trail; `None` if the list was known or the offer is expected.
    pub audit: Option<AuditChange>,
    /// The list of the same revision that the offered list replaced.
    pub outranked: Option<PublishedList>,
}

impl OfferResult {
    fn unchanged() -> Self {
        Self { changed: false, audit: None, outranked: None }
    }
}

impl Lists {
    /// Offers a list received from the platform or a peer.
    pub fn offer(
        &mut self,
        published: PublishedList,
        source: &ListSource,
        now: Mono,
        log: &Logger,
    ) -> OfferResult {
        let version = Version::new(published.revision, published.content.as_bytes());
        let name = published.name.clone();
        if self.tracker.is_known(&name, &version) {
            return OfferResult::unchanged();
        }
        let previous_revision = self.tracker.in_force(&name).map(|version| version.revision);
        let parsed = parse(&published);
        let offered = OfferedVersion { name, version, valid: parsed.is_ok() };
        let offer = self.tracker.offer(&offered);
        if is_expected(offer, source) {
            return OfferResult::unchanged();
        }
        let outranked = self.outranked_by(offer, &offered.name);
        let reason = parsed.as_ref().err().cloned().unwrap_or_default();
        log_offer(log, offer, &offered, source, &reason);
        if let (true, Ok(parsed)) = (offer.takes_effect(), parsed) {
            self.put_in_force(published, parsed, now);
        }
        let audit = audit_outcome(offer).map(|outcome| AuditChange {
            at: jiff::Timestamp::now().to_string(),
            list: offered.name,
            from_revision: previous_revision,
            to_revision: offered.version.revision,
            digest: offered.version.digest.to_string(),
            outcome,
            source: source.to_string(),
        });
        OfferResult { changed: offer.takes_effect(), audit, outranked }
    }

    fn outranked_by(&self, offer: OfferOutcome, name: &ListName) -> Option<PublishedList> {
        if offer != (OfferOutcome::Conflict { winner: ConflictWinner::Offered }) {
            return None;
        }
        self.in_force.get(name).map(|list| list.published.clone())
    }

    /// Marks the initial reads of the platform and the peers as done: the lists in force have the
    /// highest versions found.
    pub fn mark_start_complete(&mut self) {
        self.is_start_complete = true;
    }

    /// Returns the rule list for serving callers; `None` until the initial reads are done.
    pub fn serving_rules(&self) -> Option<Arc<ServiceIndex>> {
        self.rules.clone().filter(|_| self.is_start_complete)
    }

    /// Returns the digest of the lists in force.
    pub fn digest(&self) -> ListsDigest {
        self.tracker.digest()
    }

    fn put_in_force(&mut self, published: PublishedList, parsed: ParsedList, now: Mono) {
        match parsed {
            ParsedList::Rules(rules) => self.rules = Some(Arc::new(rules)),
            ParsedList::Targets(service, targets) => {
                self.targets.insert(service, Arc::new(targets));
            }
            ParsedList::ServiceRules(service, list) => {
                self.service_rules.insert(service, Arc::new(list));
            }
            ParsedList::Vms(vms) => self.vms = Some((published.revision, vms)),
        }
        let name = published.name.clone();
        self.in_force.insert(name, ListInForce { published, in_force_at: now });
    }

    /// Returns the lists in force with a revision higher than `after`, for a peer.
    pub fn changed_after(&self, after: Revision) -> Vec<PublishedList> {
        let lists = self.in_force.values().map(|list| &list.published);
        lists.filter(|list| list.revision > after).cloned().collect()
    }

    /// Returns the content of a list in force.
    pub fn content(&self, name: &ListName) -> Option<String> {
        self.in_force.get(name).map(|list| list.published.content.clone())
    }

    /// Returns the status of each list for operators.
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
        let in_force_at = self.in_force.get(name).map_or(now, |list| list.in_force_at);
        u64::try_from(now.since(in_force_at).as_millis()).unwrap_or(u64::MAX)
    }
}

fn parse(published: &PublishedList) -> Result<ParsedList, String> {
    match &published.name {
        ListName::Rules => RuleList::parse(&published.content)
            .map(|list| ParsedList::Rules(ServiceIndex::new(&list)))
            .map_err(join_errors),
        ListName::ServiceRules(service) => ServiceRuleList::parse(&published.content)
            .map(|list| ParsedList::ServiceRules(service.clone(), list))
            .map_err(join_errors),
        ListName::Targets(service) => parse_targets(service, &published.content)
            .map(|targets| ParsedList::Targets(service.clone(), targets))
            .map_err(|error| error.to_string()),
        ListName::Vms => {
            parse_vms(&published.content).map(ParsedList::Vms).map_err(|error| error.to_string())
        }
    }
}

/// Returns whether the offer needs no log event: a peer that has not caught up yet offers a lower
/// revision and will read the higher one from here.
fn is_expected(offer: OfferOutcome, source: &ListSource) -> bool {
    matches!((offer, source), (OfferOutcome::Lower { .. }, ListSource::Peer(_)))
}

fn join_errors(errors: Vec<RuleError>) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

fn audit_outcome(offer: OfferOutcome) -> Option<AuditOutcome> {
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

fn log_offer(
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
