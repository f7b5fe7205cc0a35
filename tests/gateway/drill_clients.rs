//! Clients that ask several nodes the same questions again and again, while something happens to the store.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use crate::node::TestNode;
use crate::request::{TestRequest, TestResponse, read_response};

/// Time between two questions of a client.
const ASK_INTERVAL: Duration = Duration::from_millis(40);

/// Time limit of a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(6);

/// A request that a client repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    pub path: &'static str,
    pub key: &'static str,
}

/// What a client got.
#[derive(Debug)]
pub struct Answer {
    /// Index of the node.
    pub node: usize,
    pub question: Question,
    pub id: String,
    pub sent: Instant,
    /// `None` if no whole response came.
    pub status: Option<StatusCode>,
}

/// All answers, in no order.
#[derive(Debug, Default)]
pub struct Answers {
    pub all: Vec<Answer>,
}

impl Answers {
    /// Those of the first nodes to a question that were sent from a moment on.
    fn since(
        &self,
        question: Question,
        from: Instant,
        nodes: usize,
    ) -> impl Iterator<Item = &Answer> {
        self.all.iter().filter(move |answer| {
            answer.question == question && answer.sent >= from && answer.node < nodes
        })
    }

    /// Fails unless each of the first `nodes` nodes was asked the question later than `from`, and all those responses
    /// are allowed.
    pub fn assert_since(
        &self,
        question: Question,
        from: Instant,
        nodes: usize,
        is_allowed: impl Fn(Option<StatusCode>) -> bool,
    ) {
        for node in 0..nodes {
            let mut asked = self.since(question, from, nodes);
            assert!(
                asked.any(|answer| answer.node == node),
                "node {node} was not asked {question:?}"
            );
        }
        let wrong: Vec<_> = self
            .since(question, from, nodes)
            .filter(|answer| !is_allowed(answer.status))
            .map(|answer| (answer.node, answer.sent - from, answer.status))
            .collect();
        let count = self.since(question, from, nodes).count();
        assert!(
            wrong.is_empty(),
            "{question:?}: {} of {count} are wrong, the first (node, time, status): {:?}",
            wrong.len(),
            &wrong[..wrong.len().min(5)]
        );
    }
}

/// Whether a question was served.
pub fn is_served(status: Option<StatusCode>) -> bool {
    status == Some(StatusCode::OK)
}

/// Whether a question was not served, however it was refused.
pub fn is_not_served(status: Option<StatusCode>) -> bool {
    !is_served(status)
}

/// Asks all questions at all nodes while a script runs; returns the answers and what the script returns.
pub async fn ask_during<T>(
    nodes: &[&TestNode],
    questions: &[Question],
    script: impl Future<Output = T>,
) -> (Answers, T) {
    let is_over = AtomicBool::new(false);
    let clients = nodes.iter().enumerate().flat_map(|(index, node)| {
        let asked = questions.iter();
        let is_over = &is_over;
        asked.map(move |question| ask_repeatedly(node, index, *question, is_over))
    });
    let scripted = async {
        let result = script.await;
        is_over.store(true, Ordering::Relaxed);
        result
    };
    let (answers, result) = tokio::join!(futures::future::join_all(clients), scripted);
    let all = answers.into_iter().flatten().collect();
    (Answers { all }, result)
}

async fn ask_repeatedly(
    node: &TestNode,
    index: usize,
    question: Question,
    is_over: &AtomicBool,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let name = question.path.trim_matches('/').replace('/', "-");
        let id = format!("{name}-{}-{index}-{}", question.key, answers.len());
        let sent = Instant::now();
        let response = ask(node, question, &id).await;
        let response = response.filter(|response| response.complete);
        answers.push(Answer {
            node: index,
            question,
            id,
            sent,
            status: response.map(|response| response.status),
        });
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    answers
}

async fn ask(node: &TestNode, question: Question, id: &str) -> Option<TestResponse> {
    let request = TestRequest::new(question.path, id).header("x-credential", question.key);
    let asking = async {
        let (_connection, response) = request.try_begin(node).await?;
        Some(read_response(response).await)
    };
    tokio::time::timeout(ASK_TIMEOUT, asking)
        .await
        .ok()
        .flatten()
}
