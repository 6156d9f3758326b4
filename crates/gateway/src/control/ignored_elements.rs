//! Reports elements of published items that are not used as published.

use std::collections::BTreeSet;

use metrics::counter;
use shallotfork_events::{PUBLISHED_IGNORED, event};
use shallotfork_feed::{ElementKind, IgnoredElement, RawItem};
use shallotfork_types::Position;

use crate::control::state::ControlState;

/// Elements named in one log line. A line for each element of a large read could exceed the queue of
/// the log writer, and lines would be lost.
const ELEMENTS_PER_LINE: usize = 20;

/// An item that is not used as published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IgnoredItem {
    kind: ElementKind,
    position: Position,
}

/// Counts an element by its kind.
pub fn count_ignored(element: &IgnoredElement) {
    counter!("shallotfork_ignored_elements", "kind" => element.kind().as_str()).increment(1);
}

/// Counts elements by kind and names each of them in a log line. `position` is that of the read, or of the
/// item that contains them.
pub fn report_ignored(state: &ControlState, elements: &[IgnoredElement], position: Position) {
    elements.iter().for_each(count_ignored);
    for elements in elements.chunks(ELEMENTS_PER_LINE) {
        let texts: Vec<String> = elements.iter().map(ToString::to_string).collect();
        event!(state.context.log, PUBLISHED_IGNORED, "elements" => elements.len(),
            "reasons" => texts.join("; "), "revision" => position.revision().value());
    }
}

/// Records whether a target or an evacuation is used as published. Returns the ignored element if it has
/// to be reported: when it is published, but only once in a row for a target, which is published again
/// every second or so.
pub fn track_ignored(
    state: &ControlState,
    item: &RawItem,
    ignored: Option<IgnoredElement>,
) -> Option<IgnoredElement> {
    let mut ignored_items = state.ignored_items.borrow_mut();
    let Some(element) = ignored else {
        ignored_items.remove(&item.key);
        return None;
    };
    let now = IgnoredItem { kind: element.kind(), position: item.position };
    let previous = ignored_items.insert(item.key.clone(), now);
    let is_reported = match now.kind {
        ElementKind::Evacuation => previous == Some(now),
        _ => previous.is_some_and(|previous| previous.kind == now.kind),
    };
    (!is_reported).then_some(element)
}

/// Forgets the items that are not among all published ones.
pub fn forget_removed(state: &ControlState, items: &[RawItem]) {
    let mut ignored_items = state.ignored_items.borrow_mut();
    if !ignored_items.is_empty() {
        let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        ignored_items.retain(|key, _| keys.contains(key.as_str()));
    }
}
