//! The API as `docs/openapi.json` describes it.

use serde_json::Value;

use super::PlacerProcess;

fn openapi_document() -> Value {
    serde_json::from_str(include_str!("../../../../docs/openapi.json")).expect("valid JSON")
}

/// Returns the first mismatch of a body with a schema.
fn schema_mismatch(doc: &Value, schema: &Value, body: &Value, at: &str) -> Option<String> {
    if let Some(reference) = schema["$ref"].as_str() {
        let target = doc
            .pointer(reference.trim_start_matches('#'))
            .expect("schema is defined");
        return schema_mismatch(doc, target, body, at);
    }
    let fits = |kind: &str| match kind {
        "object" => body.is_object(),
        "array" => body.is_array(),
        "string" => body.is_string(),
        "integer" => body.is_u64() || body.is_i64(),
        "number" => body.is_number(),
        "boolean" => body.is_boolean(),
        "null" => body.is_null(),
        other => panic!("unsupported schema type {other}"),
    };
    let type_matches = match &schema["type"] {
        Value::String(kind) => fits(kind),
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).any(fits),
        _ => true,
    };
    if !type_matches {
        return Some(format!("{at}: got {body}, expected {}", schema["type"]));
    }
    if let Some(allowed) = schema["enum"].as_array()
        && !allowed.contains(body)
    {
        return Some(format!("{at}: got {body}, expected one of {allowed:?}"));
    }
    for field in schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
    {
        if body.get(field).is_none() {
            return Some(format!("{at}: required field {field} is missing"));
        }
    }
    if let (Some(properties), Some(fields)) = (schema["properties"].as_object(), body.as_object()) {
        for (name, value) in fields {
            let Some(schema) = properties.get(name) else {
                return Some(format!("{at}: field {name} is not documented"));
            };
            if let Some(mismatch) = schema_mismatch(doc, schema, value, &format!("{at}.{name}")) {
                return Some(mismatch);
            }
        }
    }
    let items = body.as_array().into_iter().flatten();
    items
        .filter_map(|item| schema_mismatch(doc, &schema["items"], item, at))
        .next()
}

/// A placer's API, with a check of each response against the OpenAPI document.
pub struct DocumentedApi<'a> {
    pub document: Value,
    pub placer: &'a PlacerProcess,
}

impl DocumentedApi<'_> {
    pub fn of(placer: &PlacerProcess) -> DocumentedApi<'_> {
        DocumentedApi {
            document: openapi_document(),
            placer,
        }
    }

    /// Sends a request, and checks the response against the document's entry for `path`.
    pub fn call(&self, path: &str, method: &str, target: &str, body: &str) -> (u16, Value) {
        let (status, answer) = self.placer.client().call(method, target, body);
        let responses = &self.document["paths"][path][method.to_lowercase()]["responses"];
        let response = &responses[status.to_string()];
        assert!(
            response.is_object(),
            "{method} {target}: status {status} is not documented: {answer}"
        );
        let content = response["content"]
            .as_object()
            .and_then(|c| c.values().next())
            .expect("content of the response");
        assert_eq!(
            schema_mismatch(&self.document, &content["schema"], &answer, target),
            None,
            "{answer}"
        );
        (status, answer)
    }

    pub fn get(&self, path: &str, target: &str) -> (u16, Value) {
        self.call(path, "GET", target, "")
    }

    pub fn place(&self, body: &str) -> (u16, Value) {
        self.call("/v1/actors", "POST", "/v1/actors", body)
    }

    /// Requests a placement while `host_answers` runs.
    pub fn place_while(&self, body: &str, host_answers: impl FnOnce()) -> (u16, Value) {
        std::thread::scope(|scope| {
            let answer = scope.spawn(|| self.place(body));
            host_answers();
            answer.join().expect("request thread ends")
        })
    }
}
