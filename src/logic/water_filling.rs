//! Water filling as in the paper: from columns to probabilities. It knows numbers only, not what they mean.

/// The level to which `a` units of water rise over the columns (Algorithm 1 of the paper).
pub fn water_level(columns: &[f64], a: f64) -> f64 {
    let mut sorted = columns.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut level, mut left) = (sorted.first().copied().unwrap_or(0.0), a.max(0.0));
    for (under, next) in sorted.iter().enumerate().skip(1) {
        let rise = (next - level) * under as f64;
        if rise >= left {
            return level + left / under as f64;
        }
        left -= rise;
        level = *next;
    }
    level + left / sorted.len().max(1) as f64
}

/// The probability of each column (eq. 14), rescaled to sum to 1; up to an `a` of 1 the lowest share evenly.
pub fn water_filling_probabilities(columns: &[f64], a: f64) -> Vec<f64> {
    let level = water_level(columns, a);
    let gaps: Vec<f64> = columns.iter().map(|q| level.max(*q) - q).collect();
    let k = gaps.iter().filter(|gap| **gap > 0.0).count() as f64;
    let probability = |gap: &f64| ((gap - 1.0 / k) / (a - 1.0)).max(0.0);
    let mut p: Vec<f64> = gaps.iter().map(probability).collect();
    let mut total: f64 = p.iter().sum();
    if a.is_nan() || a <= 1.0 || !total.is_finite() || total <= 0.0 {
        let lowest = columns.iter().copied().fold(f64::INFINITY, f64::min);
        p = columns
            .iter()
            .map(|q| f64::from(u8::from(*q <= lowest)))
            .collect();
        total = p.iter().sum();
    }
    p.iter().map(|p| p / total).collect()
}
