//! Stand-in for the object store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Method;
use web::StatusCode;

use crate::Faults;

/// In-memory stand-in for the object store; clones share the objects.
#[derive(Clone, Debug, Default)]
pub struct FakeObjects {
    objects: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    /// Faults that tests inject into calls.
    pub faults: Arc<Faults>,
}

impl FakeObjects {
    /// Names of all objects that start with `prefix`, sorted.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects
            .keys()
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Creates or overwrites an object. Tests use it to corrupt stored objects.
    pub fn overwrite(&self, name: &str, body: &[u8]) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.insert(name.to_owned(), body.to_vec());
    }

    /// Returns the stored content of an object.
    #[must_use]
    pub fn body(&self, name: &str) -> Option<Vec<u8>> {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.get(name).cloned()
    }
}

impl Handler for FakeObjects {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if let Some(refusal) = self.faults.before_call().await {
            return refusal;
        }
        let name = request.path.trim_start_matches("/v1/object/").to_owned();
        if request.method == Method::PUT {
            self.overwrite(&name, &request.body);
            return web::text(StatusCode::OK, "");
        }
        if request.path == "/v1/objects" {
            let prefix = request.parameter("prefix").unwrap_or_default();
            return web::json(StatusCode::OK, &self.names(&prefix));
        }
        match self.body(&name) {
            Some(body) => web::with_content_type(StatusCode::OK, "application/octet-stream", body),
            None => web::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }
}
