//! Responses to callers: server-sent events, or a single JSON body.

use base::prelude::*;
use bytes::Bytes;
use journal::record::FinishReason;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use web::{BodySender, Response, StreamCut, reply};

use crate::errors::CallerError;

/// One item of output, from the driver to the writer of the response.
#[derive(Clone, Debug)]
pub enum Output {
    /// Consecutive tokens.
    Tokens {
        /// Generation of the tokens.
        generation: GenerationId,
        /// Offset of the first token.
        from: Offset,
        /// The tokens, in the order of their offsets.
        tokens: Vec<Token>,
    },
    /// Written while there are no tokens, so that the connection is not taken for idle.
    KeepAlive,
    /// A new generation starts; the caller must discard the output so far.
    Restart(GenerationId),
    /// The output is complete.
    Done {
        /// Generation of the last token.
        generation: GenerationId,
        /// Total number of tokens.
        length: Offset,
        /// Why the output ended.
        end: FinishReason,
    },
    /// The output ends before it is complete.
    Failed(CallerError),
}

/// Writes output as server-sent events until it ends or the caller disconnects.
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
    // The driver ended without a final item: abort the body, so that the caller does not take the
    // output for complete.
    body.abort(StreamCut);
}

/// Collects the output into one response; `None` if the driver ends without a final item.
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

/// One server-sent event, and whether it is the last.
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
                "message": "the output so far cannot be continued; discard it, a new one follows",
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

/// A completion object (`text_completion`) with a piece of the output.
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
