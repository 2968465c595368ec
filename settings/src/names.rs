//! The names and limits in the settings object that only a host with real sockets needs.

use crate::params::Params;
use balancer::{Settings, Span};

/// The connect timeout where the object names none, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// What a real agent needs of the settings object besides [`balancer::Settings`].
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// The request classes, by [`balancer::ClassId`].
    pub classes: Vec<String>,
    /// The tenants, by [`balancer::TenantId`].
    pub tenants: Vec<String>,
    /// The zones, by [`balancer::ZoneId`].
    pub zones: Vec<String>,
    /// The kinds of machine, by [`balancer::KindId`].
    pub kinds: Vec<String>,
    /// The fields of a load report, in the order of [`balancer::Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Span,
    /// A server closes a connection that has been idle for this long.
    pub keepalive: Span,
}

/// The names and socket limits of a settings object.
pub fn names(params: &Params) -> Names {
    let limits = &params.limits;
    Names {
        classes: params.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: params.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: params.zones.clone(),
        kinds: params.kinds.clone(),
        report_fields: params.reports.fields.clone(),
        connect_timeout: Span::from_ms(limits.connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS)),
        keepalive: limits.keepalive_ms.map_or(Settings::default().keepalive, Span::from_ms),
    }
}
