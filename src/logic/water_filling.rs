//! Water filling as in the paper "Distributed Dispatching in the Parallel Server Model": computes
//! probabilities from the heights of columns, one column for each machine, and from the amount `a`
//! that arrives. The heights and `a` may be in any unit that they share.

/// The level that `a` units of water reach when poured over the columns (Algorithm 1 of the paper).
pub fn water_level(columns: &[f64], a: f64) -> f64 {
    let mut sorted = columns.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut level = sorted.first().copied().unwrap_or(0.0);
    let mut remaining = a.max(0.0);
    for (submerged, next) in sorted.iter().enumerate().skip(1) {
        let volume = (next - level) * submerged as f64;
        if volume >= remaining {
            return level + remaining / submerged as f64;
        }
        remaining -= volume;
        level = *next;
    }
    level + remaining / sorted.len().max(1) as f64
}

/// The probability of each column when `a` units arrive (equation 14 of the paper), scaled to a sum
/// of 1. Where `a` is at most 1 or not a number, the lowest columns have equal probabilities and the
/// others have none.
pub fn water_filling_probabilities(columns: &[f64], a: f64) -> Vec<f64> {
    let level = water_level(columns, a);
    let depths: Vec<f64> = columns
        .iter()
        .map(|height| level.max(*height) - height)
        .collect();
    let submerged = depths.iter().filter(|depth| **depth > 0.0).count() as f64;
    let probability = |depth: &f64| ((depth - 1.0 / submerged) / (a - 1.0)).max(0.0);
    let mut probabilities: Vec<f64> = depths.iter().map(probability).collect();
    let mut total: f64 = probabilities.iter().sum();
    if a.is_nan() || a <= 1.0 || !total.is_finite() || total <= 0.0 {
        let lowest = columns.iter().copied().fold(f64::INFINITY, f64::min);
        probabilities = columns
            .iter()
            .map(|height| f64::from(u8::from(*height <= lowest)))
            .collect();
        total = probabilities.iter().sum();
    }
    probabilities.iter().map(|p| p / total).collect()
}
