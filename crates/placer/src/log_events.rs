//! Logs the core's events as `tracing` events, with the event's name and fields.

use reedring_core::event::{Event, Level};

/// Logs an event of this placer.
pub(crate) fn record(placer: &str, logged: &Event) {
    let (event, node, zone, job) = (logged.name(), logged.node(), logged.zone(), logged.job());
    let attempt = logged
        .attempt()
        .map(|id| format!("{}.{}.{}", id.incarnation, id.request, id.number));
    let attempt = attempt.as_deref();
    let config_version = logged.config_version().map(|version| version.to_string());
    let config_version = config_version.as_deref();
    match logged.level() {
        Level::Warn => {
            tracing::warn!(
                placer,
                event,
                node,
                zone,
                job,
                attempt,
                config_version,
                "{logged}"
            );
        }
        Level::Info => {
            tracing::info!(
                placer,
                event,
                node,
                zone,
                job,
                attempt,
                config_version,
                "{logged}"
            );
        }
    }
}
