//! What is written to a caller: server-sent events, or one whole body.

use base::prelude::*;
use bytes::Bytes;
use journal::record::FinishReason;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use web::{BodySender, Response, StreamCut, reply};

use crate::errors::CallerError;

/// One thing to write.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tokens from an offset on.
    Tokens {
        /// The generation.
        generation: GenerationId,
        /// The offset of the first.
        from: Offset,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// A sign that the request goes on.
    KeepAlive,
    /// What was written before belongs to a generation that cannot be continued.
    Restart(GenerationId),
    /// The output is whole.
    Done {
        /// The generation.
        generation: GenerationId,
        /// The number of tokens.
        length: Offset,
        /// Why it ended.
        end: FinishReason,
    },
    /// The output ends here without being whole.
    Failed(CallerError),
}

/// Writes output as server-sent events until it ends or the caller is gone.
pub async fn write_events(mut output: mpsc::Receiver<Output>, model: String, mut body: BodySender) {
    while let Some(item) = output.recv().await {
        let (piece, is_last) = event(&item, &model);
        if body.send_data(Bytes::from(piece)).await.is_err() {
            return;
        }
        if is_last {
            return;
        }
    }
    // The driver ended without a last event; the caller must not take this for the end.
    body.abort(StreamCut);
}

/// Collects the whole output into one response.
pub async fn collect(mut output: mpsc::Receiver<Output>, model: &str) -> Option<Response> {
    let mut text = String::new();
    while let Some(item) = output.recv().await {
        match item {
            Output::Tokens { tokens, .. } => text.extend(tokens.iter().map(|t| t.text.as_str())),
            Output::Restart(_) => text.clear(),
            Output::KeepAlive => {}
            Output::Failed(error) => return Some(error.response()),
            Output::Done {
                generation,
                length,
                end,
            } => {
                let mut body = chunk(generation, model, &text, Some(end));
                body["usage"] = json!({ "completion_tokens": length });
                return Some(reply::json(hyper::StatusCode::OK, &body));
            }
        }
    }
    None
}

/// One event, and whether it is the last.
fn event(item: &Output, model: &str) -> (String, bool) {
    match item {
        Output::Tokens {
            generation,
            from,
            tokens,
        } => {
            let next = from.0 + tokens.len() as u64;
            let text: String = tokens.iter().map(|t| t.text.as_str()).collect();
            let data = chunk(*generation, model, &text, None);
            (format!("id: {generation}:{next}\ndata: {data}\n\n"), false)
        }
        Output::KeepAlive => (": keep-alive\n\n".to_owned(), false),
        Output::Restart(generation) => {
            let data = json!({
                "generation": generation,
                "message": "the output so far cannot be continued; drop it, a new one follows",
            });
            let id = format!("{generation}:0");
            (format!("id: {id}\nevent: restart\ndata: {data}\n\n"), false)
        }
        Output::Done {
            generation,
            length,
            end,
        } => {
            let data = chunk(*generation, model, "", Some(*end));
            let id = format!("{generation}:{length}");
            (format!("id: {id}\ndata: {data}\n\ndata: [DONE]\n\n"), true)
        }
        Output::Failed(error) => {
            let data = serde_json::to_string(error).unwrap_or_default();
            (format!("event: error\ndata: {data}\n\n"), true)
        }
    }
}

/// A piece of output in the usual shape of completions.
fn chunk(generation: GenerationId, model: &str, text: &str, end: Option<FinishReason>) -> Value {
    json!({
        "id": generation,
        "object": "text_completion",
        "model": model,
        "choices": [{
            "index": 0,
            "text": text,
            "finish_reason": end.map(FinishReason::as_str),
        }],
    })
}
