//! A complete example system for new users: starts it, sends one chat and one non-repeatable call,
//! and stops it.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{OptionExt, WrapErr};
use http_body_util::BodyExt;
use serde::Serialize;
use serde_json::json;

use crate::deployment::{CallerConfig, Deployment};
use crate::interrupt::ShutdownSignals;
use crate::options::QuickstartOptions;
use crate::stack::{OPERATOR_KEY, StackPlan, StackProcess, TestStack};

const PROCESSES_FILE: &str = "processes.json";
const CALLERS_FILE: &str = "callers.json";

/// Short, because no load balancer has to notice that these entries stop.
const DRAIN_GRACE: &str = "200ms";

/// A process in `processes.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct ProcessInfo {
    name: String,
    role: &'static str,
    pid: u32,
    address: String,
}

/// An entry in `callers.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct EntryAddress {
    name: String,
    base_url: String,
    openai_base_url: String,
    admin: String,
}

/// Content of `callers.json`: the addresses, keys and paths that a caller needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct CallerInfo {
    entries: Vec<EntryAddress>,
    customer_key: String,
    operator_key: String,
    model: String,
    non_repeatable_path: String,
    repeatable_path: String,
}

/// Runs the quickstart.
///
/// # Errors
///
/// Returns an error if the server binary is not built next to this program, or a call fails.
pub async fn run(options: QuickstartOptions) -> eyre::Result<()> {
    let mut signals = ShutdownSignals::catch()?;
    let deployment = options.deployment;
    let mut stack = tokio::select! {
        stack = start(deployment) => stack?,
        () = signals.wait() => return Ok(()),
    };
    let callers = deployment.callers()?;
    let result = tokio::select! {
        result = try_calls(&stack, deployment, &callers) => result,
        () = signals.wait() => Ok(()),
    };
    if options.keep && result.is_ok() {
        let files = write_info_files(&options.folder, &stack, &callers)?;
        println!(
            "\nrunning until interrupted; see {}",
            options.folder.display()
        );
        signals.wait().await;
        for file in files {
            let _ = std::fs::remove_file(file);
        }
    }
    stack.stop();
    println!("all processes are stopped");
    result
}

async fn start(deployment: Deployment) -> eyre::Result<TestStack> {
    let program = std::env::current_exe().wrap_err("can't determine the path of this program")?;
    let binary = program.with_file_name("bramleyspring");
    eyre::ensure!(
        binary.exists(),
        "{} is not built: run scripts/quickstart",
        binary.display()
    );
    println!("starting two replicas of four hosts, three service instances and three entries");
    let stack = StackPlan::new("quickstart", binary)
        .deployment(deployment)
        .services(3)
        .fabrics(2)
        .domains(&deployment.domains())
        .weights(&[])
        .settings("entry", json!({ "drain_grace": DRAIN_GRACE }))
        .start()
        .await;
    println!("all entries are serving");
    Ok(stack)
}

async fn try_calls(
    stack: &TestStack,
    deployment: Deployment,
    callers: &CallerConfig,
) -> eyre::Result<()> {
    let prompts = deployment.prompts();
    let prompt = prompts.first().ok_or_eyre("the example has no prompt")?;
    println!("\n{prompt}");
    stream_chat(stack, &callers.model, prompt).await?;
    let calls = deployment.calls()?;
    let call = calls.first().ok_or_eyre("the example has no call")?;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let key = format!("quickstart-{}", since_epoch.as_millis());
    let path = callers.non_repeatable_path();
    println!("\nPOST {path}\n{call}");
    let response = stack
        .try_call(1, &path, &[("idempotency-key", &key)], call)
        .await?;
    println!("{}: {}", response.status, response.text());
    eyre::ensure!(response.status.is_success(), "the call was refused");
    Ok(())
}

async fn stream_chat(stack: &TestStack, model: &str, prompt: &str) -> eyre::Result<()> {
    let body = json!({
        "model": model, "stream": true, "max_tokens": 16,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let response = stack.open(0, "/v1/chat/completions", &[], &body).await?;
    let status = response.status();
    let mut body = response.into_body();
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        std::io::stdout().write_all(&data)?;
        received.extend_from_slice(&data);
    }
    eyre::ensure!(status.is_success(), "the completion was refused: {status}");
    let text = String::from_utf8_lossy(&received);
    eyre::ensure!(
        text.trim_end().ends_with("data: [DONE]"),
        "the stream ended without [DONE]"
    );
    Ok(())
}

fn write_info_files(
    folder: &Path,
    stack: &TestStack,
    callers: &CallerConfig,
) -> eyre::Result<[PathBuf; 2]> {
    std::fs::create_dir_all(folder)
        .wrap_err_with(|| format!("can't create {}", folder.display()))?;
    let processes = folder.join(PROCESSES_FILE);
    let file = folder.join(CALLERS_FILE);
    write_json(&file, &caller_info(stack, callers)?)?;
    write_json(&processes, &process_infos(stack))?;
    Ok([processes, file])
}

/// Writes to a temporary file and renames it, so that a reader never sees a partial file.
fn write_json<T: Serialize>(path: &Path, value: &T) -> eyre::Result<()> {
    let temporary = path.with_extension("new");
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(&temporary, text)
        .wrap_err_with(|| format!("can't write {}", temporary.display()))?;
    std::fs::rename(&temporary, path).wrap_err_with(|| format!("can't write {}", path.display()))
}

fn process_infos(stack: &TestStack) -> Vec<ProcessInfo> {
    let entry = |role: &'static str, process: &StackProcess| ProcessInfo {
        name: process.name.clone(),
        role,
        pid: process.pid(),
        address: process.address.to_string(),
    };
    let mut entries = vec![
        entry("table", &stack.table),
        entry("objects", &stack.objects),
        entry("hostlist", &stack.hostlist),
    ];
    entries.extend(
        stack
            .weights
            .iter()
            .map(|process| entry("weights", process)),
    );
    entries.extend(
        stack
            .services
            .iter()
            .map(|process| entry("service", process)),
    );
    entries.extend(stack.engines.iter().map(|process| entry("engine", process)));
    entries.extend(stack.entries.iter().map(|process| entry("entry", process)));
    entries
}

fn caller_info(stack: &TestStack, callers: &CallerConfig) -> eyre::Result<CallerInfo> {
    let customer = callers
        .customers
        .first()
        .ok_or_eyre("the example has no customer")?;
    let entries = stack
        .entries
        .iter()
        .map(|process| EntryAddress {
            name: process.name.clone(),
            base_url: format!("http://{}", process.address),
            openai_base_url: format!("http://{}/v1", process.address),
            admin: process.admin_blocking().to_string(),
        })
        .collect();
    Ok(CallerInfo {
        entries,
        customer_key: customer.key.clone(),
        operator_key: OPERATOR_KEY.to_owned(),
        model: callers.model.clone(),
        non_repeatable_path: callers.non_repeatable_path(),
        repeatable_path: callers.repeatable_path(),
    })
}
