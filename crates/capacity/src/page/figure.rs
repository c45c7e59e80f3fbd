//! Figures as the page prints them: three significant digits, a prefix and a unit.

use crate::measurement::Quantity;

const SIGNIFICANT_DIGITS: i32 = 3;
/// Smaller numbers than this are printed with an exponent.
const SMALLEST_PLAIN: f64 = 0.001;

/// A unit as printed, and how many of the quantity's own unit it is.
struct PrintedUnit {
    size: f64,
    name: &'static str,
}

const fn unit(size: f64, name: &'static str) -> PrintedUnit {
    PrintedUnit { size, name }
}

/// Smallest first. Memory has binary units, traffic decimal ones.
const PERCENT: [PrintedUnit; 1] = [unit(0.01, "%")];
const BINARY_BYTES: [PrintedUnit; 4] = [
    unit(1.0, "B"),
    unit(1_024.0, "KiB"),
    unit(1_048_576.0, "MiB"),
    unit(1_073_741_824.0, "GiB"),
];
const BYTES: [PrintedUnit; 4] = [
    unit(1.0, "B"),
    unit(1e3, "KB"),
    unit(1e6, "MB"),
    unit(1e9, "GB"),
];
const BYTES_PER_SECOND: [PrintedUnit; 4] = [
    unit(1.0, "B/s"),
    unit(1e3, "KB/s"),
    unit(1e6, "MB/s"),
    unit(1e9, "GB/s"),
];
const SECONDS: [PrintedUnit; 4] = [
    unit(1e-9, "ns"),
    unit(1e-6, "µs"),
    unit(1e-3, "ms"),
    unit(1.0, "s"),
];
const MESSAGES: [PrintedUnit; 1] = [unit(1.0, "messages")];
const MESSAGES_PER_SECOND: [PrintedUnit; 1] = [unit(1.0, "messages/s")];
const DESCRIPTORS: [PrintedUnit; 1] = [unit(1.0, "descriptors")];

fn units(quantity: Quantity) -> &'static [PrintedUnit] {
    match quantity {
        Quantity::ProcessorShare => &PERCENT,
        Quantity::ResidentBytes => &BINARY_BYTES,
        Quantity::BytesPerSecond => &BYTES_PER_SECOND,
        Quantity::MessagesPerSecond => &MESSAGES_PER_SECOND,
        Quantity::Descriptors => &DESCRIPTORS,
        Quantity::ProcessorSecondsPerEvent | Quantity::SecondsUntilEffective => &SECONDS,
        Quantity::BytesPerEvent => &BYTES,
        Quantity::MessagesPerEvent => &MESSAGES,
    }
}

/// Prints a value of a quantity with its unit.
pub(super) fn with_unit(quantity: Quantity, value: f64) -> String {
    let units = units(quantity);
    let printed_unit = units
        .iter()
        .rev()
        .find(|unit| value.abs() >= unit.size)
        .unwrap_or(&units[0]);
    format!("{} {}", plain(value / printed_unit.size), printed_unit.name)
}

/// Prints a number without a unit.
pub(super) fn plain(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    if value.abs() < SMALLEST_PLAIN {
        return format!("{value:.*e}", SIGNIFICANT_DIGITS as usize - 1);
    }
    let digits_before_point = value.abs().log10().floor() as i32 + 1;
    let decimals = (SIGNIFICANT_DIGITS - digits_before_point).max(0);
    format!("{value:.*}", decimals as usize)
}
