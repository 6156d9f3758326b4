//! Which failure domains an operator has evacuated.

mod evacuations;

pub use evacuations::{Evacuation, EvacuationChange, EvacuationEvent, Evacuations, PublishedState};
