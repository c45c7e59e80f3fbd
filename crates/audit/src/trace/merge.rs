//! Traces of several processes in one.

use super::record::{Event, Frame};

/// When a trace began, in microseconds since 1970; 0 where it does not say.
fn began_us(trace: &[Frame]) -> u64 {
    let clock = trace.iter().find(|frame| frame.event == Event::Clock);
    clock.map_or(0, |frame| frame.link)
}

/// Merges the traces of several processes in the order of their clocks. A single one stays as it is.
pub fn merge(traces: Vec<Vec<Frame>>) -> Vec<Frame> {
    if traces.len() < 2 {
        return traces.into_iter().flatten().collect();
    }
    let first_us = traces
        .iter()
        .map(|trace| began_us(trace))
        .min()
        .unwrap_or(0);
    let mut merged: Vec<Frame> = Vec::new();
    for trace in traces {
        let offset_us = began_us(&trace) - first_us;
        merged.extend(trace.into_iter().map(|frame| Frame {
            time_us: frame.time_us + offset_us,
            ..frame
        }));
    }
    merged.sort_by_key(|frame| frame.time_us);
    for (number, frame) in merged.iter_mut().enumerate() {
        frame.number = number;
    }
    merged
}
