//! Limits of callers' connections, which follow the configuration in force.

use briarswitch_http::{ConnectionLimits, LimitSource};

use crate::shared::FleetShared;

impl LimitSource for FleetShared {
    fn connection_limits(&self) -> ConnectionLimits {
        let config = self.config.load();
        let Some(config) = config.as_ref() else {
            return ConnectionLimits::default();
        };
        let limits = config.limits;
        let connection = ConnectionLimits {
            body_bytes: limits.body_bytes,
            head_timeout: limits.send_time,
            idle_timeout: limits.idle_time,
            ..ConnectionLimits::default()
        };
        connection.with_header_bytes(limits.header_bytes)
    }
}
