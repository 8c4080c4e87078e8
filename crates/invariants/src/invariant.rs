//! The invariants and their names.

macro_rules! invariants {
    ($($(#[doc = $doc:literal])+ $variant:ident => $name:literal,)+) => {
        /// A property that holds at all times in a running daemon.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        #[repr(usize)]
        pub enum Invariant {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Name of the invariant in logs, status and metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

invariants! {
    /// Every admitted request has been answered, rejected or abandoned by its client, or is still in flight.
    RequestsAreConserved => "requests_are_conserved",
    /// A response is sent on the connection on which its request is the one being served.
    ResponseReachesItsRequest => "response_reaches_its_request",
    /// A success that is sent to a client comes from a runner and bears its seal.
    SuccessIsSealed => "success_is_sealed",
    /// An at-most-once request is not sent again once it may have run.
    AtMostOnceIsSentOnce => "at_most_once_is_sent_once",
    /// No request is sent to more runners than its route allows.
    AttemptsAreBounded => "attempts_are_bounded",
    /// A request that is reported to the client as not run was not sent to a runner that may have run it.
    RejectedHasNotRun => "rejected_has_not_run",
    /// A request is only sent to runners in the regions that its route allows.
    RequestStaysInItsRegions => "request_stays_in_its_regions",
    /// A request with an idempotency key is only sent after it has claimed its job.
    JobIsClaimedBeforeItIsSent => "job_is_claimed_before_it_is_sent",
    /// The number of leased seats of a runner never exceeds its quota.
    SeatsWithinQuota => "seats_within_quota",
    /// Each leased seat and each waiting request has one holder, and no holder more than one.
    SeatsAreAccounted => "seats_are_accounted",
    /// An ownership table that a gateway applies is newer than the previous one.
    OwnershipMovesForward => "ownership_moves_forward",
    /// Queues, pools and buffers stay within their defined bounds.
    QueueIsBounded => "queue_is_bounded",
    /// A configuration that a gateway applies is newer than the previous one.
    ConfigurationMovesForward => "configuration_moves_forward",
    /// A list of evacuated zones that a gateway applies is newer than the previous one.
    EvacuationsMoveForward => "evacuations_move_forward",
    /// The committed version of a register, as known to a controller, never decreases within an epoch.
    CommittedVersionsMoveForward => "committed_versions_move_forward",
    /// The terms under which a controller acts as the scaler never decrease.
    TermsRise => "terms_rise",
    /// The promised ballot of a voter for a register never decreases, and a voter accepts only what it has promised.
    PromisesAreKept => "promises_are_kept",
}
