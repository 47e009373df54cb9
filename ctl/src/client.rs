//! HTTP client for routers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::Error;

/// Upper bound on the time of a call until its whole answer has arrived.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Status and body of an answer.
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// Client that authorizes its calls with a bearer token.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Client {
    pub fn new(token: &str) -> Client {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Client { http, token: token.to_owned() }
    }

    /// Calls a URL with additional headers.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, Error> {
        let failed = |e: &dyn std::fmt::Display| Error::Failed(format!("{url}: {e}"));
        let mut request = Request::builder().method(method).uri(url);
        request = request.header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|e| failed(&e))?;
        let call = async {
            let response = self.http.request(request).await.map_err(|e| failed(&e))?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|e| failed(&e))?.to_bytes();
            Ok(Answer { status, body })
        };
        tokio::time::timeout(TIMEOUT, call).await.map_err(|e| failed(&e))?
    }

    /// Calls a URL and parses its answer as JSON. A status of 300 or more is an error.
    pub async fn json(&self, method: Method, url: &str) -> Result<serde_json::Value, Error> {
        let answer = self.call(method, url, &[], Bytes::new()).await?;
        if answer.status >= 300 {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(Error::Answer(answer.status, text));
        }
        serde_json::from_slice(&answer.body).map_err(|e| Error::Failed(format!("{url}: {e}")))
    }
}
