//! An entry among entries of an older release, which don't tell the epochs of the platform apart.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use shallotfork_fleet::{FleetHeartbeat, FleetMember, OwnState};
use shallotfork_membership::{Announcement, ListedVm};
use shallotfork_types::{FailureDomain, Incarnation, Mono, PerSecond, VmId};

const HEARTBEAT_MS: u64 = 150;
/// Entries of the older release. The entry under test ranks behind some of them.
const OLDER_ENTRIES: u16 = 20;

fn at(ms: u64) -> Mono {
    Mono::from_millis(ms)
}

fn announcement(number: u16) -> Announcement {
    Announcement {
        listed: ListedVm {
            vm: VmId::new(&format!("vm-{number}")).unwrap(),
            failure_domain: FailureDomain::new("hall").unwrap(),
            callers: format!("127.0.0.1:{}", 10_000 + number).parse().unwrap(),
            peers: format!("127.0.0.1:{}", 20_000 + number).parse().unwrap(),
            leaving: false,
            capacity: PerSecond::new(100),
        },
        incarnation: Incarnation::new(u64::from(number) + 1),
        round: 0,
        isolated: false,
        load: None,
    }
}

/// Returns a member that has exchanged heartbeats with entries for `duration_ms`, which know epochs or not.
fn member_after(duration_ms: u64, knows_epochs: bool) -> FleetMember {
    let mut member = FleetMember::new(announcement(0), at(0));
    member.set_own_state(OwnState { is_synced: true, ..OwnState::default() });
    let mut others: Vec<FleetMember> = (1..=OLDER_ENTRIES)
        .map(|number| {
            let mut other = FleetMember::new(announcement(number), at(0));
            other.set_own_state(OwnState {
                is_synced: true,
                is_reader: true,
                ..OwnState::default()
            });
            other
        })
        .collect();
    let own = announcement(0).listed.vm;
    for ms in (0..duration_ms).step_by(usize::try_from(HEARTBEAT_MS).unwrap()) {
        for other in &mut others {
            let heartbeat = FleetHeartbeat { knows_epochs, ..other.heartbeat_for(&own, at(ms)) };
            member.receive_heartbeat(&heartbeat, at(ms));
        }
    }
    member
}

/// Guards against an entry that relies on readers which stay in the platform's lost epoch after a restore.
#[test]
fn entry_among_an_older_release_reads_for_itself() {
    assert!(member_after(3000, false).should_read(at(3000)));
    let mut among_equals = member_after(3000, true);
    let is_reader = among_equals.view(at(3000)).readers.contains(&announcement(0).listed.vm);
    assert_eq!(among_equals.should_read(at(3000)), is_reader, "in a fleet of one release");
}

/// Guards against taking the platform to be away because entries of an older release are not used.
#[test]
fn older_release_is_no_outage_of_the_platform() {
    let member = member_after(3000, false);
    assert_eq!(member.platform.outage_started_at(at(3000)), None);
}
