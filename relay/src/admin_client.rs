//! Client for the admin address of a running relay, used by the command line.
use actix_http::error::PayloadError;
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body, in bytes.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

/// Sends a GET request for a path, and returns the response body.
///
/// # Errors
/// The body of a response with another status than 200, or why there was no response.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, String> {
    let call = async {
        let client = awc::Client::builder().disable_redirects().finish();
        let request = client.get(format!("http://{address}{path}"));
        let mut response = request.send().await.map_err(|e| e.to_string())?;
        let body = response.body().limit(MAX_RESPONSE).await.map_err(|e: PayloadError| e.to_string())?;
        if response.status() != 200 {
            return Err(String::from_utf8_lossy(&body).trim().to_owned());
        }
        Ok(body)
    };
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).to_string()))
}
