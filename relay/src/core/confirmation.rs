//! Answers that are not certain yet: a delivery or a refusal was read, but the transport may learn that it was not meant for this claim.
//! The transport holds the [`ConfirmationSender`]; the job keeps its record until the verdict.
use tokio::sync::oneshot;

/// What became of an unconfirmed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Confirmed,
    /// The claim may have run or not: the answer may have been another claim's.
    InDoubt,
}

/// Confirms an answer. Dropping it leaves the answer in doubt.
#[derive(Debug)]
pub struct ConfirmationSender(oneshot::Sender<()>);

/// The pending confirmation of an answer.
#[derive(Debug)]
pub struct Confirmation(oneshot::Receiver<()>);

/// A pending confirmation and its sender.
pub fn confirmation() -> (ConfirmationSender, Confirmation) {
    let (sender, receiver) = oneshot::channel();
    (ConfirmationSender(sender), Confirmation(receiver))
}

impl ConfirmationSender {
    pub fn confirm(self) {
        // The receiver is gone if the job has ended meanwhile.
        let _ = self.0.send(());
    }
}

impl Confirmation {
    /// Waits for the verdict.
    pub async fn verdict(self) -> Verdict {
        match self.0.await {
            Ok(()) => Verdict::Confirmed,
            Err(_) => Verdict::InDoubt,
        }
    }
}
