//! Whether a process takes over the endpoint list of the process that it replaces.
//!
//! In an upgrade both processes are one agent: the new one has to know what the old one was notified of. The list in the
//! configuration may be out of date, so it only serves a process that knows nothing better.

use crate::Span;

/// What a process knows of the endpoint list that another process of its agent hands over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandedOverList {
    /// How long ago discovery last confirmed the list, to the process that hands it over or to one before it; `None` if
    /// it never has.
    pub confirmed_ago: Option<Span>,
    /// Whether it has a version as the discovery counts it that this process calls.
    pub is_version_valid: bool,
}

/// What to do with a list that is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takeover {
    /// Use it, and ask discovery for what has changed since its version.
    ListAndVersion,
    /// Use it until discovery has been asked for the complete list.
    ListOnly,
    /// Discovery has answered this process: its word replaces what is handed over.
    DiscoveryAnswered,
    /// Discovery has never confirmed it: it is the list of an earlier configuration than this process's own.
    Unconfirmed,
}

impl HandedOverList {
    /// Decides whether to use the list, given whether discovery `has_answered` the process that takes it over.
    pub fn assess(&self, has_answered: bool) -> Takeover {
        match self {
            _ if has_answered => Takeover::DiscoveryAnswered,
            HandedOverList { confirmed_ago: None, .. } => Takeover::Unconfirmed,
            HandedOverList { is_version_valid: true, .. } => Takeover::ListAndVersion,
            HandedOverList { is_version_valid: false, .. } => Takeover::ListOnly,
        }
    }
}

/// The age of an endpoint list that is handed over, after the process that takes it over has waited for it for `waited`.
/// Each process measures only spans of its own clock, so that steps of the wall clock do not count, and the spans add up
/// over any number of processes.
pub fn confirmed_ago(at_hand_over: Span, waited: Span) -> Span {
    Span(at_hand_over.0.saturating_add(waited.0))
}

#[cfg(test)]
mod tests;
