//! Model listing for the OpenAI-compatible API.

use domain::record::CustomerRecord;
use http::StatusCode;
use web::{WebResponse, json_response};
use wire::client_api::ErrorCode;
use wire::openai::{ModelEntry, ModelList};

use crate::error::RequestError;

fn entries(customer: &CustomerRecord) -> Vec<ModelEntry> {
    let mut entries = Vec::new();
    for grant in &customer.grants {
        entries.push(model_entry(grant.model.to_string()));
        for adapter in &grant.adapters {
            entries.push(model_entry(format!("{}:{adapter}", grant.model)));
        }
    }
    entries
}

fn model_entry(id: String) -> ModelEntry {
    ModelEntry {
        id,
        object: "model".to_owned(),
        created: 0,
        owned_by: "bramleyspring".to_owned(),
    }
}

/// Lists the models and adapters granted to a customer.
#[must_use]
pub fn list_models(customer: &CustomerRecord) -> WebResponse {
    let list = ModelList {
        object: "list".to_owned(),
        data: entries(customer),
    };
    json_response(StatusCode::OK, &list)
}

/// Returns one of the models or adapters granted to a customer.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] if the customer has no grant for it; it may exist nevertheless.
pub fn show_model(customer: &CustomerRecord, name: &str) -> Result<WebResponse, RequestError> {
    for entry in entries(customer) {
        if entry.id == name {
            return Ok(json_response(StatusCode::OK, &entry));
        }
    }
    let message = format!("model {name:?} does not exist or is not granted");
    Err(RequestError::not_run(ErrorCode::NotFound, message).with_param("path"))
}
