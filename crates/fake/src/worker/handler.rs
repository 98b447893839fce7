//! HTTP interface of a stand-in worker.

use std::time::Duration;

use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::StatusCode;
use worker::Claim;
use worker::Poll;
use worker::Refusal;
use worker::Start;
use worker::Stop;

use super::FakeWorker;

/// Interval at which a paused worker checks whether it has been resumed.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Handler for FakeWorker {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        loop {
            let behaviour = self.lock().behaviour;
            if !behaviour.paused {
                tokio::time::sleep(behaviour.latency).await;
                break;
            }
            tokio::time::sleep(PAUSE_CHECK_INTERVAL).await;
        }
        let body = &request.body;
        match request.path.as_str() {
            "/v1/claim" => match serde_json::from_slice::<Claim>(body) {
                Ok(claim) => reply(self.claim(&claim)),
                Err(error) => bad_request(&error),
            },
            "/v1/start" => match serde_json::from_slice::<Start>(body) {
                Ok(start) => self.start_delayed(start).await,
                Err(error) => bad_request(&error),
            },
            "/v1/stop" => match serde_json::from_slice::<Stop>(body) {
                Ok(stop) => reply(self.stop(&stop)),
                Err(error) => bad_request(&error),
            },
            "/v1/poll" => match serde_json::from_slice::<Poll>(body) {
                Ok(poll) => reply(self.poll(&poll).await),
                Err(error) => bad_request(&error),
            },
            _ => web::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl FakeWorker {
    /// Handles a start call after the start delay, even if the sender closes the
    /// connection before.
    async fn start_delayed(&self, start: Start) -> HttpResponse {
        let delay = self.lock().behaviour.start_delay;
        if delay.is_zero() {
            return reply(self.start(&start));
        }
        let worker = self.clone();
        let delivery = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            worker.start(&start)
        });
        match delivery.await {
            Ok(result) => reply(result),
            Err(error) => web::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }
}

fn reply<T: serde::Serialize>(result: Result<T, Refusal>) -> HttpResponse {
    match result {
        Ok(value) => web::json(StatusCode::OK, &value),
        Err(refusal) => web::json(StatusCode::CONFLICT, &refusal),
    }
}

fn bad_request(error: &serde_json::Error) -> HttpResponse {
    web::error(StatusCode::BAD_REQUEST, &error.to_string())
}
