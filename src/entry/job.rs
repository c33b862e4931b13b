//! Builds the job of a request for `decide::flow` and checks it against the configuration in force.

use xxhash_rust::xxh3;

use crate::config::service::Kind;
use crate::config::service::Service;
use crate::decide::flow::Job;
use crate::decide::flow::Target;
use crate::edge::caller;
use crate::edge::caller::Code;
use crate::edge::caller::Completion;
use crate::edge::caller::Refused;
use crate::entry::Entry;
use crate::entry::plain::Call;
use crate::entry::serve::Head;

/// Bytes of a prompt that are estimated as one token; English and German text have about four.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of a prompt in one block of the prefix hash: 64 tokens. Cache blocks of engines have 16 to
/// 64 tokens, and longer blocks need fewer table rows.
const PREFIX_BLOCK_BYTES: usize = 64 * BYTES_PER_TOKEN;
/// Maximum number of hashed blocks: 16 KB of prompt. Hashing more gains no further cache affinity.
const MAX_PREFIX_BLOCKS: usize = 64;

/// Returns the job of a completion request, or a refusal if no service in force has its model and
/// adapter.
pub fn completion(entry: &Entry, head: &Head, req: &Completion) -> Result<Job, Refused> {
    entry.check_ready()?;
    let current = entry.in_force();
    let config = &current.snapshot;
    let Some((service, model)) = config.model(&req.model) else {
        let text = format!("no service in force has the model `{}`; see GET /v1/models", req.model);
        return Err(Refused::new(Code::UnknownModel, text));
    };
    debug_assert_eq!(service.kind, Kind::Engine);
    if let Some(adapter) = &req.adapter
        && !model.adapters.iter().any(|known| known.name == *adapter)
    {
        let text =
            format!("the model `{}` has no adapter `{adapter}`; see GET /v1/models", req.model);
        return Err(Refused::new(Code::UnknownAdapter, text));
    }
    let target = Target::Model(req.model.clone(), req.adapter.clone());
    Ok(Job {
        id: entry.next_number(),
        service: service.name.clone(),
        target,
        caller: head.caller.clone(),
        class: service.class,
        deadline: head.deadline(service),
        prompt_tokens: (req.prompt.len() / BYTES_PER_TOKEN) as u32,
        max_tokens: req.max_tokens,
        prefix_hashes: prefix_hashes(&req.prompt),
        fingerprint: fingerprint(req),
        repeatable: true,
    })
}

fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let mut hash = 0;
    let blocks = bytes.chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_BLOCKS);
    blocks
        .map(|block| {
            hash = xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

fn fingerprint(req: &Completion) -> u64 {
    let seed = xxh3::xxh3_64(req.prompt.as_bytes());
    let adapter = req.adapter.as_deref().unwrap_or_default();
    xxh3::xxh3_64_with_seed(format!("{}:{adapter}:{}", req.model, req.max_tokens).as_bytes(), seed)
}

/// Returns the job of a plain call, or a refusal if its service is not in force or a required key
/// is missing.
pub fn plain(entry: &Entry, head: &Head, call: &Call) -> Result<Job, Refused> {
    entry.check_ready()?;
    let current = entry.in_force();
    let config = &current.snapshot;
    let service = config.service(&call.service);
    let Some(service) = service.filter(|service| service.kind == Kind::Plain) else {
        let text = format!("no plain service `{}` is in force", call.service);
        return Err(Refused::new(Code::UnknownService, text));
    };
    if !service.repeatable && call.key.is_none() {
        let text =
            format!("calls to `{}` need the header {}", call.service, caller::IDEMPOTENCY_KEY);
        return Err(Refused::new(Code::KeyRequired, text));
    }
    Ok(plain_job(entry, head, call, service))
}

fn plain_job(entry: &Entry, head: &Head, call: &Call, service: &Service) -> Job {
    Job {
        id: entry.next_number(),
        service: service.name.clone(),
        target: Target::Service(service.name.clone()),
        caller: head.caller.clone(),
        class: service.class,
        deadline: head.deadline(service),
        prompt_tokens: 0,
        max_tokens: 0,
        prefix_hashes: Vec::new(),
        fingerprint: call.digest(),
        repeatable: service.repeatable,
    }
}
