//! Determines the sources of the inputs and the inputs that each source is read from.

use std::collections::BTreeMap;
use std::io::{Read, Seek};

use super::MergeError;
use crate::header::{Header, Source};
use crate::reader::Reader;

/// The part of a source that one input contains.
#[derive(Clone, Debug)]
pub(super) struct SourceSlice {
    pub(super) input: usize,
    /// The index among the input's sources.
    pub(super) source_index: u32,
    pub(super) source: Source,
}

/// The sources of a file; a file that is not merged is its only source.
pub(super) fn sources_of(header: &Header) -> Vec<Source> {
    if header.sources.is_empty() {
        return vec![Source {
            placer: header.placer.clone(),
            started_ms: header.started_ms,
            policy_hash: header.policy_hash.clone(),
            parts: vec![header.part],
            offset_us: 0,
            residual_error_us: None,
        }];
    }
    header.sources.clone()
}

/// Returns the slices that make up each source, in the order of sources; a slice that another one contains is left out.
pub(super) fn group_by_source<R: Read + Seek>(
    inputs: &[Reader<R>],
) -> Result<Vec<Vec<SourceSlice>>, MergeError> {
    let mut slices_by_run: BTreeMap<(String, u64), Vec<SourceSlice>> = BTreeMap::new();
    for (input, reader) in inputs.iter().enumerate() {
        if reader.header.operations.iter().any(|c| c == "anonymise") {
            return Err(MergeError::Anonymised);
        }
        for (index, source) in sources_of(&reader.header).into_iter().enumerate() {
            let run = (source.placer.clone(), source.started_ms);
            slices_by_run.entry(run).or_default().push(SourceSlice {
                input,
                source_index: index as u32,
                source,
            });
        }
    }
    let mut kept_by_source = Vec::new();
    for ((placer, started_ms), mut slices) in slices_by_run {
        slices.sort_by(|a, b| {
            b.source
                .parts
                .len()
                .cmp(&a.source.parts.len())
                .then(a.input.cmp(&b.input))
        });
        let mut kept: Vec<SourceSlice> = Vec::new();
        for slice in slices {
            let has_part = |slice: &SourceSlice, part: &u32| slice.source.parts.contains(part);
            if kept.iter().any(|kept_slice| {
                slice
                    .source
                    .parts
                    .iter()
                    .all(|part| has_part(kept_slice, part))
            }) {
                continue;
            }
            if kept.iter().any(|kept_slice| {
                slice
                    .source
                    .parts
                    .iter()
                    .any(|part| has_part(kept_slice, part))
            }) {
                return Err(MergeError::OverlappingInputs(format!(
                    "placer {placer}, started at {started_ms} ms"
                )));
            }
            kept.push(slice);
        }
        kept.sort_by_key(|slice| slice.source.parts.iter().min().copied());
        kept_by_source.push(kept);
    }
    Ok(kept_by_source)
}
