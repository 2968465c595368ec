//! Identifiers. The caller assigns all of them except [`TimerId`], which the balancer assigns.

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request. The caller must not reuse an identifier during a balancer's lifetime.
    RequestId(u64),
    /// A server. It identifies the machine, also across restarts of its process, and is the same at every balancer.
    ServerId(u32),
    /// A request class: its index in [`crate::Settings::classes`].
    ClassId(usize),
    /// A tenant: its index in [`crate::Settings::tenants`].
    TenantId(usize),
    /// A zone, by its number in the endpoint list.
    ZoneId(u32),
    /// A machine type, by its number in the endpoint list.
    KindId(u32),
    /// A cell: a group of servers that share a deduplication store. By its number in the endpoint list.
    CellId(u32),
    /// An affinity key: requests for the same object carry the same key.
    AffinityKey(u64),
    /// What identifies a request to its client: the same request keeps it if it comes again.
    ClientRequestKey(u64),
    /// An attempt, numbered from 0 within its request.
    AttemptNo(u32),
    /// A timer that the balancer has set with [`crate::Action::SetTimer`].
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}
