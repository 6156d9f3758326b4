//! Catalogue of log events by number: 1xxx life cycle, 2xxx published lists, 3xxx idempotent
//! operations (once), 4xxx peers, 5xxx targets, 6xxx platform, 7xxx callers, 8xxx operators.

use crate::{Event, Level};

macro_rules! events {
    ($($name:ident = $code:literal $level:ident $text:literal;)*) => {
        $(
            #[doc = $text]
            pub const $name: Event = Event { code: $code, level: Level::$level, text: $text };
        )*

        /// All events in ascending order of their numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    STARTED = 1001 Info "process started";
    SERVING = 1002 Info "serving callers";
    LEAVING = 1003 Info "leaving: no new work is taken on";
    STOPPED = 1004 Info "stopped";
    RELOADED = 1005 Info "settings read again";
    SETTINGS_INVALID = 1006 Error "settings can't be read; the ones in force stay";
    RESUMED = 1007 Warning "process resumed after a pause";
    OVERLOADED = 1008 Warning "process overloaded: its runnable work waits long for the processor";
    LIST_ACCEPTED = 2001 Info "published list in force";
    LIST_INVALID = 2002 Error "published list refused: it is not valid";
    LIST_OUTDATED = 2003 Warning "published list refused: a higher revision is in force";
    LIST_CONFLICT = 2004 Error "two contents under one revision";
    ROUTES_ACCEPTED = 2005 Info "routes in force";
    ROUTES_REFUSED = 2006 Error "routes refused: they are not valid";
    PULL_FAILED = 2007 Warning "pull of published items from another entry failed";
    EVACUATION_STARTED = 2008 Info "failure domain evacuated: its targets receive no new requests";
    EVACUATION_ENDED = 2009 Info "evacuation of a failure domain ended: its targets receive requests again";
    EVACUATION_INVALID = 2010 Error "request to evacuate a failure domain ignored: it is not valid";
    EVACUATION_RUNNING = 2011 Info "requests still run in an evacuated failure domain";
    PUBLISHED_IGNORED = 2012 Warning "part of a published item ignored: it is not valid";
    ITEMS_PULLED = 2013 Info "published items pulled from another entry";
    ITEMS_SERVED = 2014 Info "published items sent to other entries";
    ITEMS_RETAINED = 2015 Info "published items retained in place of those of an older copy";
    CONFIGURATION_NOT_IN_FORCE = 2016 Error "newest known configuration is not in force";
    CONFIGURATION_PARTIAL = 2017 Warning "configuration in force in part";
    CONFIGURATION_COMPLETE = 2018 Info "newest known configuration in force as a whole again";
    LEDGER_FULL = 3001 Warning "idempotency ledger full: operation refused";
    LEDGER_SEALED = 3002 Info "idempotency ledger sealed and handed to peers";
    PEER_UP = 4001 Info "peer connected";
    PEER_DOWN = 4002 Warning "peer lost";
    PEER_REFUSED = 4003 Warning "peer refused: it did not prove the shared key";
    ENTRY_STATE_CHANGED = 4004 Info "state of an entry changed";
    ADVERTISED_ENTRIES_CHANGED = 4005 Info "entries advertised to callers changed";
    PATH_LOST = 4006 Warning "this entry reaches no target: it steps aside and forwards its requests";
    PATH_RESTORED = 4007 Info "this entry reaches targets again";
    ENTRY_LOAD_INVALID = 4008 Warning "load reported by an entry ignored: it is not a level";
    TARGET_EJECTED = 5001 Warning "target ejected";
    TARGET_RETURNED = 5002 Info "ejected target used again";
    TARGET_CHANGED = 5003 Info "published target changed";
    TARGETS_CHANGED = 5004 Info "many published targets changed at once";
    TARGET_RATE_LIMIT = 5005 Info "rate limit of a target changed";
    RATE_LIMIT_INVALID = 5006 Warning "rate limit of a target ignored: it is not a decimal number";
    WARMUP_INVALID = 5007 Warning "remaining warm-up time of a target ignored: it is not a number of milliseconds";
    TARGET_COLD = 5008 Info "target turned cold";
    TARGET_CONNECTIONS = 5009 Info "connections opened to targets";
    TARGETS_UNREACHABLE = 5010 Warning "targets unreachable from this entry";
    TARGET_LEAVING = 5011 Info "target says that it is leaving";
    TARGET_RESTING = 5012 Info "target asks for rest";
    STATEMENT_INVALID = 5013 Warning "statement of a target about itself ignored: it is not valid";
    RANDOM_REJECTIONS = 5014 Warning "targets of a service reject requests at random";
    RANDOM_REJECTIONS_ENDED = 5015 Info "targets of a service no longer reject requests at random";
    SLOT_SHARE_CHANGED = 5016 Info "share of a service's slots changed";
    TARGET_EXCLUDED = 5017 Warning "target left out: its answers do not end";
    PLATFORM_DISCONNECTED = 6001 Warning "platform unreachable";
    PLATFORM_RECONNECTED = 6002 Info "platform reachable again";
    PLATFORM_BEHIND = 6003 Warning "platform replica behind a revision seen before";
    PLATFORM_HISTORY_LOST = 6004 Warning "platform no longer has the changes after the known revision";
    PLATFORM_READ_DROPPED = 6005 Warning "full read of the platform dropped: later changes are known";
    PLATFORM_RESTORED = 6006 Warning "platform restored from a copy";
    PLATFORM_SETTLED = 6007 Info "restored platform has settled: what it publishes holds";
    REQUEST_REJECTED = 7001 Info "request refused";
    REQUEST_ANSWERED = 7002 Info "request answered";
    REQUEST_NOT_ANSWERED = 7003 Warning "request not answered: it may have run";
    ATTEMPT_FAILED = 7004 Warning "attempt at a target failed: no answer to forward";
    SERVICE_LOAD = 7005 Info "slots of a service";
    CALLER_DISCONNECTED = 7006 Info "caller disconnected before its request was sent";
    TARGET_CRASHED = 7007 Warning "target crashed while it ran a request";
    REQUEST_QUARANTINED = 7008 Error "request quarantined: it crashes the targets that run it";
    TRANSFER_BROKEN = 7021 Warning "transfer of a large answer ended before its last byte";
    LARGE_ANSWERS = 7022 Info "room for large answers";
    CONNECTIONS_EVICTED = 7023 Warning "connections of callers gave way to others";
    OPERATOR_REFUSED = 8001 Warning "operator refused: wrong token";
}
