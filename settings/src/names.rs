//! The names and connection timeouts in the settings object that only a host with real sockets needs.

use crate::params::Params;
use balancer::{Settings, Span};

/// The connect timeout if the settings object has none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// The part of the settings object that a real agent needs in addition to [`balancer::Settings`].
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// Names of the request classes, indexed by [`balancer::ClassId`].
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by [`balancer::TenantId`].
    pub tenants: Vec<String>,
    /// Names of the zones, indexed by [`balancer::ZoneId`].
    pub zones: Vec<String>,
    /// Names of the machine kinds, indexed by [`balancer::KindId`].
    pub kinds: Vec<String>,
    /// Wire names of the load report fields, in the order of [`balancer::Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// Time after which an attempt to connect to a server fails.
    pub connect_timeout: Span,
    /// Time after which a server closes an idle connection.
    pub keepalive: Span,
}

/// Extracts the names and connection timeouts from a settings object.
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
