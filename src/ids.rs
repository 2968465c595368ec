//! Identifiers. The caller chooses them, except for [`TimerId`], which the balancer chooses.

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request; the caller never uses a number twice in a balancer's lifetime.
    RequestId(u64),
    /// A server; stable while the machine is, and equal at every balancer.
    ServerId(u32),
    /// A request class: its index in [`crate::Settings::classes`].
    ClassId(usize),
    /// A tenant: its index in [`crate::Settings::tenants`].
    TenantId(usize),
    /// A zone, as the endpoint list numbers them.
    ZoneId(u32),
    /// A machine type, as the endpoint list numbers them.
    KindId(u32),
    /// A cell: a group of servers that share a deduplication store, as the endpoint list numbers them.
    CellId(u32),
    /// The affinity key of a request: requests for the same object carry the same key.
    AffinityKey(u64),
    /// An attempt of a request: 0 for the first, 1 for the second and so on.
    AttemptNo(u32),
    /// A timer; chosen by the balancer.
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}
