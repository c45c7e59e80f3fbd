//! Computes the delta between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use reedring_node_protocol::{Delta, Edit, SectionKey};

use super::section::Section;
use super::{DeltaError, check_length, check_successor, sections_of};
use crate::document::ConfigDocument;

/// The delta from one configuration to the next.
///
/// # Errors
/// If there is no delta between the two, or it is too long; see [`DeltaError`]. The caller sends the text in full then.
pub fn between(base: &ConfigDocument, target: &ConfigDocument) -> Result<Delta, DeltaError> {
    check_successor(base.version(), target.version())?;
    let (old, new) = (sections_of(base)?, sections_of(target)?);
    let mut edits = removals(&old, &new);
    edits.extend(puts(&old, &new));
    let delta = Delta {
        base: base.version(),
        target: target.version(),
        edits,
    };
    check_length(&delta)?;
    Ok(delta)
}

/// The delta from one configuration to the next, if its encoding is shorter than the text of the next one.
pub fn shorter_than_text(base: &ConfigDocument, target: &ConfigDocument) -> Option<Delta> {
    between(base, target)
        .ok()
        .filter(|delta| delta.encoded_len() < target.text().len())
}

/// A removal for each section that only the base has.
fn removals(old: &[Section<'_>], new: &[Section<'_>]) -> Vec<Edit> {
    let new_keys: BTreeSet<&SectionKey> = new.iter().map(|section| &section.key).collect();
    let removed = old
        .iter()
        .filter(|section| !new_keys.contains(&section.key));
    removed
        .map(|section| Edit::Remove {
            key: section.key.clone(),
        })
        .collect()
}

/// A put for each section that is new, changed or moved. The unchanged sections that count as not moved are a longest
/// subsequence that is in the same order in both texts, so that there are as few puts as possible.
fn puts(old: &[Section<'_>], new: &[Section<'_>]) -> Vec<Edit> {
    let old_positions: BTreeMap<&SectionKey, usize> = old
        .iter()
        .enumerate()
        .map(|(position, section)| (&section.key, position))
        .collect();
    let unchanged_position = |section: &Section<'_>| {
        let position = old_positions.get(&section.key).copied()?;
        (old[position].text == section.text).then_some(position)
    };
    let unchanged: Vec<usize> = new.iter().filter_map(unchanged_position).collect();
    let in_place = longest_increasing(&unchanged);
    let mut puts = Vec::new();
    for (position, section) in new.iter().enumerate() {
        if unchanged_position(section).is_none_or(|old| !in_place.contains(&old)) {
            puts.push(Edit::Put {
                key: section.key.clone(),
                at: position as u16,
                text: section.text.to_owned(),
            });
        }
    }
    puts
}

/// The values of a longest increasing subsequence of `positions`, which are distinct.
fn longest_increasing(positions: &[usize]) -> BTreeSet<usize> {
    // `ends[n]` is the index of the last element of an increasing subsequence of length n + 1: of all such
    // subsequences, the one with the smallest last value.
    let mut ends = Vec::<usize>::new();
    let mut predecessors = vec![None; positions.len()];
    for (index, position) in positions.iter().enumerate() {
        let length = ends.partition_point(|end| positions[*end] < *position);
        predecessors[index] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(index);
        } else {
            ends[length] = index;
        }
    }
    let mut longest = BTreeSet::new();
    let mut next = ends.last().copied();
    while let Some(index) = next {
        longest.insert(positions[index]);
        next = predecessors[index];
    }
    longest
}
