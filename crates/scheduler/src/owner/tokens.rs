//! Tokens of an owner's links.

/// The number of low bits of a wire token that number the links of one owner. Tokens repeat once an owner has opened
/// more links than these bits can number.
const LINK_BITS: u32 = 24;
const LAST_LINK: u64 = (1 << LINK_BITS) - 1;

/// The tokens of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkToken {
    /// The token of the owner's claim.
    pub claim: u64,
    /// The token sent to VMs: higher than those of all earlier owners and of this owner's earlier links. A VM that
    /// has answered a call of one link rejects all calls of earlier links, also those made to a previous incarnation.
    pub on_the_wire: u64,
}

/// Numbers the links of one owner.
#[derive(Debug)]
pub struct LinkTokens {
    claim: u64,
    opened: u64,
}

impl LinkTokens {
    /// Creates the numbering for an owner with the token of its claim.
    pub const fn new(claim: u64) -> Self {
        Self { claim, opened: 0 }
    }

    /// Returns the tokens of the next link.
    pub fn next(&mut self) -> LinkToken {
        let link = self.opened.min(LAST_LINK);
        self.opened += 1;
        LinkToken { claim: self.claim, on_the_wire: (self.claim << LINK_BITS) | link }
    }
}
