//! The fencing tokens of a term.
//!
//! A worker executes a command only if its token is not lower than the highest one that the
//! worker has accepted. An election reserves a block of tokens, so that a leader can fence off
//! its own earlier commands without another election.

/// The number of fencing tokens that an election reserves. A machine uses at most a few of them
/// per second.
pub const TOKENS_PER_TERM: u64 = 1_000_000_000;

/// The fencing tokens that the leader of a term may send.
///
/// The number of the term is its last token. The next leader of any version begins above it.
#[derive(Debug, Clone)]
pub struct TermTokens {
    first: u64,
    last: u64,
    /// The highest token that was assigned to any machine.
    highest_assigned: u64,
}

impl TermTokens {
    /// The term that follows `previous`, the term in the store.
    pub fn term_after(previous: u64) -> u64 {
        previous + TOKENS_PER_TERM
    }

    /// The tokens that the election of this term has reserved.
    pub fn of_term(term: u64) -> TermTokens {
        let first = term.saturating_sub(TOKENS_PER_TERM) + 1;
        TermTokens {
            first,
            last: term,
            highest_assigned: first,
        }
    }

    /// The first token. It is higher than all tokens of earlier terms.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// The last token.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The token that follows `token`; None if there is none in this term.
    pub fn assign_after(&mut self, token: u64) -> Option<u64> {
        let next = (token < self.last).then_some(token + 1)?;
        self.highest_assigned = self.highest_assigned.max(next);
        Some(next)
    }

    /// A token that is higher than all that were assigned before; None if there is none in this
    /// term.
    pub fn assign_highest(&mut self) -> Option<u64> {
        self.assign_after(self.highest_assigned)
    }

    /// Records that a machine uses this token of the term.
    pub fn record_assigned(&mut self, token: u64) {
        self.highest_assigned = self.highest_assigned.max(token);
    }
}
