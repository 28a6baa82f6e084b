//! The sources of the inputs, and which input each is read from.

use std::collections::BTreeMap;
use std::io::{Read, Seek};

use super::MergeError;
use crate::header::{Header, Source};
use crate::reader::Reader;

/// A source as one input has it.
#[derive(Clone, Debug)]
pub(super) struct SourceSlice {
    pub(super) input: usize,
    /// Its place among the input's sources.
    pub(super) source_index: u32,
    pub(super) source: Source,
}

/// The sources of a file: itself, if it was never merged.
pub(super) fn sources_of(header: &Header) -> Vec<Source> {
    if header.sources.is_empty() {
        return vec![Source {
            placer: header.placer.clone(),
            started_ms: header.started_ms,
            module: header.module.clone(),
            parts: vec![header.part],
            offset_us: 0,
            error_us: None,
        }];
    }
    header.sources.clone()
}

/// Which pieces make up each source, in the order of sources; what another input holds as a whole is left out.
pub(super) fn group_by_source<R: Read + Seek>(
    inputs: &[Reader<R>],
) -> Result<Vec<Vec<SourceSlice>>, MergeError> {
    let mut all: BTreeMap<(String, u64), Vec<SourceSlice>> = BTreeMap::new();
    for (input, reader) in inputs.iter().enumerate() {
        if reader.header.changed.iter().any(|c| c == "anonymise") {
            return Err(MergeError::Anonymised);
        }
        for (index, source) in sources_of(&reader.header).into_iter().enumerate() {
            let run = (source.placer.clone(), source.started_ms);
            all.entry(run).or_default().push(SourceSlice {
                input,
                source_index: index as u32,
                source,
            });
        }
    }
    let mut chosen = Vec::new();
    for ((placer, started_ms), mut pieces) in all {
        pieces.sort_by(|a, b| {
            b.source
                .parts
                .len()
                .cmp(&a.source.parts.len())
                .then(a.input.cmp(&b.input))
        });
        let mut kept: Vec<SourceSlice> = Vec::new();
        for piece in pieces {
            let has = |p: &SourceSlice, part: &u32| p.source.parts.contains(part);
            if kept
                .iter()
                .any(|k| piece.source.parts.iter().all(|part| has(k, part)))
            {
                continue;
            }
            if kept
                .iter()
                .any(|k| piece.source.parts.iter().any(|part| has(k, part)))
            {
                return Err(MergeError::OverlappingInputs(format!(
                    "{placer}, started at {started_ms}"
                )));
            }
            kept.push(piece);
        }
        kept.sort_by_key(|p| p.source.parts.iter().min().copied());
        chosen.push(kept);
    }
    Ok(chosen)
}
