//! Posts notices to the platform.
//!
//! Each post has a connection of its own: an acknowledgement does not name the post that it is for, so on a used connection it could be
//! a copy of an earlier one (`attribution.rs`). A post that is not answered soon is repeated beside it, since the end of a job is due at
//! its deadline and a repeated notice does no harm.
use awc::Client;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::{sleep, timeout};

/// How many batches of notices may be in flight at once, and the size of the largest: request bodies are limited to 64 KiB.
const MAX_BATCHES: usize = 8;
const MAX_POST_SIZE: usize = 60_000;
/// How long the platform may take to acknowledge a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How many times a batch is posted at once.
const MAX_POSTS_IN_FLIGHT: usize = 3;
/// A post is repeated once it has taken twice as long as the last one that was answered, but not sooner than this.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(150);
const REPEAT_DELAY_MULTIPLE: u32 = 2;
/// How many bytes of the body of an acknowledgement are read.
const MAX_RESPONSE_BODY: usize = 64 * 1024;

type ResultSender = oneshot::Sender<Result<(), String>>;
type Batch = Vec<(Vec<u8>, ResultSender)>;

/// Why notices were not acknowledged.
#[derive(Clone)]
enum PostError {
    /// The platform cannot parse them. This is a bug in the relay, so they are not sent again.
    Rejected,
    Failed(String),
}

/// Sends notices, several in one post where several wait.
pub struct NoticePoster {
    client: RefCell<Client>,
    /// Notices that are still to be sent, and where to report the result.
    outbox: RefCell<VecDeque<(Vec<u8>, ResultSender)>>,
    batch_permits: Semaphore,
    /// How long the last answered post took.
    answer_time: Cell<Duration>,
}

impl NoticePoster {
    pub fn new(client: Client) -> Self {
        NoticePoster {
            client: RefCell::new(client),
            outbox: RefCell::default(),
            batch_permits: Semaphore::new(MAX_BATCHES),
            answer_time: Cell::default(),
        }
    }

    /// Uses another client from now on.
    pub fn set_client(&self, client: Client) {
        self.client.replace(client);
    }

    /// Delivers an encoded notice to the platform at this address; completes once it is acknowledged.
    ///
    /// # Errors
    /// Why it was not acknowledged.
    pub async fn deliver(&self, address: SocketAddr, notice: Vec<u8>) -> Result<(), String> {
        let (result_sender, mut result_receiver) = oneshot::channel();
        self.outbox.borrow_mut().push_back((notice, result_sender));
        // Guards against a connection for each notice, above all after a restart: only a few batches are in flight at once, and each
        // takes all notices that are queued by then.
        let permit = self.batch_permits.acquire().await.map_err(|e| e.to_string())?;
        loop {
            match result_receiver.try_recv() {
                Ok(result) => return result,
                Err(TryRecvError::Closed) => return Err("the notice was dropped".into()),
                Err(TryRecvError::Empty) => {}
            }
            let batch = self.take_batch();
            if batch.is_empty() {
                // Another post has taken the notice.
                drop(permit);
                return result_receiver.await.map_err(|e| e.to_string())?;
            }
            self.send_batch(address, batch).await;
        }
    }

    /// Takes as many notices from the outbox as fit into one post.
    fn take_batch(&self) -> Batch {
        let mut outbox = self.outbox.borrow_mut();
        let mut size = 0;
        let fits = |(notice, _): &&(Vec<u8>, ResultSender)| {
            size += notice.len();
            size <= MAX_POST_SIZE
        };
        let count = outbox.iter().take_while(fits).count();
        outbox.drain(..count).collect()
    }

    /// Sends notices in one post, or each on its own if the platform rejects the post.
    async fn send_batch(&self, address: SocketAddr, batch: Batch) {
        let single = batch.len() == 1;
        let all =
            self.post_until_answered(address, batch.iter().flat_map(|(notice, _)| notice).copied().collect());
        let all = all.await;
        for (notice, result_sender) in batch {
            let result = match &all {
                Err(PostError::Rejected) if !single => self.post_until_answered(address, notice).await,
                all => all.clone(),
            };
            let result = match result {
                Ok(()) | Err(PostError::Rejected) => Ok(()),
                Err(PostError::Failed(e)) => Err(e),
            };
            // The receiver is gone if the job has ended meanwhile.
            let _ = result_sender.send(result);
        }
    }

    /// Posts a body, and posts it again beside the earlier posts while none of them is answered.
    async fn post_until_answered(&self, address: SocketAddr, body: Vec<u8>) -> Result<(), PostError> {
        let delay = (self.answer_time.get() * REPEAT_DELAY_MULTIPLE).max(MIN_REPEAT_DELAY);
        let mut posts = FuturesUnordered::new();
        posts.push(self.post(address, body.clone()));
        let answered = async {
            loop {
                tokio::select! {
                    biased;
                    Some(result) = posts.next() => match result {
                        // Another post may still be answered.
                        Err(PostError::Failed(_)) if !posts.is_empty() => {}
                        result => return result,
                    },
                    () = sleep(delay), if posts.len() < MAX_POSTS_IN_FLIGHT => {
                        tracing::debug!(?delay, "a post of notices is not answered yet; posting it again");
                        posts.push(self.post(address, body.clone()));
                    }
                }
            }
        };
        let no_answer = || Err(PostError::Failed("no answer".into()));
        timeout(NOTICE_TIMEOUT, answered).await.unwrap_or_else(|_| no_answer())
    }

    /// Posts a body on a new connection.
    async fn post(&self, address: SocketAddr, body: Vec<u8>) -> Result<(), PostError> {
        let begun = Instant::now();
        // Closed after the answer: no other post is answered on it.
        let request =
            self.client.borrow().post(format!("http://{address}/reports")).force_close().no_decompress();
        let mut response = request.send_body(body).await.map_err(|e| PostError::Failed(e.to_string()))?;
        self.answer_time.set(begun.elapsed());
        let _ = response.body().limit(MAX_RESPONSE_BODY).await;
        match response.status().as_u16() {
            204 => Ok(()),
            400 => {
                tracing::error!("the platform rejected notices as invalid; an invalid one is not sent again");
                Err(PostError::Rejected)
            }
            other => Err(PostError::Failed(format!("status {other}"))),
        }
    }
}
